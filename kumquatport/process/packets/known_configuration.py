"""Configuration known to this process, and its age."""

import collections
import math
import typing
from collections import abc

import msgspec
import structlog

from kumquatport.helpers import clock, listeners
from kumquatport.process.packets import messages, models
from kumquatport.version import current, routes

_LOGGER = structlog.get_logger(__name__)

_Listener = abc.Callable[[], None]

# Source name of configuration that this process has read from the store.
SOURCE_STORE: typing.Final = 'store'

# Bytes of route changes that heartbeats carry, enough for peers that missed the
# previous one. A peer that missed more fetches the whole table.
MAX_CHANGES_BYTES: typing.Final = 400


class DomainsVersion(typing.NamedTuple):
    """Version of the set of failure domains, in the order of comparison.

    Attributes:
        era: Era of the store; 0 if it has none.
        revision: Revision of the store in that era; 0 before the first set.
    """

    era: int
    revision: int


class KnownConfiguration:
    """Routes and failure domains taken out; versions never go back.

    A store that is restored from a copy assigns lower revisions in a higher
    era. The copy may lack the latest failure domains that operators have taken
    out, until the operators write them again, so these stay out for a while.

    Attributes:
        late_after_s: Age in seconds at which a confirmation is logged as late.
        rewrite_s: Seconds for which a failure domain that a restored store
            lacks stays out.
    """

    def __init__(
        self, own: str, late_after_s: float = math.inf, rewrite_s: float = 0
    ) -> None:
        """Start without routes and failure domains.

        Args:
            own: Name of this instance.
            late_after_s: Age in seconds at which a confirmation is logged as
                late.
            rewrite_s: Seconds for which a failure domain that a restored store
                lacks stays out.
        """
        self.late_after_s = late_after_s
        self.rewrite_s = rewrite_s
        self._own = own
        self._origin = own
        self._recent_changes: collections.deque[routes.RouteTableDelta] = (
            collections.deque()
        )
        self._versioned_routes = current.CurrentDocument(routes.decode)
        self._routes_digest = 0
        self._domains_version = DomainsVersion(0, 0)
        self._stored_domains_out: frozenset[str] = frozenset()
        self._unwritten_domains: frozenset[str] = frozenset()
        self._unwritten_until = -math.inf
        self._latest_era = 0
        self._confirmed_at = -math.inf
        self._listeners: listeners.Listeners[_Listener] = listeners.Listeners()

    @property
    def routes(self) -> routes.RouteTable | None:
        """Return the current routes; None before the first."""
        return typing.cast(
            typing.Optional[routes.RouteTable], self._versioned_routes.document
        )

    @property
    def routes_version(self) -> int:
        """Return the version of the routes; 0 before the first."""
        return self._versioned_routes.version

    @property
    def encoded_routes(self) -> bytes:
        """Return the encoded routes that peers fetch."""
        return self._versioned_routes.snapshot.encoded

    @property
    def domains_out(self) -> frozenset[str]:
        """Return the failure domains that get no new flows."""
        if clock.now() < self._unwritten_until:
            return self._stored_domains_out | self._unwritten_domains
        return self._stored_domains_out

    @property
    def stored_domains_out(self) -> frozenset[str]:
        """Return the failure domains that are taken out in the store."""
        return self._stored_domains_out

    @property
    def domains_revision(self) -> int:
        """Return the store revision of the set of failure domains."""
        return self._domains_version.revision

    @property
    def store_era(self) -> int:
        """Return the era of the store in which the set was read."""
        return self._domains_version.era

    @property
    def has_domains(self) -> bool:
        """Return whether the set of failure domains is known."""
        return self._domains_version.revision > 0

    @property
    def age_s(self) -> float:
        """Return seconds since the store last confirmed the configuration."""
        return clock.now() - self._confirmed_at

    @property
    def reported_age_s(self) -> float:
        """Return the age that is reported, at most ``AGE_NEVER_S``."""
        return min(self.age_s, AGE_NEVER_S)

    @property
    def origin(self) -> str:
        """Return the instance that read the latest change from the store."""
        return self._origin

    def apply_bounds(self, bounds: models.Bounds) -> None:
        """Apply bounds that changed at run time."""
        self.late_after_s = bounds.configuration_s
        self.rewrite_s = bounds.evacuate_s

    def subscribe(self, callback: _Listener) -> abc.Callable[[], None]:
        """Call back after each change.

        Returns:
            A function that ends the subscription.
        """
        return self._listeners.subscribe(callback)

    def update_routes(
        self, encoded: bytes, source: str, origin: str = ''
    ) -> bool:
        """Apply routes if they are newer than the current ones.

        Args:
            encoded: Routes as encoded between instances.
            source: Where they came from, for the log.
            origin: Instance that read them from the store; empty for this one.

        Returns:
            Whether they were newer.

        Raises:
            DocumentRejectedError: The routes are malformed.
        """
        age_s = self.age_s
        table = routes.decode(encoded)
        before = self._versioned_routes.snapshot
        candidate = current.VersionedDocument(table.version, encoded, table)
        if not self._versioned_routes.update_parsed(candidate):
            return False
        self._origin = origin or self._own
        self._record_change(before)
        _LOGGER.info(
            'routes changed',
            version=table.version,
            source=source,
            origin=self._origin,
            age_s=_rounded_or_none(age_s),
        )
        self._listeners.notify()
        return True

    def update_domains(
        self,
        revision: int,
        out: abc.Iterable[str],
        source: str,
        origin: str = '',
        era: int = 0,
    ) -> bool:
        """Apply a set of failure domains taken out, if it is newer.

        Args:
            revision: Store revision at which the set changed, or was first
                read.
            out: Names of the failure domains.
            source: Where they came from, for the log.
            origin: Instance that read them from the store; empty for this one.
            era: Era of the revision; 0 if the store has none.

        Returns:
            Whether the set changed.
        """
        version = DomainsVersion(era, revision)
        if version <= self._domains_version:
            return False
        names = frozenset(out)
        is_known = self.has_domains
        if is_known and era > self._domains_version.era:
            self._hold_domains()
        self._unwritten_domains -= names
        self._domains_version = version
        self.note_era(era)
        if is_known and names == self._stored_domains_out:
            return False
        self._stored_domains_out = names
        self._origin = origin or self._own
        _LOGGER.info(
            'failure domains out',
            domains=sorted(names),
            held=sorted(self.domains_out - names),
            revision=revision,
            era=era,
            source=source,
            origin=self._origin,
            age_s=_rounded_or_none(self.age_s),
        )
        self._listeners.notify()
        return True

    def note_era(self, era: int) -> None:
        """Record an era that the store has stated to this process.

        Peers that know an earlier one only then confirm nothing: they have not
        noticed that the store was restored.
        """
        self._latest_era = max(self._latest_era, era)

    def confirm(self, age_s: float = 0, source: str = SOURCE_STORE) -> bool:
        """Record that the store has confirmed the configuration.

        Args:
            age_s: Seconds since the confirmation.
            source: Who told of the confirmation, for the log.

        Returns:
            Whether it is later than the latest one known.
        """
        known_age_s = self.age_s
        if age_s >= known_age_s:
            return False
        self._confirmed_at = clock.now() - age_s
        if self.late_after_s < known_age_s < math.inf:
            _LOGGER.info(
                'configuration confirmed late',
                after_s=round(known_age_s, 3),
                age_s=round(age_s, 3),
                source=source,
            )
        return True

    def merge(self, state: messages.ConfigurationState, source: str) -> bool:
        """Merge the configuration state of a peer.

        Args:
            state: State and route changes that the peer has sent.
            source: Name of the peer.

        Returns:
            Whether the peer has newer routes, which must be fetched.

        Raises:
            DocumentRejectedError: The changes are malformed.
        """
        version = DomainsVersion(state.store_era, state.domains_revision)
        self.update_domains(
            version.revision,
            state.failure_domains,
            source,
            state.origin,
            version.era,
        )
        self._apply_changes(state, source)
        return self.compare(
            state.routes_version,
            version.revision,
            state.age_s,
            source,
            version.era,
        )

    def compare(
        self,
        routes_version: int,
        domains_revision: int,
        age_s: float,
        source: str = '',
        era: int = 0,
    ) -> bool:
        """Compare versions with a peer, and take its age if they are equal.

        Args:
            routes_version: Version of the peer's routes.
            domains_revision: Revision of the peer's failure domains.
            age_s: Seconds since the store confirmed them to the peer.
            source: Name of the peer, for the log.
            era: Era of the revision; 0 if the store has none.

        Returns:
            Whether the peer holds something newer.
        """
        version = DomainsVersion(era, domains_revision)
        if routes_version > self.routes_version:
            return True
        if version > self._domains_version:
            return True
        is_same = routes_version == self.routes_version
        if (
            is_same
            and version == self._domains_version
            and era >= self._latest_era
        ):
            self.confirm(age_s, source)
        return False

    def snapshot(self, *, with_changes: bool) -> messages.ConfigurationState:
        """Return the configuration state to send to peers.

        Args:
            with_changes: Whether to include the latest route changes.
        """
        return messages.ConfigurationState(
            self.routes_version,
            self._domains_version.revision,
            messages.encode_domains(
                self._stored_domains_out, self._domains_version.era
            ),
            self.reported_age_s,
            self._origin,
            tuple(self._recent_changes) if with_changes else (),
        )

    def _apply_changes(
        self, state: messages.ConfigurationState, source: str
    ) -> None:
        """Apply the changes that are based on the current routes."""
        table = self.routes
        if table is None or state.routes_version <= table.version:
            return
        for change in state.changes:
            if change.base_digest == self._routes_digest:
                table = routes.apply_delta(table, change)
                self.update_routes(routes.encode(table), source, state.origin)

    def _hold_domains(self) -> None:
        """Keep the failure domains out that a restored store may lack."""
        self._unwritten_domains = self.domains_out
        self._unwritten_until = clock.now() + self.rewrite_s

    def _record_change(self, before: current.VersionedDocument) -> None:
        """Store the latest change of the routes to send it to peers.

        Args:
            before: Routes before the change.
        """
        base = self._routes_digest
        self._routes_digest = routes.digest(self.encoded_routes)
        after = self.routes
        if before.document is None or after is None:
            return
        change = routes.compute_delta(base, before.document, after)
        self._recent_changes.append(change)
        while (
            self._recent_changes
            and _encoded_size(self._recent_changes) > MAX_CHANGES_BYTES
        ):
            self._recent_changes.popleft()


# Age in seconds of a configuration that was never confirmed, since metrics and
# messages need a finite number.
AGE_NEVER_S: typing.Final = 1e6


def _encoded_size(changes: abc.Iterable[routes.RouteTableDelta]) -> int:
    return len(msgspec.msgpack.encode(tuple(changes)))


def _rounded_or_none(age_s: float) -> float | None:
    return round(age_s, 3) if math.isfinite(age_s) else None
