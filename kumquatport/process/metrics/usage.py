"""What the process uses: memory and processor time."""

import resource
import time
import typing

from kumquatport.process.metrics import const, registry

_STATM: typing.Final = '/proc/self/statm'
_RESIDENT_FIELD: typing.Final = 1


def update_gauges(metrics: registry.Registry) -> None:
    """Set the gauges of memory and processor time."""
    metrics.gauge(const.GAUGE_RESIDENT_BYTES, resident_bytes())
    metrics.gauge(const.GAUGE_CPU_S, time.process_time())


def resident_bytes() -> int:
    """Return the resident memory of this process."""
    with open(_STATM, encoding='ascii') as stream:
        pages = int(stream.read().split()[_RESIDENT_FIELD])
    return pages * resource.getpagesize()
