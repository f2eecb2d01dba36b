"""What a marker against retries at two layers is worth.

The backend server cuts every connection; the caller tries three times, and
the handler would retry each of them too.
"""

import asyncio
import collections
import time
import typing

from bench import figure
from kumquatport.request import handler, messages
from tests import beside
from tests.builders import documents, exchanges

ENDPOINT: typing.Final = beside.Endpoint('127.10.253.9', 8000)
CALLS: typing.Final = 100
CALLER_TRIES: typing.Final = 3
# Most that an operator may set; smaller budgets hide the difference.
BUDGET: typing.Final = 1.0


async def async_measure() -> list[figure.Figure]:
    """Count what arrives for each request, with the marker and without."""
    marked = await _async_arrivals(marked=True)
    unmarked = await _async_arrivals(marked=False)
    return [
        figure.at_most(
            'limits.retries.marked',
            marked / CALLS,
            'arrivals a request',
            CALLER_TRIES + BUDGET,
        ),
        figure.plain(
            'limits.retries.unmarked', unmarked / CALLS, 'arrivals a request'
        ),
    ]


async def _async_arrivals(*, marked: bool) -> int:
    arrived: collections.Counter[str] = collections.Counter()

    async def _async_cut(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        line = await reader.readline()
        arrived[line.decode().partition(' ')[2]] += 1
        writer.close()

    counting = handler.RequestHandler(
        ENDPOINT,
        messages.Metrics(_forget, _forget, _forget),
        time.monotonic,
    )
    limits = {
        'slots': 5,
        'connections': 2000,
        'queue_s': 1.0,
        'retry_budget': BUDGET,
        'queue_length': 64,
    }
    counting.configure(
        documents.service('storefront', '127.0.0.1:4433', 1, limits=limits)
    )
    async with await asyncio.start_server(_async_cut, *ENDPOINT):
        async with counting:
            for _ in range(CALLS):
                await _async_call(counting, marked=marked)
    return sum(
        count for path, count in arrived.items() if path.startswith('/small')
    )


async def _async_call(
    counting: handler.RequestHandler, *, marked: bool
) -> None:
    for tries in range(CALLER_TRIES):
        marker = {'x_kumquatport_retry': tries} if marked and tries else {}
        recorded = exchanges.RecordedExchange()
        await counting.async_handle(exchanges.head(**marker), recorded.exchange)


def _forget(*ignored: object) -> None:
    """Drop a metric."""
