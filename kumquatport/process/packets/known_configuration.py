"""What this process believes to be the configuration, and how old that is."""

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

# Source of what this process has read from the store itself.
SOURCE_STORE: typing.Final = 'store'

# Changes of the routes that heartbeats carry: a few, for peers that missed the
# one before. Who missed more fetches the whole.
MAX_CHANGES_BYTES: typing.Final = 400


class KnownConfiguration:
    """Routes and failure domains taken out; neither ever goes back."""

    def __init__(self, own: str) -> None:
        """Start without any.

        Args:
            own: Name of this instance.
        """
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
        """Return the routes in force, None before the first."""
        return typing.cast(
            typing.Optional[routes.RouteTable], self._versioned_routes.document
        )

    @property
    def routes_version(self) -> int:
        """Return the version of the routes, 0 before the first."""
        return self._versioned_routes.version

    @property
    def encoded_routes(self) -> bytes:
        """Return the routes as they are passed on."""
        return self._versioned_routes.snapshot.encoded

    @property
    def domains_out(self) -> frozenset[str]:
        """Return the failure domains that get no new flow."""
        return self._domains_out

    @property
    def domains_revision(self) -> int:
        """Return the revision at which the domains out changed last."""
        return self._domains_revision

    @property
    def has_domains(self) -> bool:
        """Tell whether the domains taken out were ever learnt."""
        return self._domains_revision > 0

    @property
    def age_s(self) -> float:
        """Return seconds since the store confirmed them, as far as known."""
        return clock.now() - self._confirmed_at

    @property
    def reported_age_s(self) -> float:
        """Return the age as others are told it, ``AGE_NEVER_S`` at most."""
        return min(self.age_s, AGE_NEVER_S)

    @property
    def origin(self) -> str:
        """Return the instance that had the latest change from the store."""
        return self._origin

    def subscribe(self, callback: _Listener) -> abc.Callable[[], None]:
        """Call back after each change."""
        return self._listeners.subscribe(callback)

    def update_routes(
        self, encoded: bytes, source: str, origin: str = ''
    ) -> bool:
        """Take routes if they are newer than those in force.

        Args:
            encoded: As passed between instances.
            source: Who told them, for the log.
            origin: Instance that had them from the store; empty if this one.

        Raises:
            DocumentRejectedError: They are newer but malformed.
        """
        age_s = self.age_s
        table = routes.decode(encoded)
        before = self._versioned_routes.snapshot
        taken = current.VersionedDocument(table.version, encoded, table)
        if not self._versioned_routes.update_parsed(taken):
            return False
        self._origin = origin or self._own
        self._record_change(before)
        _LOGGER.info(
            'routes changed',
            version=table.version,
            source=source,
            age_s=_finite(age_s),
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
        """Take the failure domains that are out since a revision.

        Args:
            revision: Revision of the store at which that set came to be, or
                at which it was first read.
            out: Their names.
            source: Who told them, for the log.
            origin: Instance that had them from the store; empty if this one.

        Returns:
            Whether the set changed.
        """
        if revision <= self._domains_revision:
            return False
        names = frozenset(out)
        is_same = names == self._domains_out and self.has_domains
        self._domains_revision = revision
        if is_same:
            return False
        self._domains_out = names
        self._origin = origin or self._own
        _LOGGER.info(
            'failure domains out',
            domains=sorted(names),
            revision=revision,
            source=source,
        )
        self._listeners.notify()
        return True

    def confirm(self, age_s: float = 0) -> None:
        """Note that the store confirmed what is held.

        Args:
            age_s: Seconds since it did.
        """
        self._confirmed_at = max(self._confirmed_at, clock.now() - age_s)

    def merge(self, told: messages.ConfigurationState, source: str) -> bool:
        """Take what a peer believes, and its changes of the routes.

        Returns:
            Whether the peer has newer routes, which must be fetched.

        Raises:
            DocumentRejectedError: Its changes are malformed.
        """
        self.update_domains(
            told.domains_revision, told.domains_out, source, told.origin
        )
        self._apply_changes(told, source)
        return self.compare(
            told.routes_version, told.domains_revision, told.age_s
        )

    def compare(
        self, routes_version: int, domains_changed: int, age_s: float
    ) -> bool:
        """Take a peer's confirmation, if it holds nothing newer.

        Returns:
            Whether the peer holds something newer.
        """
        if routes_version > self.routes_version:
            return True
        if domains_changed > self._domains_revision:
            return True
        is_same = routes_version == self.routes_version
        if is_same and domains_changed == self._domains_revision:
            self.confirm(age_s)
        return False

    def snapshot(self, *, with_changes: bool) -> messages.ConfigurationState:
        """Return what peers are told.

        Args:
            with_changes: Whether the latest changes of the routes go along.
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
        self, told: messages.ConfigurationState, source: str
    ) -> None:
        """Apply the changes that begin at the routes in force."""
        table = self.routes
        if table is None or told.routes_version <= table.version:
            return
        for change in told.changes:
            if change.base_digest == self._routes_digest:
                table = routes.apply_delta(table, change)
                self.update_routes(routes.encode(table), source, told.origin)

    def _record_change(self, before: current.VersionedDocument) -> None:
        """Keep what has changed, to tell it to peers."""
        base = self._routes_digest
        self._routes_digest = routes.digest(self.encoded_routes)
        after = self.routes
        if before.document is None or after is None:
            return
        change = routes.compute_delta(base, before.document, after)
        self._recent_changes.append(change)
        while (
            self._recent_changes
            and _size(self._recent_changes) > MAX_CHANGES_BYTES
        ):
            self._recent_changes.popleft()


# Age in seconds that stands for never; infinity is no number on the wire.
AGE_NEVER_S: typing.Final = 1e6


def _size(changes: abc.Iterable[routes.RouteTableDelta]) -> int:
    return len(msgspec.msgpack.encode(tuple(changes)))


def _finite(age_s: float) -> float | None:
    return round(age_s, 3) if math.isfinite(age_s) else None
