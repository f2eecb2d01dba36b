"""Snapshots of the members on the platform, used to discover peers."""

import math
import random

import mode
import msgspec
import structlog
import xxhash

from kumquatport import exceptions, objects
from kumquatport.helpers import clock, decoding
from kumquatport.version import members
from kumquatport.version.replication import (
    const,
    peers,
    platform_lease,
    process_context,
    ranking,
)

_LOGGER = structlog.get_logger(__name__)


class Snapshot(msgspec.Struct, frozen=True):
    """One shard, with the live records whose names hash to it."""

    records: tuple[members.InstanceRecord, ...]


class Snapshots(mode.Service):
    """Writes snapshots under a lease and reads them to discover peers.

    Each write of a shard is conditional on the version seen last. A new holder
    of the lease writes all shards first, so the platform rejects late writes of
    a previous holder that was suspended.
    """

    def __init__(
        self,
        context: process_context.ProcessContext,
        incarnation: int,
        platform: objects.ObjectStore,
        selector: peers.PeerSelector,
    ) -> None:
        """Initialize without any shard read or written.

        Args:
            context: Context of this process.
            incarnation: Incarnation of this process.
            platform: Client of the platform.
            selector: Receives the discovered endpoints.
        """
        super().__init__()
        self.lease = platform_lease.PlatformLease(
            platform,
            f'{const.KEY_MEMBERS}-{context.region}',
            context.instance,
            incarnation,
        )
        self._context = context
        self._platform = platform
        self._peer_selector = selector
        self._prefix = f'{const.KEY_MEMBERS}/{context.region}/'
        self._versions: dict[str, int] = {}
        self._written: dict[str, bytes] = {}
        self._is_fenced = False
        self._write_due_at: float = 0

    async def on_start(self) -> None:
        """Start to discover peers and, in a balancer, to write snapshots."""
        self.add_future(self._async_find_peers())
        if self._context.is_balancer:
            self.add_future(self._async_run())

    async def async_write(self) -> int:
        """Write the changed shards, or all after acquiring the lease.

        Returns:
            Number of objects written.

        Raises:
            VersionConflictError: Another holder wrote; the lease is lost.
            KumquatportError: The platform did not answer.
        """
        if not self._is_fenced:
            await self._async_load_versions()
        shards = self._encode_shards()
        changed = {
            key: value
            for key, value in shards.items()
            if not self._is_fenced or self._written.get(key) != value
        }
        for key, value in changed.items():
            await self._async_put(key, value)
        self._is_fenced = True
        for key in set(self._versions) - set(shards):
            await self._platform.async_delete(key, self._versions.pop(key))
        return len(changed)

    async def _async_run(self) -> None:
        while not self.should_stop:
            if self._is_candidate():
                await self._async_write_if_due()
            await self.sleep(const.PLATFORM_LEASE_RENEW_S)

    def _is_candidate(self) -> bool:
        names = ranking.rank(self._prefix, self._context.balancer_names())
        return self._context.instance in names[: const.WATCHERS]

    async def _async_write_if_due(self) -> None:
        if not await self.lease.async_acquire_or_renew():
            self._is_fenced = False
            return
        if clock.now() < self._write_due_at:
            return
        self._write_due_at = clock.now() + const.SNAPSHOT_INTERVAL_S
        try:
            await self.async_write()
        except exceptions.VersionConflictError:
            self._is_fenced = False
            self.lease.release_locally()
        except exceptions.KumquatportError as error:
            # Some writes may have taken effect, so reload the versions.
            self._is_fenced = False
            _LOGGER.debug('members not written', error=str(error))

    async def _async_load_versions(self) -> None:
        listing = await self._platform.async_list(self._prefix)
        self._versions = {
            stored.key: stored.version for stored in listing.objects
        }
        self._written.clear()

    async def _async_put(self, key: str, value: bytes) -> None:
        expected = self._versions.get(key, 0)
        version = await self._platform.async_put(key, value, expected)
        self._versions[key] = version
        self._written[key] = value

    def _encode_shards(self) -> dict[str, bytes]:
        live = [
            record
            for record in self._context.registry.all_records()
            if not members.is_departed(record)
        ]
        count = 1 << (len(live) // const.RECORDS_PER_SHARD).bit_length()
        shards: list[list[members.InstanceRecord]] = [[] for _ in range(count)]
        for record in sorted(live):
            number = xxhash.xxh64_intdigest(record.instance.encode()) % count
            shards[number].append(record)
        return {
            f'{self._prefix}{number}': msgspec.json.encode(
                Snapshot(tuple(records))
            )
            for number, records in enumerate(shards)
        }

    async def _async_find_peers(self) -> None:
        """Read the snapshots, soon if no peer is known, otherwise rarely."""
        delay = const.HINTS_RETRY_FIRST_S
        read_at = clock.now()
        while not self.should_stop:
            await self.sleep(const.HINTS_RETRY_FIRST_S * random.uniform(1, 1.5))
            has_no_peers = not self._context.other_balancers()
            if not has_no_peers:
                delay = const.HINTS_RETRY_FIRST_S
            if clock.now() - read_at < self._read_interval_s(
                delay, has_no_peers=has_no_peers
            ):
                continue
            await self._async_read_hints()
            read_at = clock.now()
            delay = min(delay * 2, const.HINTS_RETRY_MAX_S)

    def _read_interval_s(self, delay: float, *, has_no_peers: bool) -> float:
        if has_no_peers:
            return delay
        return const.HINTS_REFRESH_S if self._context.is_balancer else math.inf

    async def _async_read_hints(self) -> None:
        try:
            listing = await self._platform.async_list(self._prefix)
        except exceptions.KumquatportError as error:
            _LOGGER.debug('members not read', error=str(error))
            return
        endpoints: list[str] = []
        for stored in listing.objects:
            endpoints.extend(_balancer_endpoints(stored.value))
        random.shuffle(endpoints)
        self._peer_selector.set_hints(endpoints)


def _balancer_endpoints(value: bytes) -> list[str]:
    try:
        snapshot = msgspec.json.decode(value, type=Snapshot)
    except decoding.MALFORMED as error:
        _LOGGER.error('invalid members snapshot', error=str(error))
        return []
    return [
        record.endpoint
        for record in snapshot.records
        if record.kind == members.KIND_BALANCER
    ]
