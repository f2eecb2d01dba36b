"""Effect of the retry marker on retries at two layers.

The backend server closes every connection. The caller makes three attempts,
and without the marker the request handler would retry each of them as well.
"""

import asyncio
import collections
import time
import typing

from bench import figure
from kumquatport.request import handler, messages
from tests import handler_harness
from tests.builders import documents, exchanges

ENDPOINT: typing.Final = handler_harness.Endpoint('127.10.253.9', 8000)
CALLS: typing.Final = 100
CALLER_ATTEMPTS: typing.Final = 3
# Maximum that an operator may set; smaller budgets hide the difference.
RETRY_BUDGET: typing.Final = 1.0


async def async_measure() -> list[figure.Figure]:
    """Count the arrivals per request with and without the marker."""
    marked = await _async_count_arrivals(marked=True)
    unmarked = await _async_count_arrivals(marked=False)
    return [
        figure.at_most(
            'limits.retries.marked',
            marked / CALLS,
            'arrivals a request',
            CALLER_ATTEMPTS + RETRY_BUDGET,
        ),
        figure.unbounded(
            'limits.retries.unmarked', unmarked / CALLS, 'arrivals a request'
        ),
    ]


async def _async_count_arrivals(*, marked: bool) -> int:
    arrivals: collections.Counter[str] = collections.Counter()

    async def _async_close_connection(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        line = await reader.readline()
        arrivals[line.decode().partition(' ')[2]] += 1
        writer.close()

    request_handler = handler.RequestHandler(
        ENDPOINT,
        messages.Metrics(_discard_metric, _discard_metric, _discard_metric),
        time.monotonic,
    )
    limits = {
        'slots': 5,
        'connections': 2000,
        'queue_s': 1.0,
        'retry_budget': RETRY_BUDGET,
        'queue_length': 64,
    }
    request_handler.configure(
        documents.service('storefront', '127.0.0.1:4433', 1, limits=limits)
    )
    async with await asyncio.start_server(_async_close_connection, *ENDPOINT):
        async with request_handler:
            for _ in range(CALLS):
                await _async_call(request_handler, marked=marked)
    return sum(
        count for path, count in arrivals.items() if path.startswith('/small')
    )


async def _async_call(
    request_handler: handler.RequestHandler, *, marked: bool
) -> None:
    for attempt in range(CALLER_ATTEMPTS):
        marker = {'x_kumquatport_retry': attempt} if marked and attempt else {}
        recorded = exchanges.RecordedExchange()
        await request_handler.async_handle(
            exchanges.head(**marker), recorded.exchange
        )


def _discard_metric(*ignored: object) -> None:
    """Ignore a metric."""
