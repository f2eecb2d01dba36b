"""Which of the other instances are heard, and how often each is told."""

import math
from collections import abc

import structlog

from kumquatport.helpers import clock
from kumquatport.process.logs import bounded
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
        self.lines = bounded.Bounded(
            _LOGGER, const.PEER_LINES_PER_S, const.PEER_BURST_LINES
        )

    @property
    def tick_s(self) -> float:
        """Return the seconds between two rounds of heartbeats."""
        return peers.tick_s(len(self._registry))

    def peer(self, instance: str) -> peers.Peer | None:
        """Return what was heard from an instance."""
        return self._peers.get(instance)

    def keep(self, instance: str, peer: peers.Peer) -> None:
        """Keep what was heard from an instance."""
        self._peers[instance] = peer

    def drop(self, instance: str) -> None:
        """Forget what was heard from an instance."""
        self._peers.pop(instance, None)

    def every(self, failure_domain: str) -> int:
        """Return of how many rounds one brings a heartbeat to a peer.

        Args:
            failure_domain: Of the peer.
        """
        if self._is_balancer:
            return const.FAR_EVERY
        if failure_domain == self._failure_domain:
            return 1
        return peers.far_every(len(self._registry.balancers()))

    def told_tick_s(self, failure_domain: str) -> float:
        """Return the seconds that a peer is told for a round.

        It expects each ``const.FAR_EVERY`` th round to reach it from another
        failure domain.

        Args:
            failure_domain: Of the peer.
        """
        rounds = max(self.every(failure_domain) / const.FAR_EVERY, 1)
        return self.tick_s * rounds

    def is_suspect(self, instance: str) -> bool:
        """Tell whether an instance has gone silent."""
        peer = self._peers.get(instance)
        if peer is None:
            return True
        return clock.now() - peer.heard_at > self._suspect_s(instance, peer)

    def ask(self, instance: str) -> bool:
        """Tell whether an offer is to ask for the load; notes that it does.

        An agent that leaves it unanswered is passed over at once, where its
        missing heartbeats tell only after several periods. These grow with
        the number of peers; the time for an answer does not.
        """
        peer = self._peers.get(instance)
        if peer is None or math.isfinite(peer.asked_at):
            return False
        now = clock.now()
        if now - peer.heard_at < const.REPORT_AGE_S:
            return False
        peer.asked_at = now
        return True

    def is_unresponsive(self, instance: str) -> bool:
        """Tell whether an instance has left an offer unanswered."""
        peer = self._peers.get(instance)
        if peer is None:
            return True
        return clock.now() - peer.asked_at > const.OFFER_ANSWER_S

    def hear(self, peer: peers.Peer, record: members.InstanceRecord) -> None:
        """Note a heartbeat of a peer."""
        peer.heard_at = clock.now()
        peer.asked_at = math.inf
        if peer.is_suspect:
            peer.is_suspect = False
            self.lines.info(
                'instance heard',
                peer=record.instance,
                incarnation=record.incarnation,
                state=record.state,
            )

    def take_load(self, peer: peers.Peer, load: messages.Load | None) -> None:
        """Note how busy a peer is."""
        peer.load = load
        peer.placed = 0
        if load is not None and load.is_known:
            peer.drains = load.is_draining

    def sweep(self) -> abc.Iterator[str]:
        """Log who has gone silent; yield those that are to be forgotten."""
        now = clock.now()
        self.lines.flush()
        for instance, peer in tuple(self._peers.items()):
            silent_s = now - peer.heard_at
            is_silent = silent_s > self._suspect_s(instance, peer)
            if is_silent and not peer.is_suspect:
                peer.is_suspect = True
                self.lines.warning(
                    'instance silent',
                    peer=instance,
                    silent_s=round(silent_s, 3),
                )
            if silent_s > const.FORGET_S:
                self.lines.warning(
                    'instance forgotten',
                    peer=instance,
                    silent_s=round(silent_s, 1),
                )
                self.drop(instance)
                yield instance

    def _suspect_s(self, instance: str, peer: peers.Peer) -> float:
        """Return the silence in seconds after which a peer is suspect."""
        record = self._registry.get(instance)
        is_near = (
            record is not None
            and record.kind == members.KIND_AGENT
            and record.failure_domain == self._failure_domain
        )
        every = 1 if is_near else const.FAR_EVERY
        return const.SUSPECT_AFTER * every * peer.tick_s
