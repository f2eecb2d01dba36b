"""Resource usage of the process: memory and CPU time."""

import resource
import time
import typing

from kumquatport.process.metrics import const, registry

_STATM_PATH: typing.Final = '/proc/self/statm'
_RESIDENT_PAGES_INDEX: typing.Final = 1


def update_gauges(metrics: registry.Registry) -> None:
    """Set the gauges of resident memory and CPU time."""
    metrics.gauge(const.GAUGE_RESIDENT_BYTES, resident_bytes())
    metrics.gauge(const.GAUGE_CPU_S, time.process_time())


def resident_bytes() -> int:
    """Return the resident memory of this process, in bytes."""
    with open(_STATM_PATH, encoding='ascii') as stream:
        pages = int(stream.read().split()[_RESIDENT_PAGES_INDEX])
    return pages * resource.getpagesize()
