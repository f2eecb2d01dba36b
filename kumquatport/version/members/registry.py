"""Registry of the newest record of each instance."""

import time
import typing
from collections import abc

import xxhash

from kumquatport.helpers import listeners
from kumquatport.version.members import const
from kumquatport.version.members import record as records

Listener = abc.Callable[
    [records.InstanceRecord, records.InstanceRecord | None],
    None,
]


LapseVeto = abc.Callable[[records.InstanceRecord], bool]


# Key of the balancers in the cache of sorted records, which is otherwise keyed
# by service; no service has an empty name.
_BALANCERS_GROUP: typing.Final = ''


class _Entry(typing.NamedTuple):
    record: records.InstanceRecord
    fingerprint: int
    departed_at: float
    revision: int


class Registry:
    """Records merged by precedence; merges are commutative and idempotent."""

    def __init__(
        self,
        clock: abc.Callable[[], float] = time.monotonic,
    ) -> None:
        """Initialize an empty registry.

        Args:
            clock: Monotonic clock in seconds, for the expiry of tombstones.
        """
        self._clock = clock
        self._entries: dict[str, _Entry] = {}
        self._services: dict[str, set[str]] = {}
        self._service_digests: dict[str, int] = {}
        self._balancers: set[str] = set()
        self._sorted_cache: dict[str, tuple[records.InstanceRecord, ...]] = {}
        self._tombstones: set[str] = set()
        self._buckets: list[dict[str, None]] = [
            {} for _ in range(const.DIGEST_BUCKETS)
        ]
        self._digests = [0 for _ in range(const.DIGEST_BUCKETS)]
        self._total_digest = 0
        self._revision = 0
        self._lapse_veto: LapseVeto | None = None
        self._listeners: listeners.Listeners[Listener] = listeners.Listeners()

    @property
    def revision(self) -> int:
        """Return the number of changes so far; local to this process."""
        return self._revision

    def __len__(self) -> int:
        """Return the number of records, including tombstones."""
        return len(self._entries)

    def get(self, instance: str) -> records.InstanceRecord | None:
        """Return the record of an instance, even if it has departed."""
        entry = self._entries.get(instance)
        return entry.record if entry else None

    def all_records(self) -> tuple[records.InstanceRecord, ...]:
        """Return all records, including tombstones."""
        return tuple(entry.record for entry in self._entries.values())

    def agents(self, service: str) -> tuple[records.InstanceRecord, ...]:
        """Return the live agents of a service, sorted by name."""
        return self._sorted_cached(service, self._services.get(service, ()))

    def agent_count(self, service: str) -> int:
        """Return the number of live agents of a service."""
        return len(self._services.get(service, ()))

    def balancers(self) -> tuple[records.InstanceRecord, ...]:
        """Return the live balancers, sorted by name."""
        return self._sorted_cached(_BALANCERS_GROUP, self._balancers)

    def services(self) -> tuple[str, ...]:
        """Return the services that have a live agent."""
        return tuple(self._services)

    def service_digest(self, service: str) -> int:
        """Return a 64-bit digest of the live agents of a service."""
        return self._service_digests.get(service, 0)

    def digests(self) -> tuple[int, ...]:
        """Return a 64-bit digest of the live records of each bucket."""
        return tuple(self._digests)

    def bucket(self, number: int) -> tuple[records.InstanceRecord, ...]:
        """Return the records of one digest bucket, including tombstones."""
        return tuple(
            self._entries[instance].record for instance in self._buckets[number]
        )

    def merge(self, record: records.InstanceRecord) -> bool:
        """Store a record if it outranks the known one.

        A departed record of an unknown instance is not stored. Otherwise two
        registries would renew each other's tombstones forever.

        Args:
            record: From its owner, an observer or another registry.

        Returns:
            Whether the stored record has changed.
        """
        if not records.is_valid(record):
            return False
        known = self._entries.get(record.instance)
        if known is None and records.is_departed(record):
            return False
        if known is not None and not _outranks(record, known.record):
            return False
        if record.state == const.STATE_LAPSED and self._is_vetoed(record):
            return False
        self._replace(known, record)
        self._listeners.notify(record, known.record if known else None)
        return True

    def changed_since(
        self,
        revision: int,
        instances: abc.Iterable[records.InstanceRecord],
    ) -> tuple[records.InstanceRecord, ...]:
        """Return those of the given known records changed after a revision."""
        return tuple(
            record
            for record in instances
            if self._entries[record.instance].revision > revision
        )

    def lapsed_balancers(self) -> tuple[records.InstanceRecord, ...]:
        """Return lapsed balancers, which may be only partitioned."""
        return tuple(
            record
            for record in self._sorted(self._tombstones)
            if record.kind == const.KIND_BALANCER
            and record.state == const.STATE_LAPSED
        )

    def departed(self, service: str) -> tuple[records.InstanceRecord, ...]:
        """Return the tombstones of the agents of a service."""
        return tuple(
            record
            for record in self._sorted(self._tombstones)
            if record.service == service
        )

    def forget(self, instance: str) -> None:
        """Remove an instance without leaving a tombstone."""
        entry = self._entries.get(instance)
        if entry is not None:
            self._remove(entry)

    def total_digest(self) -> int:
        """Return a 64-bit digest of all live records."""
        return self._total_digest

    def set_lapse_veto(self, veto: LapseVeto) -> None:
        """Reject lapsed records that this process knows to be wrong.

        Args:
            veto: Returns whether the instance of a lapsed record is alive.
        """
        self._lapse_veto = veto

    def expire(self) -> int:
        """Remove the expired tombstones; return how many."""
        now = self._clock()
        tombstones = [self._entries[name] for name in self._tombstones]
        due = [
            entry
            for entry in tombstones
            if entry.departed_at + _tombstone_s(entry.record) <= now
        ]
        for entry in due:
            self._remove(entry)
        return len(due)

    def subscribe(self, callback: Listener) -> abc.Callable[[], None]:
        """Call back with each new record and the one that it replaces.

        Returns:
            A function that unsubscribes.
        """
        return self._listeners.subscribe(callback)

    def _is_vetoed(self, lapse: records.InstanceRecord) -> bool:
        return self._lapse_veto is not None and self._lapse_veto(lapse)

    def _sorted(
        self,
        instances: abc.Iterable[str],
    ) -> tuple[records.InstanceRecord, ...]:
        return tuple(self._entries[name].record for name in sorted(instances))

    def _sorted_cached(
        self,
        group: str,
        instances: abc.Iterable[str],
    ) -> tuple[records.InstanceRecord, ...]:
        """Return the sorted records of a service or of the balancers.

        They are cached because they are read far more often than they change.
        """
        cached = self._sorted_cache.get(group)
        if cached is None:
            cached = self._sorted(instances)
            self._sorted_cache[group] = cached
        return cached

    def _replace(
        self,
        known: _Entry | None,
        record: records.InstanceRecord,
    ) -> None:
        if known is not None:
            self._remove(known)
        self._revision += 1
        entry = _Entry(
            record,
            records.fingerprint(record),
            self._clock(),
            self._revision,
        )
        self._entries[record.instance] = entry
        self._buckets[bucket_of(record.instance)][record.instance] = None
        if records.is_departed(record):
            self._tombstones.add(record.instance)
            return
        self._toggle_digests(entry)
        self._sorted_cache.pop(_group(record), None)
        if record.kind == const.KIND_BALANCER:
            self._balancers.add(record.instance)
        else:
            instances = self._services.setdefault(record.service, set())
            instances.add(record.instance)

    def _remove(self, entry: _Entry) -> None:
        record = entry.record
        self._entries.pop(record.instance)
        self._buckets[bucket_of(record.instance)].pop(record.instance)
        if records.is_departed(record):
            self._tombstones.discard(record.instance)
            return
        self._toggle_digests(entry)
        self._sorted_cache.pop(_group(record), None)
        self._balancers.discard(record.instance)
        instances = self._services.get(record.service, set())
        instances.discard(record.instance)
        if not instances:
            self._services.pop(record.service, None)
            self._service_digests.pop(record.service, None)

    def _toggle_digests(self, entry: _Entry) -> None:
        # XOR adds and removes a record in the same way.
        record = entry.record
        self._digests[bucket_of(record.instance)] ^= entry.fingerprint
        self._total_digest ^= entry.fingerprint
        if record.kind == const.KIND_AGENT:
            before = self._service_digests.get(record.service, 0)
            self._service_digests[record.service] = before ^ entry.fingerprint


def bucket_of(instance: str) -> int:
    """Return the digest bucket of an instance."""
    return xxhash.xxh64_intdigest(instance.encode()) % const.DIGEST_BUCKETS


def _group(record: records.InstanceRecord) -> str:
    is_balancer = record.kind == const.KIND_BALANCER
    return _BALANCERS_GROUP if is_balancer else record.service


def _outranks(
    record: records.InstanceRecord,
    known: records.InstanceRecord,
) -> bool:
    return records.precedence(record) > records.precedence(known)


def _tombstone_s(record: records.InstanceRecord) -> float:
    """Return for how many seconds a tombstone is kept."""
    if record.state == const.STATE_LAPSED:
        return const.LAPSED_TOMBSTONE_S
    return const.TOMBSTONE_S
