"""What a process keeps of each other instance, and how it reaches them."""

import math
import typing
from collections import abc

from kumquatport.process.packets import const, messages
from kumquatport.version import members

FrameHandler = abc.Callable[[bytes, str], None]


class Transport(typing.NamedTuple):
    """How a mesh reaches the world.

    Attributes:
        send: Sends a datagram to an endpoint; tells whether it was taken.
        call_soon: Calls a function at the end of this turn of the event loop.
        fetch_routes: Fetches the routes of an instance and passes them, or None if
            they could not be had, to a function.
    """

    send: abc.Callable[[bytes, tuple[str, int]], bool]
    call_soon: abc.Callable[[abc.Callable[[], None]], object]
    fetch_routes: abc.Callable[
        [members.InstanceRecord, abc.Callable[[bytes | None], None]], None
    ]


class Peer:
    """What this process has heard from another instance.

    Attributes:
        last_heartbeat_at: Monotonic seconds of its last heartbeat.
        load_requested_at: Monotonic seconds of the first offer since then that asked
            for its load; infinity if there was none.
        incarnation: Of the process that sent it.
        load: Of an agent.
        placed_flows: Flows placed on it since that heartbeat.
        was_draining: Whether its backend server drained when it last told of it,
            also if its process has started again since.
        members_digest: Digest of the records that both keep.
        round_s: Seconds between two rounds of its heartbeats.
        compared_at: Monotonic seconds of the last comparison of members.
        is_suspect: Whether it has been logged as silent.
    """

    __slots__ = (
        'load_requested_at',
        'compared_at',
        'was_draining',
        'last_heartbeat_at',
        'incarnation',
        'is_suspect',
        'load',
        'members_digest',
        'placed_flows',
        'round_s',
    )

    def __init__(self) -> None:
        """Start as never heard."""
        self.last_heartbeat_at = -math.inf
        self.load_requested_at = math.inf
        self.incarnation = 0
        self.load: messages.Load | None = None
        self.placed_flows = 0
        self.was_draining = False
        self.members_digest = 0
        self.compared_at = -math.inf
        self.is_suspect = True
        self.round_s = const.HEARTBEAT_S


def round_s(count: int) -> float:
    """Return the seconds between two rounds of heartbeats.

    Args:
        count: Instances known.
    """
    far = count / const.REMOTE_INTERVAL_ROUNDS
    return max(
        const.HEARTBEAT_S,
        far * const.HEARTBEAT_BYTES / const.HEARTBEAT_BYTES_PER_S,
    )


def remote_interval_rounds(balancers: int) -> int:
    """Return of how many rounds one of an agent's reaches far balancers.

    Args:
        balancers: How many it knows.
    """
    return max(
        const.REMOTE_INTERVAL_ROUNDS, balancers // const.REMOTE_PEERS_PER_ROUND
    )
