"""Reload of the settings while the process runs."""

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

# Seconds between two checks of the file, which may change without a signal.
POLL_S: typing.Final = 2.0

# Fields that a running process applies; the others need a restart.
RELOADABLE: typing.Final = frozenset(
    ('seeds', 'heartbeat_s', 'bounds', 'link_bytes_per_s')
)

Load = abc.Callable[[pathlib.Path], models.Settings]
Apply = abc.Callable[[models.Settings], None]


class Reloader(mode.Service):
    """Reloads the settings file on SIGHUP and when the file changes."""

    def __init__(
        self,
        source: pathlib.Path,
        settings: models.Settings,
        load: Load,
        apply: Apply,
    ) -> None:
        """Initialize.

        Args:
            source: Path of the settings file.
            settings: Current settings.
            load: Reads the file; raises ``SettingsError``.
            apply: Applies changed settings.
        """
        super().__init__()
        self._source = source
        self._settings = settings
        self._load = load
        self._apply = apply
        self._file_stamp = _file_stamp(source)

    async def on_start(self) -> None:
        """Start to watch for the signal and for changes of the file."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self.reload, 'signal')
        self.add_future(self._async_poll_file())

    async def on_stop(self) -> None:
        """Ignore the signal, whose default action would end the process."""
        asyncio.get_running_loop().remove_signal_handler(signal.SIGHUP)
        signal.signal(signal.SIGHUP, signal.SIG_IGN)

    def reload(self, reason: str) -> None:
        """Read the file and apply changes; invalid settings change nothing.

        Args:
            reason: ``signal`` or ``file``, for the log.
        """
        self._file_stamp = _file_stamp(self._source)
        try:
            loaded = self._load(self._source)
        except exceptions.SettingsError as error:
            _LOGGER.error(
                'invalid settings refused', error=error, reason=reason
            )
            return
        changed = changed_fields(self._settings, loaded)
        applied = {name: getattr(loaded, name) for name in changed & RELOADABLE}
        self._settings = self._settings._replace(**applied)
        _LOGGER.info(
            'settings reloaded',
            reason=reason,
            changed=sorted(applied),
            needs_restart=sorted(changed - RELOADABLE),
        )
        if applied:
            self._apply(self._settings)

    async def _async_poll_file(self) -> None:
        while not self.should_stop:
            await self.sleep(POLL_S)
            if _file_stamp(self._source) != self._file_stamp:
                self.reload('file')


def changed_fields(
    current: models.Settings, loaded: models.Settings
) -> frozenset[str]:
    """Return the names of the fields that differ between two settings."""
    return frozenset(
        name
        for name in models.Settings._fields
        if getattr(current, name) != getattr(loaded, name)
    )


def _file_stamp(source: pathlib.Path) -> tuple[int, int]:
    try:
        status = source.stat()
    except OSError:
        return (0, 0)
    return (status.st_mtime_ns, status.st_size)
