"""The registry: the highest record of each instance."""

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


# Group of the balancers among the services of agents, none of which has an
# empty name.
_BALANCERS: typing.Final = ''


class _Entry(typing.NamedTuple):
    record: records.InstanceRecord
    fingerprint: int
    departed_at: float
    revision: int


class Registry:
    """Records merged by precedence; merging commutes and is idempotent."""

    def __init__(
        self,
        clock: abc.Callable[[], float] = time.monotonic,
    ) -> None:
        """Start empty.

        Args:
            clock: Monotonic seconds, by which tombstones are dropped.
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
        self._total = 0
        self._revision = 0
        self._lapse_veto: LapseVeto | None = None
        self._listeners: listeners.Listeners[Listener] = listeners.Listeners()

    @property
    def revision(self) -> int:
        """Return a count of the changes so far, in this process only."""
        return self._revision

    def __len__(self) -> int:
        """Return how many records are held, tombstones included."""
        return len(self._entries)

    def get(self, instance: str) -> records.InstanceRecord | None:
        """Return the record of an instance, also a departed one."""
        entry = self._entries.get(instance)
        return entry.record if entry else None

    def all_records(self) -> tuple[records.InstanceRecord, ...]:
        """Return every record, tombstones included."""
        return tuple(entry.record for entry in self._entries.values())

    def agents(self, service: str) -> tuple[records.InstanceRecord, ...]:
        """Return the agents of a service that have not departed, by name."""
        return self._sorted_cached(service, self._services.get(service, ()))

    def agent_count(self, service: str) -> int:
        """Return how many agents of a service have not departed."""
        return len(self._services.get(service, ()))

    def balancers(self) -> tuple[records.InstanceRecord, ...]:
        """Return the balancers that have not departed, by name."""
        return self._sorted_cached(_BALANCERS, self._balancers)

    def services(self) -> tuple[str, ...]:
        """Return the services that have an agent."""
        return tuple(self._services)

    def service_digest(self, service: str) -> int:
        """Return a 64-bit digest of the live agents of a service."""
        return self._service_digests.get(service, 0)

    def digests(self) -> tuple[int, ...]:
        """Return a 64-bit digest of the live records of each bucket."""
        return tuple(self._digests)

    def bucket(self, number: int) -> tuple[records.InstanceRecord, ...]:
        """Return the records of one digest bucket, tombstones included."""
        return tuple(
            self._entries[instance].record for instance in self._buckets[number]
        )

    def merge(self, record: records.InstanceRecord) -> bool:
        """Keep a record if it outranks the one held.

        A departed record of an instance that is not known adds nothing and
        is not kept: else two registries would renew each other's tombstones
        for ever.

        Args:
            record: From its owner, an observer or another registry.

        Returns:
            Whether the record held has changed.
        """
        if not records.is_valid(record):
            return False
        held = self._entries.get(record.instance)
        if held is None and records.is_departed(record):
            return False
        if held is not None and not _outranks(record, held.record):
            return False
        if record.state == const.STATE_LAPSED and self._is_vetoed(record):
            return False
        self._replace(held, record)
        self._listeners.notify(record, held.record if held else None)
        return True

    def changed_since(
        self,
        revision: int,
        instances: abc.Iterable[records.InstanceRecord],
    ) -> tuple[records.InstanceRecord, ...]:
        """Return those of some held records that changed after a revision."""
        return tuple(
            record
            for record in instances
            if self._entries[record.instance].revision > revision
        )

    def lapsed_balancers(self) -> tuple[records.InstanceRecord, ...]:
        """Return the balancers whose lease lapsed; they may be cut off."""
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
        """Drop an instance without a tombstone, as if never heard of."""
        entry = self._entries.get(instance)
        if entry is not None:
            self._remove(entry)

    def total_digest(self) -> int:
        """Return a 64-bit digest of all live records."""
        return self._total

    def set_lapse_veto(self, veto: LapseVeto) -> None:
        """Have lapses refused that this process knows to be wrong.

        Args:
            veto: Tells whether the instance of a lapse is alive.
        """
        self._lapse_veto = veto

    def expire(self) -> int:
        """Drop the tombstones that are due; return how many."""
        now = self._clock()
        tombstones = [self._entries[name] for name in self._tombstones]
        due = [
            entry
            for entry in tombstones
            if entry.departed_at + _kept_s(entry.record) <= now
        ]
        for entry in due:
            self._remove(entry)
        return len(due)

    def subscribe(self, callback: Listener) -> abc.Callable[[], None]:
        """Call back with each new record and the one that it replaces.

        Returns:
            A function that ends the subscription.
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
        """Return the records of a service or of the balancers, by name.

        They are read far more often than they change.
        """
        found = self._sorted_cache.get(group)
        if found is None:
            found = self._sorted(instances)
            self._sorted_cache[group] = found
        return found

    def _replace(
        self,
        held: _Entry | None,
        record: records.InstanceRecord,
    ) -> None:
        if held is not None:
            self._remove(held)
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
            names = self._services.setdefault(record.service, set())
            names.add(record.instance)

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
        names = self._services.get(record.service, set())
        names.discard(record.instance)
        if not names:
            self._services.pop(record.service, None)
            self._service_digests.pop(record.service, None)

    def _toggle_digests(self, entry: _Entry) -> None:
        # Exclusive or: the same step puts a record in and takes it out.
        record = entry.record
        self._digests[bucket_of(record.instance)] ^= entry.fingerprint
        self._total ^= entry.fingerprint
        if record.kind == const.KIND_AGENT:
            before = self._service_digests.get(record.service, 0)
            self._service_digests[record.service] = before ^ entry.fingerprint


def bucket_of(instance: str) -> int:
    """Return the digest bucket of an instance."""
    return xxhash.xxh64_intdigest(instance.encode()) % const.DIGEST_BUCKETS


def _group(record: records.InstanceRecord) -> str:
    is_balancer = record.kind == const.KIND_BALANCER
    return _BALANCERS if is_balancer else record.service


def _outranks(
    record: records.InstanceRecord,
    held: records.InstanceRecord,
) -> bool:
    return records.precedence(record) > records.precedence(held)


def _kept_s(record: records.InstanceRecord) -> float:
    """Return how long the tombstone of a departed instance is kept."""
    if record.state == const.STATE_LAPSED:
        return const.LAPSED_TOMBSTONE_S
    return const.TOMBSTONE_S
