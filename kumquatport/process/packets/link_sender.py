"""Sends the packets of flows at the rate of a balancer's link."""

from collections import abc

from kumquatport.connection.packets import link_queue
from kumquatport.connection.packets import packet as packets
from kumquatport.helpers import clock
from kumquatport.process.packets import mesh


class LinkSender:
    """Sends packets at once or as soon as the link can carry them.

    Attributes:
        call_later: Calls a function after some seconds.
    """

    def __init__(self, link_bytes_per_s: float, peers: mesh.Mesh) -> None:
        """Start with an empty queue.

        Args:
            link_bytes_per_s: Rate of the link; 0 if none is stated.
            peers: Mesh through which packets are sent.
        """
        self.call_later: abc.Callable[
            [float, abc.Callable[[], None]], object
        ] = _ignore
        self._mesh = peers
        self._queue = link_queue.LinkQueue(link_bytes_per_s, clock.now())
        self._is_scheduled = False
        peers.on_sent = self._charge

    @property
    def counts(self) -> abc.Mapping[str, float]:
        """Return what became of packets that had to wait."""
        return {
            'link packet replaced': self._queue.replaced,
            'link packet dropped': self._queue.dropped,
        }

    @property
    def wait_s(self) -> float:
        """Return the seconds that the waiting packets need."""
        return self._queue.wait_s

    def apply_rate(self, link_bytes_per_s: float) -> None:
        """Apply a rate of the link that changed at run time."""
        self._queue.apply_rate(link_bytes_per_s, clock.now())
        self._schedule()

    def send(
        self,
        packet: packets.Packet,
        priority: int,
        message: bytes,
        address: str,
    ) -> None:
        """Send a packet of a flow to an agent, now or later.

        Args:
            packet: The packet.
            priority: Priority of its route; 0 is the highest. A packet of
                ``link_queue.LOOKUP`` waits for all others, with data or not.
            message: The frame that carries it.
            address: Address of the agent.
        """
        now = clock.now()
        is_ranked = packet.length or priority == link_queue.LOOKUP
        if not self._queue.must_wait(now):
            self._mesh.send(message, address)
            return
        self._queue.add(
            link_queue.QueuedPacket(
                stream=(packet.flow, address),
                identity=(packet.sequence, packet.length, packet.flags),
                rank=priority if is_ranked else link_queue.URGENT,
                message=message,
                address=address,
            ),
            now,
        )
        self._schedule()

    def _charge(self, datagram_bytes: int) -> None:
        self._queue.charge(datagram_bytes, clock.now())

    def _schedule(self) -> None:
        delay_s = self._queue.next_release_s()
        if delay_s is not None and not self._is_scheduled:
            self._is_scheduled = True
            self.call_later(delay_s, self._release)

    def _release(self) -> None:
        self._is_scheduled = False
        for packet in self._queue.release(clock.now()):
            self._mesh.send(packet.message, packet.address)
        self._schedule()


def _ignore(_delay_s: float, _callback: abc.Callable[[], None]) -> None:
    """Schedule nothing until an event loop is set."""
