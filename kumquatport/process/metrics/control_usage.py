"""What a process spends on control: bytes and processor time."""

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
    """Totals of the control messages since the start."""

    @property
    def bytes_sent(self) -> int:
        """Bytes of the frames sent."""

    @property
    def bytes_received(self) -> int:
        """Bytes of the frames received."""


def track(
    metrics: registry.Registry,
    services: abc.Iterable[mode.Service],
    totals: abc.Callable[[], Totals],
) -> None:
    """Charge services to control, and count its messages' bytes.

    The control sockets' threads are charged too: all processor time that is
    not the event loop's is theirs, but for an occasional read of a file.

    Args:
        metrics: Where it is counted.
        services: That do control work; not started yet, with children.
        totals: Returns the present totals of the messages.
    """
    for service in services:
        _charge_service(metrics, service)

    def sample() -> None:
        now = totals()
        counters = metrics.counters
        counters[metrics_const.COUNT_CONTROL_BYTES_SENT] = now.bytes_sent
        counters[metrics_const.COUNT_CONTROL_BYTES_RECEIVED] = (
            now.bytes_received
        )
        threads_s = time.process_time() - time.thread_time()
        name = metrics_const.GAUGE_CONTROL_LOOP_CPU_S
        loop_s = metrics.gauges.get(name, 0)
        metrics.gauge(metrics_const.GAUGE_CONTROL_CPU_S, loop_s + threads_s)

    metrics.add_sampler(sample)


def _charge_service(metrics: registry.Registry, root: mode.Service) -> None:
    """Have a service and its children charge each task they start."""
    add_plain = root.add_future

    def add_charged(work: typing.Any) -> typing.Any:
        return add_plain(async_charge(metrics, work))

    # ``mode`` starts every task of a service through this method.
    setattr(root, 'add_future', add_charged)  # noqa: B010
    for child in root._children:
        _charge_service(metrics, typing.cast(mode.Service, child))


async def async_charge(
    metrics: registry.Registry, work: abc.Coroutine[object, object, _ResultT]
) -> _ResultT:
    """Await work and charge its processor time to control.

    Only the steps of the work itself are charged, not the time it waits.

    Args:
        metrics: Where the gauge ``control.loop_cpu_s`` grows.
        work: A coroutine that has not started.

    Returns:
        What the work returns.
    """
    return await _run_charged(work, metrics.gauges)


@types.coroutine
def _run_charged(
    work: abc.Coroutine[object, object, _ResultT], gauges: dict[str, float]
) -> abc.Generator[object, object, _ResultT]:
    step: abc.Callable[[], object] = _make_send(work)
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
            step = _make_throw(work, err)
        else:
            step = _make_send(work)


def _make_send(
    work: abc.Coroutine[object, object, object],
) -> abc.Callable[[], object]:
    return lambda: work.send(None)


def _make_throw(
    work: abc.Coroutine[object, object, object], err: BaseException
) -> abc.Callable[[], object]:
    return lambda: work.throw(err)


def _charge(gauges: dict[str, float], spent_ns: int) -> None:
    spent_s = spent_ns / const.NANOSECONDS_PER_SECOND
    name = metrics_const.GAUGE_CONTROL_LOOP_CPU_S
    gauges[name] = gauges.get(name, 0) + spent_s
