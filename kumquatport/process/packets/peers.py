"""State of peers, transport to them, and the rate of heartbeats."""

import math
import typing
from collections import abc

from kumquatport.connection.packets import frame
from kumquatport.process.packets import const, messages
from kumquatport.version import members

FrameHandler = abc.Callable[[bytes, str], None]


class Transport(typing.NamedTuple):
    """Operations by which a mesh uses the network and the event loop.

    Attributes:
        send: Sends a datagram to an endpoint; returns whether it was accepted.
        call_soon: Calls a function in the next iteration of the event loop.
        fetch_routes: Fetches the routes of an instance and passes them to a
            function, or None if the fetch failed.
        call_later: Calls a function after some seconds.
    """

    send: abc.Callable[[bytes, tuple[str, int]], bool]
    call_soon: abc.Callable[[abc.Callable[[], None]], object]
    fetch_routes: abc.Callable[
        [members.InstanceRecord, abc.Callable[[bytes | None], None]], None
    ]
    call_later: abc.Callable[[float, abc.Callable[[], None]], object]


class Peer:
    """State of a peer, according to the messages received from it.

    Attributes:
        last_heartbeat_at: Monotonic seconds of the last heartbeat.
        load_requested_at: Monotonic seconds of the first offer since the last
            heartbeat that requested the load; infinity if there was none.
        incarnation: Incarnation of the peer's process.
        started_at: Monotonic seconds, by the clock of this process, when the
            peer started; None if it is unknown.
        load: Load of an agent.
        placed_flows: Flows placed on the agent since the last heartbeat.
        offered_at: Monotonic seconds of the offer whose answer is timed;
            infinity if there is none.
        capacity: Last capacity report of the agent; None if it sends none.
        capacity_at: Monotonic seconds of the reception of ``capacity``.
        placed_since_report: Flows placed on the agent since then.
        was_draining: Whether the backend server was draining when the agent
            last reported it, even if the agent has restarted since.
        members_digest: Digest of the records that both share.
        is_informed: Whether the peer's members come from the store.
        round_s: Seconds between two heartbeat rounds of the peer.
        compared_at: Monotonic seconds of the last comparison of members.
        is_suspect: Whether the peer has been logged as silent.
    """

    __slots__ = (
        'load_requested_at',
        'compared_at',
        'was_draining',
        'last_heartbeat_at',
        'incarnation',
        'is_informed',
        'is_suspect',
        'load',
        'members_digest',
        'offered_at',
        'placed_flows',
        'placed_since_report',
        'capacity',
        'capacity_at',
        'round_s',
        'started_at',
    )

    def __init__(self) -> None:
        """Start without a heartbeat."""
        self.last_heartbeat_at = -math.inf
        self.load_requested_at = math.inf
        self.incarnation = 0
        self.started_at: float | None = None
        self.load: messages.Load | None = None
        self.placed_flows = 0
        self.offered_at = math.inf
        self.capacity: messages.CapacityReport | None = None
        self.capacity_at = -math.inf
        self.placed_since_report = 0
        self.was_draining = False
        self.members_digest = 0
        self.is_informed = False
        self.compared_at = -math.inf
        self.is_suspect = True
        self.round_s = const.HEARTBEAT_S

    def note_incarnation(self, incarnation: int, now: float) -> None:
        """Record a new incarnation, whose start was seen if it is not the first.

        Args:
            incarnation: Incarnation of the peer's process.
            now: Monotonic seconds.
        """
        self.started_at = now if self.incarnation else None
        self.incarnation = incarnation

    def note_uptime(self, uptime: frame.Uptime, now: float) -> None:
        """Record for how long the peer has been running by its own clock.

        Delays make the start appear later, so the earliest one counts.

        Args:
            uptime: Statement of the peer.
            now: Monotonic seconds.
        """
        if uptime.incarnation == self.incarnation:
            started_at = now - uptime.uptime_s
            if self.started_at is None or started_at < self.started_at:
                self.started_at = started_at


def round_s(count: int) -> float:
    """Return the seconds between two heartbeat rounds.

    Args:
        count: Number of known instances.
    """
    per_round = count / const.REMOTE_INTERVAL_ROUNDS
    return max(
        const.HEARTBEAT_S,
        per_round * const.HEARTBEAT_BYTES / const.HEARTBEAT_BYTES_PER_S,
    )


def remote_interval_rounds(balancers: int) -> int:
    """Return the rounds between two heartbeats of an agent to remote balancers.

    Remote balancers are those of other failure domains.

    Args:
        balancers: Number of balancers that the agent knows.
    """
    return max(
        const.REMOTE_INTERVAL_ROUNDS, balancers // const.REMOTE_PEERS_PER_ROUND
    )
