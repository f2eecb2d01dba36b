"""A lease stored in one object of the platform, for leader election."""

import typing

import msgspec
import structlog

from kumquatport import exceptions, objects
from kumquatport.helpers import clock, decoding
from kumquatport.version.replication import const

_LOGGER = structlog.get_logger(__name__)


class LeaseState(msgspec.Struct, frozen=True):
    """Contents of the lease's object.

    Attributes:
        holder: Name of the instance that holds the lease.
        incarnation: Incarnation of the holder's process.
        renewals: Counter that makes each write differ.
    """

    holder: str
    incarnation: int
    renewals: int


class PlatformLease:
    """A lease that the last writer of the object holds for ``PLATFORM_LEASE_S``.

    All writes are conditional on the object's version, so of several processes
    that try to acquire the lease at once only one succeeds. Others take it over
    after the object has not changed for the whole duration by their own clock.
    A holder that was suspended may notice late that it lost the lease. Writes
    made under the lease must therefore be conditional on versions that the next
    holder changes.
    """

    def __init__(
        self,
        platform: objects.ObjectStore,
        name: str,
        holder: str,
        incarnation: int,
    ) -> None:
        """Initialize without holding the lease.

        Args:
            platform: Client of the platform.
            name: Last part of the object's key.
            holder: Name of this instance.
            incarnation: Incarnation of this process.
        """
        self._platform = platform
        self._key = f'{const.KEY_LEASES}/{name}'
        self._own_state = LeaseState(holder, incarnation, 0)
        self._version = 0
        self._valid_until: float = 0
        self._observed: tuple[int, float] = (0, 0)

    @property
    def is_held(self) -> bool:
        """Return whether this process holds the lease by its own clock."""
        return clock.now() < self._valid_until

    async def async_acquire_or_renew(self) -> bool:
        """Renew or try to acquire the lease; return whether it is held."""
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
        """Treat the lease as lost, without a write to the platform."""
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
        unchanged_s = asked_at - self._observed[1]
        if unchanged_s >= const.PLATFORM_LEASE_S or self._is_own(stored):
            await self._async_write(stored.version, asked_at)

    async def _async_write(self, expected: int, asked_at: float) -> None:
        self._own_state = msgspec.structs.replace(
            self._own_state,
            renewals=self._own_state.renewals + 1,
        )
        value = msgspec.json.encode(self._own_state)
        version = await self._platform.async_put(self._key, value, expected)
        self._mark_held(version, asked_at)

    async def _async_read_back(self, asked_at: float) -> None:
        """Find out whether a write with unknown outcome took effect."""
        try:
            stored = await self._platform.async_get(self._key)
        except exceptions.KumquatportError as error:
            _LOGGER.debug(
                'lease state not read', key=self._key, error=str(error)
            )
            return
        if _decode(stored) == self._own_state:
            self._mark_held(stored.version, asked_at)
        elif not self._is_own(stored):
            self.release_locally()
        else:
            self._version = stored.version

    def _mark_held(self, version: int, asked_at: float) -> None:
        if not self.is_held:
            _LOGGER.info('lease acquired', key=self._key, version=version)
        self._version = version
        self._valid_until = asked_at + const.PLATFORM_LEASE_S

    def _is_own(self, stored: objects.StoredObject) -> bool:
        state = _decode(stored)
        return state is not None and (state.holder, state.incarnation) == (
            self._own_state.holder,
            self._own_state.incarnation,
        )


def _decode(stored: objects.StoredObject) -> LeaseState | None:
    try:
        return typing.cast(
            LeaseState, msgspec.json.decode(stored.value, type=LeaseState)
        )
    except decoding.MALFORMED:
        return None
