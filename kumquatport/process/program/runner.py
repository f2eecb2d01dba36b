"""Run a root service until a signal or a fault."""

import asyncio
import signal
import typing
from collections import abc

import mode
import structlog

from kumquatport import exceptions
from kumquatport.process.program import const

_LOGGER = structlog.get_logger(__name__)


class _Signals(typing.NamedTuple):
    """Set by the first and by the second SIGTERM or SIGINT."""

    graceful: asyncio.Event
    immediate: asyncio.Event


async def async_run(make_service: abc.Callable[[], mode.Service]) -> int:
    """Start a service, wait for a signal or a fault, and stop it.

    A service with a method ``async_drain`` is drained before it is stopped.

    Args:
        make_service: Builds the service.

    Returns:
        The exit code.
    """
    signals = _watch_signals()
    try:
        service = make_service()
    except Exception as err:
        return _cannot_start(err)
    try:
        started = await _async_start(service, signals)
    except Exception as err:
        await _async_stop(service)
        return _cannot_start(err)
    if started:
        _LOGGER.info('Started')
        await _async_serve(service, signals)
    return await _async_finish(service)


def _watch_signals() -> _Signals:
    signals = _Signals(asyncio.Event(), asyncio.Event())
    loop = asyncio.get_running_loop()

    def note() -> None:
        if signals.graceful.is_set():
            signals.immediate.set()
        signals.graceful.set()

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, note)
    return signals


def _cannot_start(err: Exception) -> int:
    if isinstance(err, OSError):
        err = exceptions.StartError(str(err))
    # Only an error that nobody expected keeps its traceback in the log.
    _LOGGER.error('Cannot start', exc_info=err)
    return const.EXIT_CANNOT_START


async def _async_start(service: mode.Service, signals: _Signals) -> bool:
    """Start a service; False if a signal came before it was up."""
    return await _async_until(service.start(), signals.graceful)


async def _async_serve(service: mode.Service, signals: _Signals) -> None:
    await _async_until(service.wait_until_stopped(), signals.graceful)
    if service.should_stop:
        return
    _LOGGER.info('Stopping gracefully')
    drain = getattr(service, 'async_drain', None)
    if drain is None:
        return
    try:
        await _async_until(drain(), signals.immediate)
    except Exception as err:
        _LOGGER.exception('Draining failed')
        service.crash_reason = err


async def _async_until(
    work: abc.Coroutine[object, object, object], stop: asyncio.Event
) -> bool:
    """Await work until an event is set; True if the work ended first."""
    task = asyncio.ensure_future(work)
    stopping = asyncio.ensure_future(stop.wait())
    try:
        await asyncio.wait(
            {task, stopping}, return_when=asyncio.FIRST_COMPLETED
        )
    finally:
        stopping.cancel()
    if task.done():
        task.result()
        return True
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    return False


async def _async_finish(service: mode.Service) -> int:
    stopped = await _async_stop(service)
    reason = service.crash_reason
    if reason is not None:
        _LOGGER.error('Stopped by a fault', error=reason)
        return const.EXIT_FAULT
    if not stopped:
        return const.EXIT_FAULT
    _LOGGER.info('Stopped')
    return const.EXIT_GRACEFUL


async def _async_stop(service: mode.Service) -> bool:
    try:
        await asyncio.wait_for(service.stop(), const.STOP_TIMEOUT_S)
    except TimeoutError:
        _LOGGER.error('Stop timed out', timeout_s=const.STOP_TIMEOUT_S)
        return False
    except Exception:
        _LOGGER.exception('Stop failed')
        return False
    return True
