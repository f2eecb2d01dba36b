"""Which of the other instances are heard, and how often each is told."""

import math
from collections import abc

import structlog

from kumquatport.helpers import clock
from kumquatport.process.logs import rate_limit
from kumquatport.process.packets import const, messages, peers
from kumquatport.version import members

_LOGGER = structlog.get_logger(__name__)


class Liveness:
    """What was heard from each peer, and since when nothing was.

    Attributes:
        lines: Log lines about peers.
    """

    def __init__(
        self,
        registry: members.Registry,
        failure_domain: str,
        *,
        is_balancer: bool,
    ) -> None:
        """Start as having heard nobody.

        Args:
            registry: Records of the instances that this process keeps.
            failure_domain: Of this process.
            is_balancer: Whether this process is one.
        """
        self._registry = registry
        self._failure_domain = failure_domain
        self._is_balancer = is_balancer
        self._peers: dict[str, peers.Peer] = {}
        self.lines = rate_limit.RateLimitedLogger(
            _LOGGER, const.PEER_LINES_PER_S, const.PEER_BURST_LINES
        )

    @property
    def round_s(self) -> float:
        """Return the seconds between two rounds of heartbeats."""
        return peers.round_s(len(self._registry))

    def peer(self, instance: str) -> peers.Peer | None:
        """Return what was heard from an instance."""
        return self._peers.get(instance)

    def set_peer(self, instance: str, peer: peers.Peer) -> None:
        """Keep what was heard from an instance."""
        self._peers[instance] = peer

    def remove_peer(self, instance: str) -> None:
        """Forget what was heard from an instance."""
        self._peers.pop(instance, None)

    def rounds_per_heartbeat(self, failure_domain: str) -> int:
        """Return of how many rounds one brings a heartbeat to a peer.

        Args:
            failure_domain: Of the peer.
        """
        if self._is_balancer:
            return const.REMOTE_INTERVAL_ROUNDS
        if failure_domain == self._failure_domain:
            return 1
        return peers.remote_interval_rounds(len(self._registry.balancers()))

    def announced_round_s(self, failure_domain: str) -> float:
        """Return the seconds that a peer is told for a round.

        It expects each ``const.REMOTE_INTERVAL_ROUNDS`` th round to reach it from another
        failure domain.

        Args:
            failure_domain: Of the peer.
        """
        rounds = max(
            self.rounds_per_heartbeat(failure_domain)
            / const.REMOTE_INTERVAL_ROUNDS,
            1,
        )
        return self.round_s * rounds

    def is_suspect(self, instance: str) -> bool:
        """Tell whether an instance has gone silent."""
        peer = self._peers.get(instance)
        if peer is None:
            return True
        return clock.now() - peer.last_heartbeat_at > self._suspect_timeout_s(
            instance, peer
        )

    def should_request_load(self, instance: str) -> bool:
        """Tell whether an offer is to ask for the load; notes that it does.

        An agent that leaves it unanswered is passed over at once, where its
        missing heartbeats tell only after several periods. These grow with
        the number of peers; the time for an answer does not.
        """
        peer = self._peers.get(instance)
        if peer is None or math.isfinite(peer.load_requested_at):
            return False
        now = clock.now()
        if now - peer.last_heartbeat_at < const.LOAD_REQUEST_AGE_S:
            return False
        peer.load_requested_at = now
        return True

    def is_unresponsive(self, instance: str) -> bool:
        """Tell whether an instance has left an offer unanswered."""
        peer = self._peers.get(instance)
        if peer is None:
            return True
        return clock.now() - peer.load_requested_at > const.OFFER_TIMEOUT_S

    def note_heartbeat(
        self, peer: peers.Peer, record: members.InstanceRecord
    ) -> None:
        """Note a heartbeat of a peer."""
        peer.last_heartbeat_at = clock.now()
        peer.load_requested_at = math.inf
        if peer.is_suspect:
            peer.is_suspect = False
            self.lines.info(
                'instance heard',
                peer=record.instance,
                incarnation=record.incarnation,
                state=record.state,
            )

    def update_load(self, peer: peers.Peer, load: messages.Load | None) -> None:
        """Note how busy a peer is."""
        peer.load = load
        peer.placed_flows = 0
        if load is not None and load.has_report:
            peer.was_draining = load.is_draining

    def expire_silent(self) -> abc.Iterator[str]:
        """Log who has gone silent; yield those that are to be forgotten."""
        now = clock.now()
        self.lines.log_dropped_lines()
        for instance, peer in tuple(self._peers.items()):
            silent_s = now - peer.last_heartbeat_at
            is_silent = silent_s > self._suspect_timeout_s(instance, peer)
            if is_silent and not peer.is_suspect:
                peer.is_suspect = True
                self.lines.warning(
                    'instance silent',
                    peer=instance,
                    silent_s=round(silent_s, 3),
                )
            if silent_s > const.PEER_EXPIRY_S:
                self.lines.warning(
                    'instance forgotten',
                    peer=instance,
                    silent_s=round(silent_s, 1),
                )
                self.remove_peer(instance)
                yield instance

    def _suspect_timeout_s(self, instance: str, peer: peers.Peer) -> float:
        """Return the silence in seconds after which a peer is suspect."""
        record = self._registry.get(instance)
        is_near = (
            record is not None
            and record.kind == members.KIND_AGENT
            and record.failure_domain == self._failure_domain
        )
        every = 1 if is_near else const.REMOTE_INTERVAL_ROUNDS
        return const.SUSPECT_MISSED_HEARTBEATS * every * peer.round_s
