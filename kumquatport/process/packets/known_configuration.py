"""Configuration known to this process, and its age."""

import collections
import math
import typing
from collections import abc

import msgspec
import structlog

from kumquatport.helpers import clock, listeners
from kumquatport.process.packets import messages
from kumquatport.version import current, routes

_LOGGER = structlog.get_logger(__name__)

_Listener = abc.Callable[[], None]

# Source name of configuration that this process has read from the store.
SOURCE_STORE: typing.Final = 'store'

# Bytes of route changes that heartbeats carry, enough for peers that missed the
# previous one. A peer that missed more fetches the whole table.
MAX_CHANGES_BYTES: typing.Final = 400


class KnownConfiguration:
    """Routes and failure domains taken out; versions never go back.

    Attributes:
        late_after_s: Age in seconds at which a confirmation is logged as late.
    """

    def __init__(self, own: str, late_after_s: float = math.inf) -> None:
        """Start without routes and failure domains.

        Args:
            own: Name of this instance.
            late_after_s: Age in seconds at which a confirmation is logged as
                late.
        """
        self.late_after_s = late_after_s
        self._own = own
        self._origin = own
        self._recent_changes: collections.deque[routes.RouteTableDelta] = (
            collections.deque()
        )
        self._versioned_routes = current.CurrentDocument(routes.decode)
        self._routes_digest = 0
        self._domains_revision = 0
        self._domains_out: frozenset[str] = frozenset()
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
        return self._domains_out

    @property
    def domains_revision(self) -> int:
        """Return the store revision of the set of failure domains."""
        return self._domains_revision

    @property
    def has_domains(self) -> bool:
        """Return whether the set of failure domains is known."""
        return self._domains_revision > 0

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
    ) -> bool:
        """Apply a set of failure domains taken out, if it is newer.

        Args:
            revision: Store revision at which the set changed, or was first
                read.
            out: Names of the failure domains.
            source: Where they came from, for the log.
            origin: Instance that read them from the store; empty for this one.

        Returns:
            Whether the set changed.
        """
        if revision <= self._domains_revision:
            return False
        names = frozenset(out)
        is_unchanged = names == self._domains_out and self.has_domains
        self._domains_revision = revision
        if is_unchanged:
            return False
        self._domains_out = names
        self._origin = origin or self._own
        _LOGGER.info(
            'failure domains out',
            domains=sorted(names),
            revision=revision,
            source=source,
            origin=self._origin,
            age_s=_rounded_or_none(self.age_s),
        )
        self._listeners.notify()
        return True

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
        self.update_domains(
            state.domains_revision, state.domains_out, source, state.origin
        )
        self._apply_changes(state, source)
        return self.compare(
            state.routes_version, state.domains_revision, state.age_s, source
        )

    def compare(
        self,
        routes_version: int,
        domains_revision: int,
        age_s: float,
        source: str = '',
    ) -> bool:
        """Compare versions with a peer, and take its age if they are equal.

        Args:
            routes_version: Version of the peer's routes.
            domains_revision: Revision of the peer's failure domains.
            age_s: Seconds since the store confirmed them to the peer.
            source: Name of the peer, for the log.

        Returns:
            Whether the peer holds something newer.
        """
        if routes_version > self.routes_version:
            return True
        if domains_revision > self._domains_revision:
            return True
        is_same = routes_version == self.routes_version
        if is_same and domains_revision == self._domains_revision:
            self.confirm(age_s, source)
        return False

    def snapshot(self, *, with_changes: bool) -> messages.ConfigurationState:
        """Return the configuration state to send to peers.

        Args:
            with_changes: Whether to include the latest route changes.
        """
        return messages.ConfigurationState(
            self.routes_version,
            self._domains_revision,
            tuple(sorted(self._domains_out)),
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
