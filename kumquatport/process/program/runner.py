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


class _StopEvents(typing.NamedTuple):
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
    signals = _install_signal_handlers()
    try:
        service = make_service()
    except Exception as err:
        return _log_start_failure(err)
    try:
        started = await _async_start(service, signals)
    except Exception as err:
        await _async_stop(service)
        return _log_start_failure(err)
    if started:
        _LOGGER.info('Started')
        await _async_run_and_drain(service, signals)
    return await _async_stop_with_exit_code(service)


def _install_signal_handlers() -> _StopEvents:
    signals = _StopEvents(asyncio.Event(), asyncio.Event())
    loop = asyncio.get_running_loop()

    def note() -> None:
        if signals.graceful.is_set():
            signals.immediate.set()
        signals.graceful.set()

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, note)
    return signals


def _log_start_failure(err: Exception) -> int:
    if isinstance(err, OSError):
        err = exceptions.StartError(str(err))
    # Only an error that nobody expected keeps its traceback in the log.
    _LOGGER.error('Cannot start', exc_info=err)
    return const.EXIT_CANNOT_START


async def _async_start(service: mode.Service, stop_events: _StopEvents) -> bool:
    """Start a service; False if a signal came before it was up."""
    return await _async_run_until(service.start(), stop_events.graceful)


async def _async_run_and_drain(
    service: mode.Service, stop_events: _StopEvents
) -> None:
    await _async_run_until(service.wait_until_stopped(), stop_events.graceful)
    if service.should_stop:
        return
    _LOGGER.info('Stopping gracefully')
    drain = getattr(service, 'async_drain', None)
    if drain is None:
        return
    try:
        await _async_run_until(drain(), stop_events.immediate)
    except Exception as err:
        _LOGGER.exception('Draining failed')
        service.crash_reason = err


async def _async_run_until(
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


async def _async_stop_with_exit_code(service: mode.Service) -> int:
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
