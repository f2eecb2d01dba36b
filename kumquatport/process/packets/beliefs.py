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
STORE: typing.Final = 'store'

# Changes of the routes that heartbeats carry: a few, for peers that missed the
# one before. Who missed more fetches the whole.
MAX_CHANGES_BYTES: typing.Final = 400


class Beliefs:
    """Routes and failure domains taken out; neither ever goes back."""

    def __init__(self, own: str) -> None:
        """Start without any.

        Args:
            own: Name of this instance.
        """
        self._own = own
        self._root = own
        self._recent: collections.deque[routes.RouteTableDelta] = (
            collections.deque()
        )
        self._current = current.CurrentDocument(routes.decode)
        self._digest = 0
        self._domains_changed = 0
        self._domains_out: frozenset[str] = frozenset()
        self._confirmed_at = -math.inf
        self._changes: listeners.Listeners[_Listener] = listeners.Listeners()

    @property
    def routes(self) -> routes.RouteTable | None:
        """Return the routes in force, None before the first."""
        return typing.cast(
            typing.Optional[routes.RouteTable], self._current.document
        )

    @property
    def routes_version(self) -> int:
        """Return the version of the routes, 0 before the first."""
        return self._current.version

    @property
    def encoded_routes(self) -> bytes:
        """Return the routes as they are passed on."""
        return self._current.snapshot.encoded

    @property
    def domains_out(self) -> frozenset[str]:
        """Return the failure domains that get no new flow."""
        return self._domains_out

    @property
    def domains_changed(self) -> int:
        """Return the revision at which the domains out changed last."""
        return self._domains_changed

    @property
    def knows_domains(self) -> bool:
        """Tell whether the domains taken out were ever learnt."""
        return self._domains_changed > 0

    @property
    def age_s(self) -> float:
        """Return seconds since the store confirmed them, as far as known."""
        return clock.now() - self._confirmed_at

    @property
    def told_age_s(self) -> float:
        """Return the age as others are told it, ``NEVER_S`` at most."""
        return min(self.age_s, NEVER_S)

    @property
    def root(self) -> str:
        """Return the instance that had the latest change from the store."""
        return self._root

    def subscribe(self, callback: _Listener) -> abc.Callable[[], None]:
        """Call back after each change."""
        return self._changes.subscribe(callback)

    def offer_routes(self, encoded: bytes, source: str, root: str = '') -> bool:
        """Take routes if they are newer than those in force.

        Args:
            encoded: As passed between instances.
            source: Who told them, for the log.
            root: Instance that had them from the store; empty if this one.

        Raises:
            DocumentRejectedError: They are newer but malformed.
        """
        age_s = self.age_s
        table = routes.decode(encoded)
        before = self._current.snapshot
        taken = current.VersionedDocument(table.version, encoded, table)
        if not self._current.update_parsed(taken):
            return False
        self._root = root or self._own
        self._note_change(before)
        _LOGGER.info(
            'routes changed',
            version=table.version,
            source=source,
            age_s=_finite(age_s),
        )
        self._changes.notify()
        return True

    def offer_domains(
        self,
        revision: int,
        out: abc.Iterable[str],
        source: str,
        root: str = '',
    ) -> bool:
        """Take the failure domains that are out since a revision.

        Args:
            revision: Revision of the store at which that set came to be, or
                at which it was first read.
            out: Their names.
            source: Who told them, for the log.
            root: Instance that had them from the store; empty if this one.

        Returns:
            Whether the set changed.
        """
        if revision <= self._domains_changed:
            return False
        names = frozenset(out)
        is_same = names == self._domains_out and self.knows_domains
        self._domains_changed = revision
        if is_same:
            return False
        self._domains_out = names
        self._root = root or self._own
        _LOGGER.info(
            'failure domains out',
            domains=sorted(names),
            revision=revision,
            source=source,
        )
        self._changes.notify()
        return True

    def confirm(self, age_s: float = 0) -> None:
        """Note that the store confirmed what is held.

        Args:
            age_s: Seconds since it did.
        """
        self._confirmed_at = max(self._confirmed_at, clock.now() - age_s)

    def take(self, told: messages.Beliefs, source: str) -> bool:
        """Take what a peer believes, and its changes of the routes.

        Returns:
            Whether the peer has newer routes, which must be fetched.

        Raises:
            DocumentRejectedError: Its changes are malformed.
        """
        self.offer_domains(
            told.domains_changed, told.domains_out, source, told.root
        )
        self._apply(told, source)
        return self.compare(
            told.routes_version, told.domains_changed, told.age_s
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
        if domains_changed > self._domains_changed:
            return True
        is_same = routes_version == self.routes_version
        if is_same and domains_changed == self._domains_changed:
            self.confirm(age_s)
        return False

    def told(self, *, with_changes: bool) -> messages.Beliefs:
        """Return what peers are told.

        Args:
            with_changes: Whether the latest changes of the routes go along.
        """
        return messages.Beliefs(
            self.routes_version,
            self._domains_changed,
            tuple(sorted(self._domains_out)),
            self.told_age_s,
            self._root,
            tuple(self._recent) if with_changes else (),
        )

    def _apply(self, told: messages.Beliefs, source: str) -> None:
        """Apply the changes that begin at the routes in force."""
        table = self.routes
        if table is None or told.routes_version <= table.version:
            return
        for change in told.changes:
            if change.base_digest == self._digest:
                table = routes.apply_delta(table, change)
                self.offer_routes(routes.encode(table), source, told.root)

    def _note_change(self, before: current.VersionedDocument) -> None:
        """Keep what has changed, to tell it to peers."""
        base = self._digest
        self._digest = routes.digest(self.encoded_routes)
        after = self.routes
        if before.document is None or after is None:
            return
        change = routes.compute_delta(base, before.document, after)
        self._recent.append(change)
        while self._recent and _size(self._recent) > MAX_CHANGES_BYTES:
            self._recent.popleft()


# Age in seconds that stands for never; infinity is no number on the wire.
NEVER_S: typing.Final = 1e6


def _size(changes: abc.Iterable[routes.RouteTableDelta]) -> int:
    return len(msgspec.msgpack.encode(tuple(changes)))


def _finite(age_s: float) -> float | None:
    return round(age_s, 3) if math.isfinite(age_s) else None
