"""Liveness of peers and the rate of the heartbeats sent to each."""

import math
from collections import abc

import structlog

from kumquatport.connection.packets import round_trips
from kumquatport.helpers import clock
from kumquatport.process.logs import rate_limit
from kumquatport.process.packets import const, messages, peers
from kumquatport.version import members

_LOGGER = structlog.get_logger(__name__)


class Liveness:
    """State of each peer, according to the heartbeats received from it.

    Attributes:
        lines: Rate-limited log of changes of peers.
    """

    def __init__(
        self,
        registry: members.Registry,
        failure_domain: str,
        *,
        is_balancer: bool,
    ) -> None:
        """Start without peers.

        Args:
            registry: Records of the known instances.
            failure_domain: Failure domain of this process.
            is_balancer: Whether this process is a balancer.
        """
        self._registry = registry
        self._failure_domain = failure_domain
        self._is_balancer = is_balancer
        self._peers: dict[str, peers.Peer] = {}
        self._round_trips = round_trips.RoundTrips()
        self.lines = rate_limit.RateLimitedLogger(
            _LOGGER, const.PEER_LINES_PER_S, const.PEER_BURST_LINES
        )

    @property
    def round_s(self) -> float:
        """Return the seconds between two heartbeat rounds."""
        return peers.round_s(len(self._registry))

    def peer(self, instance: str) -> peers.Peer | None:
        """Return the state of a peer; None if it is unknown."""
        return self._peers.get(instance)

    def set_peer(self, instance: str, peer: peers.Peer) -> None:
        """Store the state of a peer."""
        self._peers[instance] = peer

    def remove_peer(self, instance: str) -> None:
        """Remove the state of a peer."""
        self._peers.pop(instance, None)

    def rounds_per_heartbeat(self, failure_domain: str) -> int:
        """Return the number of rounds between two heartbeats to a peer.

        Args:
            failure_domain: Failure domain of the peer.
        """
        if self._is_balancer:
            return const.REMOTE_INTERVAL_ROUNDS
        if failure_domain == self._failure_domain:
            return 1
        return peers.remote_interval_rounds(len(self._registry.balancers()))

    def announced_round_s(self, failure_domain: str) -> float:
        """Return the seconds per round that heartbeats announce to a peer.

        A peer multiplies them by ``const.REMOTE_INTERVAL_ROUNDS`` if it is in
        another failure domain. If this process sends to it less often, the
        announced seconds are longer accordingly.

        Args:
            failure_domain: Failure domain of the peer.
        """
        scale = max(
            self.rounds_per_heartbeat(failure_domain)
            / const.REMOTE_INTERVAL_ROUNDS,
            1,
        )
        return self.round_s * scale

    def is_suspect(self, instance: str) -> bool:
        """Return whether heartbeats of an instance are overdue."""
        peer = self._peers.get(instance)
        if peer is None:
            return True
        return clock.now() - peer.last_heartbeat_at > self._suspect_timeout_s(
            instance, peer
        )

    def should_request_load(self, instance: str) -> bool:
        """Return whether an offer should request the agent's load.

        True counts as a request. An agent that does not answer it is avoided
        after the offer timeout. Missed heartbeats show a failure only after
        several periods, which grow with the number of peers; the offer timeout
        does not.
        """
        peer = self._peers.get(instance)
        if peer is None or math.isfinite(peer.load_requested_at):
            return False
        now = clock.now()
        if now - peer.last_heartbeat_at < const.LOAD_REQUEST_AGE_S:
            return False
        peer.load_requested_at = now
        peer.offered_at = now
        return True

    def note_answer(self, peer: peers.Peer, failure_domain: str) -> None:
        """Record the round trip of an offer that a peer has answered."""
        now = clock.now()
        if peer.offered_at <= now:
            self._round_trips.record(failure_domain, now - peer.offered_at, now)
        peer.offered_at = math.inf

    def round_trip_s(self, failure_domain: str) -> float | None:
        """Return the round trip to a failure domain; None if unknown."""
        return self._round_trips.minimum_s(failure_domain, clock.now())

    def is_unresponsive(self, instance: str) -> bool:
        """Return whether an instance has not answered an offer in time."""
        peer = self._peers.get(instance)
        if peer is None:
            return True
        return clock.now() - peer.load_requested_at > const.OFFER_TIMEOUT_S

    def note_heartbeat(
        self, peer: peers.Peer, record: members.InstanceRecord
    ) -> None:
        """Record a heartbeat of a peer."""
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
        """Store the load of a peer."""
        peer.load = load
        peer.placed_flows = 0
        if load is not None and load.has_report:
            peer.was_draining = load.is_draining

    def update_capacity(
        self, peer: peers.Peer, capacity: messages.CapacityReport | None
    ) -> None:
        """Store the capacity report of a peer, as of now."""
        peer.capacity = capacity
        peer.capacity_at = clock.now()
        peer.placed_since_report = 0

    def capacity(self, instance: str) -> messages.CapacityReport | None:
        """Return the capacity of an agent; None if it is unknown or too old."""
        peer = self._peers.get(instance)
        if peer is None or peer.capacity is None:
            return None
        limit_s = const.ROOM_PERIODS * self._period_s(instance, peer)
        return (
            peer.capacity if clock.now() - peer.capacity_at <= limit_s else None
        )

    def expire_silent(self) -> abc.Iterator[str]:
        """Log silent peers, and remove and yield the expired ones."""
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
                    'instance expired',
                    peer=instance,
                    silent_s=round(silent_s, 1),
                )
                self.remove_peer(instance)
                yield instance

    def silent_since(self, seconds: float) -> abc.Iterator[tuple[str, float]]:
        """Yield the peers that are silent for longer, and when heard last.

        Args:
            seconds: Seconds of silence.
        """
        before = clock.now() - seconds
        for instance, peer in self._peers.items():
            if peer.last_heartbeat_at < before:
                yield instance, peer.last_heartbeat_at

    def _suspect_timeout_s(self, instance: str, peer: peers.Peer) -> float:
        """Return the seconds of silence after which a peer is suspect."""
        return const.SUSPECT_MISSED_HEARTBEATS * self._period_s(instance, peer)

    def _period_s(self, instance: str, peer: peers.Peer) -> float:
        """Return the seconds between two heartbeats of a peer."""
        record = self._registry.get(instance)
        is_local_agent = (
            record is not None
            and record.kind == members.KIND_AGENT
            and record.failure_domain == self._failure_domain
        )
        interval_rounds = 1 if is_local_agent else const.REMOTE_INTERVAL_ROUNDS
        return interval_rounds * peer.round_s
