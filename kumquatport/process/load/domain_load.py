"""Current load of each service in each failure domain."""

import collections
import typing
from collections import abc

from kumquatport.process.load import statuses
from kumquatport.process.metrics import const as metrics_const
from kumquatport.process.status import models
from kumquatport.version import document

KIND_AGENT: typing.Final = 'agent'
STATE_READY: typing.Final = 'ready'


async def async_query(urls: abc.Sequence[str]) -> list[document.DomainLoad]:
    """Query instances and return the load of each service and domain.

    Args:
        urls: Root URLs of status servers.

    Returns:
        Load by service and failure domain; empty if no agent replied.
    """
    if not urls:
        return []
    return sum_by_domain(await statuses.async_query(urls))


def sum_by_domain(
    results: abc.Iterable[statuses.StatusResult],
) -> list[document.DomainLoad]:
    """Sum the load of ready agents by service and failure domain.

    Args:
        results: Results of status queries; failed ones are ignored.
    """
    received = [
        result.status for result in results if result.status is not None
    ]
    agent_counts: collections.Counter[tuple[str, str]] = collections.Counter()
    request_counts: collections.Counter[tuple[str, str]] = collections.Counter()
    for status in received:
        if status['kind'] != KIND_AGENT or status['state'] != STATE_READY:
            continue
        key = (status['service'], status['failure_domain'])
        agent_counts[key] += 1
        request_counts[key] += round(_requests_in_progress(status))
    return [
        document.DomainLoad(*key, count, request_counts[key])
        for key, count in sorted(agent_counts.items())
    ]


def _requests_in_progress(status: models.Status) -> float:
    """Return the requests in progress of an agent; 0 without the gauge."""
    gauges = status['metrics']['gauges']
    return gauges.get(metrics_const.GAUGE_REQUESTS_IN_PROGRESS, 0)
