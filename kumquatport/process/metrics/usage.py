"""What the process uses: memory, and processor time spent on control."""

import resource
import time
import types
import typing
from collections import abc

from kumquatport import const
from kumquatport.process.metrics import const as metrics_const
from kumquatport.process.metrics import registry

_ResultT = typing.TypeVar('_ResultT')
_STATM: typing.Final = '/proc/self/statm'
_RESIDENT_FIELD: typing.Final = 1


def update(metrics: registry.Registry) -> None:
    """Set the gauges of memory and processor time."""
    metrics.gauge(metrics_const.GAUGE_RESIDENT_BYTES, resident_bytes())
    metrics.gauge(metrics_const.GAUGE_CPU_S, time.process_time())


def resident_bytes() -> int:
    """Return the resident memory of this process."""
    with open(_STATM, encoding='ascii') as stream:
        pages = int(stream.read().split()[_RESIDENT_FIELD])
    return pages * resource.getpagesize()


async def async_charge_control(
    metrics: registry.Registry, work: abc.Coroutine[object, object, _ResultT]
) -> _ResultT:
    """Await work and charge its processor time to control.

    Only the steps of the work itself are charged, not the time it waits.

    Args:
        metrics: Where the gauge ``control.cpu_s`` grows.
        work: A coroutine that has not started.

    Returns:
        What the work returns.
    """
    return await _charged_steps(work, metrics.gauges)


@types.coroutine
def _charged_steps(
    work: abc.Coroutine[object, object, _ResultT], gauges: dict[str, float]
) -> abc.Generator[object, object, _ResultT]:
    step: abc.Callable[[], object] = _sender(work)
    while True:
        start_ns = time.thread_time_ns()
        try:
            awaited = step()
        except StopIteration as end:
            return typing.cast(_ResultT, end.value)
        finally:
            _charge(gauges, time.thread_time_ns() - start_ns)
        try:
            yield awaited
        except BaseException as err:  # noqa: WPS424 - cancellation goes in too
            step = _thrower(work, err)
        else:
            step = _sender(work)


def _sender(
    work: abc.Coroutine[object, object, object],
) -> abc.Callable[[], object]:
    return lambda: work.send(None)


def _thrower(
    work: abc.Coroutine[object, object, object], err: BaseException
) -> abc.Callable[[], object]:
    return lambda: work.throw(err)


def _charge(gauges: dict[str, float], spent_ns: int) -> None:
    spent_s = spent_ns / const.NANOSECONDS_PER_SECOND
    name = metrics_const.GAUGE_CONTROL_CPU_S
    gauges[name] = gauges.get(name, 0) + spent_s
