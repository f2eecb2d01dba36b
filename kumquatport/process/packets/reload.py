"""Settings read again while the process runs."""

import asyncio
import pathlib
import signal
import typing
from collections import abc

import mode
import structlog

from kumquatport import exceptions
from kumquatport.process.packets import models

_LOGGER = structlog.get_logger(__name__)

# Seconds between two looks at the file, which may change without a signal.
POLL_S: typing.Final = 2.0

# Fields that a running process takes over; the others need a new process.
RELOADABLE: typing.Final = frozenset(('seeds', 'heartbeat_s', 'bounds'))

Load = abc.Callable[[pathlib.Path], models.Settings]
Apply = abc.Callable[[models.Settings], None]


class Reloader(mode.Service):
    """Follows the settings file, by SIGHUP and by its time of change."""

    def __init__(
        self,
        source: pathlib.Path,
        held: models.Settings,
        load: Load,
        apply: Apply,
    ) -> None:
        """Set up.

        Args:
            source: The settings file.
            held: Settings in use.
            load: Reads the file; raises ``SettingsError``.
            apply: Takes over changed settings.
        """
        super().__init__()
        self._source = source
        self._held = held
        self._load = load
        self._apply = apply
        self._stamp = _stamp(source)

    async def on_start(self) -> None:
        """Begin to follow the file."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self.reload, 'signal')
        self.add_future(self._async_follow())

    async def on_stop(self) -> None:
        """Ignore the signal again; its default would end the process."""
        asyncio.get_running_loop().remove_signal_handler(signal.SIGHUP)
        signal.signal(signal.SIGHUP, signal.SIG_IGN)

    def reload(self, reason: str) -> None:
        """Read the file; what cannot be used leaves all as it was.

        Args:
            reason: ``signal`` or ``file``, for the log.
        """
        self._stamp = _stamp(self._source)
        try:
            found = self._load(self._source)
        except exceptions.SettingsError as error:
            _LOGGER.error('settings refused, kept', error=error, reason=reason)
            return
        changed = changed_fields(self._held, found)
        taken = {name: getattr(found, name) for name in changed & RELOADABLE}
        self._held = self._held._replace(**taken)
        _LOGGER.info(
            'settings reloaded',
            reason=reason,
            changed=sorted(taken),
            needs_restart=sorted(changed - RELOADABLE),
        )
        if taken:
            self._apply(self._held)

    async def _async_follow(self) -> None:
        while not self.should_stop:
            await self.sleep(POLL_S)
            if _stamp(self._source) != self._stamp:
                self.reload('file')


def changed_fields(
    held: models.Settings, found: models.Settings
) -> frozenset[str]:
    """Return the names of the fields that differ."""
    return frozenset(
        name
        for name in models.Settings._fields
        if getattr(held, name) != getattr(found, name)
    )


def _stamp(source: pathlib.Path) -> tuple[int, int]:
    try:
        found = source.stat()
    except OSError:
        return (0, 0)
    return (found.st_mtime_ns, found.st_size)
