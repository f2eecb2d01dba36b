"""Run a root service until a signal or an error stops it."""

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
    """Events set by SIGTERM and SIGINT.

    Attributes:
        graceful: Set by the first signal.
        immediate: Set by the second signal.
    """

    graceful: asyncio.Event
    immediate: asyncio.Event


async def async_run(make_service: abc.Callable[[], mode.Service]) -> int:
    """Start a service, wait for a signal or an error, and stop it.

    If the service has a method ``async_drain``, it is awaited before the stop.

    Args:
        make_service: Builds the service.

    Returns:
        The exit code.
    """
    stop_events = _install_signal_handlers()
    try:
        service = make_service()
    except Exception as err:
        return _log_start_failure(err)
    try:
        started = await _async_start(service, stop_events)
    except Exception as err:
        await _async_stop(service)
        return _log_start_failure(err)
    if started:
        _LOGGER.info('Started')
        await _async_run_and_drain(service, stop_events)
    return await _async_stop_with_exit_code(service)


def _install_signal_handlers() -> _StopEvents:
    stop_events = _StopEvents(asyncio.Event(), asyncio.Event())
    loop = asyncio.get_running_loop()

    def set_next_event() -> None:
        if stop_events.graceful.is_set():
            stop_events.immediate.set()
        stop_events.graceful.set()

    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, set_next_event)
    return stop_events


def _log_start_failure(err: Exception) -> int:
    if isinstance(err, OSError):
        err = exceptions.StartError(str(err))
    # Only an unexpected error keeps its traceback in the log.
    _LOGGER.error('Cannot start', exc_info=err)
    return const.EXIT_CANNOT_START


async def _async_start(service: mode.Service, stop_events: _StopEvents) -> bool:
    """Start a service; False if a signal arrived before it had started."""
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
    coroutine: abc.Coroutine[object, object, object], stop: asyncio.Event
) -> bool:
    """Run a coroutine until it ends or an event is set.

    Args:
        coroutine: Cancelled when the event is set first.
        stop: Event that ends the wait.

    Returns:
        True if the coroutine ended first.
    """
    task = asyncio.ensure_future(coroutine)
    stop_wait = asyncio.ensure_future(stop.wait())
    try:
        await asyncio.wait(
            {task, stop_wait}, return_when=asyncio.FIRST_COMPLETED
        )
    finally:
        stop_wait.cancel()
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
