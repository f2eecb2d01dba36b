"""A lease kept in one object of the platform."""

import typing

import msgspec
import structlog

from kumquatport import exceptions, objects
from kumquatport.helpers import clock
from kumquatport.version.replication import const

_LOGGER = structlog.get_logger(__name__)


class LeaseState(msgspec.Struct, frozen=True):
    """What the lease's object says.

    Attributes:
        holder: Name of the instance that holds it.
        incarnation: Of the holder's process.
        renewals: Counts up; makes each write differ.
    """

    holder: str
    incarnation: int
    renewals: int


class PlatformLease:
    """Held by whoever wrote the object last, for ``PLATFORM_LEASE_S``.

    Only conditional updates are made, so two that reach for the lease at once
    cannot both get it. Others take it over when the object did not change for
    a whole duration by their own clock. That a holder was paused in between it
    may notice late; what it writes under the lease is therefore conditional on
    versions that its successor has changed.
    """

    def __init__(
        self,
        platform: objects.ObjectStore,
        name: str,
        holder: str,
        incarnation: int,
    ) -> None:
        """Set up without holding it.

        Args:
            platform: Client of the platform.
            name: Last part of the object's key.
            holder: Name of this instance.
            incarnation: Of this process.
        """
        self._platform = platform
        self._key = f'{const.KEY_LEASES}/{name}'
        self._own = LeaseState(holder, incarnation, 0)
        self._version = 0
        self._valid_until: float = 0
        self._observed: tuple[int, float] = (0, 0)

    @property
    def is_held(self) -> bool:
        """Tell whether this process may take itself for the holder."""
        return clock.now() < self._valid_until

    async def async_acquire_or_renew(self) -> bool:
        """Renew the lease or reach for it; tell whether it is held."""
        asked_at = clock.now()
        try:
            if self.is_held:
                await self._async_write(self._version, asked_at)
            else:
                await self._async_acquire(asked_at)
        except exceptions.VersionConflictError:
            self.release_locally()
        except exceptions.OutcomeUnknownError:
            await self._async_read_back(asked_at)
        except exceptions.KumquatportError as error:
            _LOGGER.debug('lease not renewed', key=self._key, error=str(error))
        return self.is_held

    def release_locally(self) -> None:
        """Stop taking this process for the holder."""
        if self._valid_until:
            _LOGGER.warning('lease lost', key=self._key)
        self._valid_until = 0

    async def _async_acquire(self, asked_at: float) -> None:
        try:
            stored = await self._platform.async_get(self._key)
        except exceptions.ObjectMissingError:
            await self._async_write(0, asked_at)
            return
        if self._observed[0] != stored.version:
            self._observed = (stored.version, asked_at)
        idle = asked_at - self._observed[1]
        if idle >= const.PLATFORM_LEASE_S or self._is_own(stored):
            await self._async_write(stored.version, asked_at)

    async def _async_write(self, expected: int, asked_at: float) -> None:
        self._own = msgspec.structs.replace(
            self._own,
            renewals=self._own.renewals + 1,
        )
        value = msgspec.json.encode(self._own)
        version = await self._platform.async_put(self._key, value, expected)
        self._note_held(version, asked_at)

    async def _async_read_back(self, asked_at: float) -> None:
        """Settle a write whose answer was lost."""
        try:
            stored = await self._platform.async_get(self._key)
        except exceptions.KumquatportError as error:
            _LOGGER.debug('lease unsettled', key=self._key, error=str(error))
            return
        if _decode(stored) == self._own:
            self._note_held(stored.version, asked_at)
        elif not self._is_own(stored):
            self.release_locally()
        else:
            self._version = stored.version

    def _note_held(self, version: int, asked_at: float) -> None:
        if not self.is_held:
            _LOGGER.info('lease taken', key=self._key, version=version)
        self._version = version
        self._valid_until = asked_at + const.PLATFORM_LEASE_S

    def _is_own(self, stored: objects.StoredObject) -> bool:
        held = _decode(stored)
        return held is not None and (held.holder, held.incarnation) == (
            self._own.holder,
            self._own.incarnation,
        )


def _decode(stored: objects.StoredObject) -> LeaseState | None:
    try:
        return typing.cast(
            LeaseState, msgspec.json.decode(stored.value, type=LeaseState)
        )
    except msgspec.MsgspecError:
        return None
