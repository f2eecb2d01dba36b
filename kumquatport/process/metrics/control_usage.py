"""Cost of the control plane in a process: bytes and CPU time."""

import time
import types
import typing
from collections import abc

import mode

from kumquatport import const
from kumquatport.process.metrics import const as metrics_const
from kumquatport.process.metrics import registry

_ResultT = typing.TypeVar('_ResultT')


class Totals(typing.Protocol):
    """Totals of the control messages since the start of the process."""

    @property
    def bytes_sent(self) -> int:
        """Size of all frames sent, in bytes."""

    @property
    def bytes_received(self) -> int:
        """Size of all frames received, in bytes."""


def track(
    metrics: registry.Registry,
    services: abc.Iterable[mode.Service],
    totals: abc.Callable[[], Totals],
) -> None:
    """Measure the CPU time and message bytes of the control plane.

    CPU time spent outside the event loop's thread is attributed to control as
    well: apart from occasional file reads, it is that of the control sockets'
    threads.

    Args:
        metrics: Registry that receives the counters and gauges.
        services: Services that do control work, none of them started yet;
            their child services are included.
        totals: Returns the current totals of the control messages.
    """
    for service in services:
        _charge_service(metrics, service)

    def sample() -> None:
        current = totals()
        counters = metrics.counters
        counters[metrics_const.COUNT_CONTROL_BYTES_SENT] = current.bytes_sent
        counters[metrics_const.COUNT_CONTROL_BYTES_RECEIVED] = (
            current.bytes_received
        )
        threads_s = time.process_time() - time.thread_time()
        loop_gauge = metrics_const.GAUGE_CONTROL_LOOP_CPU_S
        loop_s = metrics.gauges.get(loop_gauge, 0)
        metrics.gauge(metrics_const.GAUGE_CONTROL_CPU_S, loop_s + threads_s)

    metrics.add_sampler(sample)


def _charge_service(metrics: registry.Registry, service: mode.Service) -> None:
    """Charge the CPU time of all tasks of a service and its children."""
    add_future = service.add_future

    def add_charged_future(coroutine: typing.Any) -> typing.Any:
        return add_future(async_charge(metrics, coroutine))

    # ``mode`` starts every task of a service through this method.
    setattr(service, 'add_future', add_charged_future)  # noqa: B010
    for child in service._children:
        _charge_service(metrics, typing.cast(mode.Service, child))


async def async_charge(
    metrics: registry.Registry,
    coroutine: abc.Coroutine[object, object, _ResultT],
) -> _ResultT:
    """Await a coroutine and add its CPU time to ``control.loop_cpu_s``.

    Only the steps of the coroutine are measured, not the time between them.

    Args:
        metrics: Registry that holds the gauge.
        coroutine: A coroutine that has not started.

    Returns:
        The result of the coroutine.
    """
    return await _run_charged(coroutine, metrics.gauges)


@types.coroutine
def _run_charged(
    coroutine: abc.Coroutine[object, object, _ResultT], gauges: dict[str, float]
) -> abc.Generator[object, object, _ResultT]:
    step: abc.Callable[[], object] = _make_send(coroutine)
    while True:
        start_ns = time.thread_time_ns()
        try:
            awaited = step()
        except StopIteration as stop:
            return typing.cast(_ResultT, stop.value)
        finally:
            _add_cpu_time(gauges, time.thread_time_ns() - start_ns)
        try:
            yield awaited
        except BaseException as err:  # noqa: WPS424 - includes cancellation
            step = _make_throw(coroutine, err)
        else:
            step = _make_send(coroutine)


def _make_send(
    coroutine: abc.Coroutine[object, object, object],
) -> abc.Callable[[], object]:
    return lambda: coroutine.send(None)


def _make_throw(
    coroutine: abc.Coroutine[object, object, object], err: BaseException
) -> abc.Callable[[], object]:
    return lambda: coroutine.throw(err)


def _add_cpu_time(gauges: dict[str, float], cpu_ns: int) -> None:
    cpu_s = cpu_ns / const.NANOSECONDS_PER_SECOND
    loop_gauge = metrics_const.GAUGE_CONTROL_LOOP_CPU_S
    gauges[loop_gauge] = gauges.get(loop_gauge, 0) + cpu_s
