"""Present load of each service in each failure domain, from statuses."""

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
    """Ask instances and return the load they tell; empty when none does."""
    if not urls:
        return []
    return sum_by_domain(await statuses.async_query(urls))


def sum_by_domain(
    answers: abc.Iterable[statuses.StatusResult],
) -> list[document.DomainLoad]:
    """Return the load of the agents among the answers."""
    known = [answer.status for answer in answers if answer.status is not None]
    servers: collections.Counter[tuple[str, str]] = collections.Counter()
    busy: collections.Counter[tuple[str, str]] = collections.Counter()
    for status in known:
        if status['kind'] != KIND_AGENT or status['state'] != STATE_READY:
            continue
        place = (status['service'], status['failure_domain'])
        servers[place] += 1
        busy[place] += round(_requests_in_progress(status))
    return [
        document.DomainLoad(*place, count, busy[place])
        for place, count in sorted(servers.items())
    ]


def _requests_in_progress(status: models.Status) -> float:
    """Return an agent's requests in progress; 0 when it tells none."""
    gauges = status['metrics']['gauges']
    return gauges.get(metrics_const.GAUGE_REQUESTS_IN_PROGRESS, 0)
