"""Reload a certificate and its key when they are replaced."""

import datetime
import typing
from collections import abc

import mode
import structlog

from kumquatport import exceptions
from kumquatport.helpers import backoff
from kumquatport.process.logs import faults
from kumquatport.process.settings import models
from kumquatport.process.tls import const, material, source

_LOGGER = structlog.get_logger(__name__)

OnReplaced = abc.Callable[[material.Material], None]


class Watcher(mode.Service):
    """Loads TLS material at start and polls for its replacement.

    Material that is not valid is logged once and the current material stays in
    use, so polling while the pair of files is being written does no harm.
    """

    def __init__(
        self,
        settings: models.TlsSettings,
        on_replaced: OnReplaced,
        *,
        read_object: source.ReadObject | None = None,
        poll_s: float | None = None,
    ) -> None:
        """Initialize the watcher.

        Args:
            settings: Sources of the certificate and the key.
            on_replaced: Called with the first material and each replacement.
            read_object: Reads a platform object by its key.
            poll_s: Seconds between polls; None selects the default for files or
                for the platform.
        """
        super().__init__()
        self._settings = settings
        self._on_replaced = on_replaced
        self._read_object = read_object
        self._poll_s = poll_s or _default_poll_s(settings)
        self._pem: material.Pem | None = None
        self._report = faults.reporter(
            _LOGGER,
            'Loading TLS material failed',
            'Loading TLS material works again',
        )

    async def on_start(self) -> None:
        """Load the first material, retrying while the platform is unavailable.

        Raises:
            TlsMaterialError: The material is unreadable or not valid.
        """
        delays = backoff.delays(const.FIRST_RETRY_S, const.LAST_RETRY_S)
        for delay_s in delays:
            if self.should_stop or await self._async_poll():
                return
            await self.sleep(delay_s)

    @mode.Service.task
    async def _async_watch(self) -> None:
        while not self.should_stop:
            await self.sleep(backoff.jittered(self._poll_s))
            try:
                await self._async_poll()
            except exceptions.TlsMaterialError as err:
                self._report(err)

    async def _async_poll(self) -> bool:
        """Poll once; False if the platform did not answer."""
        try:
            await self._async_reload_if_changed()
        except exceptions.PlatformUnavailableError as err:
            self._report(err)
            return False
        self._report(None)
        return True

    async def _async_reload_if_changed(self) -> None:
        pem = await source.async_read(self._settings, self._read_object)
        if pem == self._pem:
            return
        now = datetime.datetime.now(tz=datetime.UTC)
        loaded = material.parse(pem, self._settings, now)
        self._pem = pem
        _log_loaded(loaded, now)
        self._on_replaced(loaded)


def _default_poll_s(settings: models.TlsSettings) -> float:
    if source.uses_platform(settings):
        return const.PLATFORM_POLL_S
    return const.FILE_POLL_S


def _log_loaded(loaded: material.Material, now: datetime.datetime) -> None:
    fields: dict[str, typing.Any] = {
        'fingerprint': loaded.fingerprint,
        'expires': loaded.expires.isoformat(),
    }
    if material.expires_soon(loaded, now):
        _LOGGER.warning('TLS certificate expires soon', **fields)
        return
    _LOGGER.info('TLS material loaded', **fields)
