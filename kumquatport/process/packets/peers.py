"""What a process keeps of each other instance, and how it reaches them."""

import math
import typing
from collections import abc

from kumquatport.process.packets import const, messages
from kumquatport.version import members

FrameHandler = abc.Callable[[bytes, str], None]


class Outside(typing.NamedTuple):
    """How a mesh reaches the world.

    Attributes:
        send: Sends a datagram to an endpoint; tells whether it was taken.
        soon: Calls a function at the end of this turn of the event loop.
        fetch: Fetches the routes of an instance and passes them, or None if
            they could not be had, to a function.
    """

    send: abc.Callable[[bytes, tuple[str, int]], bool]
    soon: abc.Callable[[abc.Callable[[], None]], object]
    fetch: abc.Callable[
        [members.InstanceRecord, abc.Callable[[bytes | None], None]], None
    ]


class Peer:
    """What this process has heard from another instance.

    Attributes:
        heard_at: Monotonic seconds of its last heartbeat.
        asked_at: Monotonic seconds of the first offer since then that asked
            for its load; infinity if there was none.
        incarnation: Of the process that sent it.
        load: Of an agent.
        placed: Flows placed on it since that heartbeat.
        drains: Whether its backend server drained when it last told of it,
            also if its process has started again since.
        members_digest: Digest of the records that both keep.
        tick_s: Seconds between two rounds of its heartbeats.
        compared_at: Monotonic seconds of the last comparison of members.
        is_suspect: Whether it has been logged as silent.
    """

    __slots__ = (
        'asked_at',
        'compared_at',
        'drains',
        'heard_at',
        'incarnation',
        'is_suspect',
        'load',
        'members_digest',
        'placed',
        'tick_s',
    )

    def __init__(self) -> None:
        """Start as never heard."""
        self.heard_at = -math.inf
        self.asked_at = math.inf
        self.incarnation = 0
        self.load: messages.Load | None = None
        self.placed = 0
        self.drains = False
        self.members_digest = 0
        self.compared_at = -math.inf
        self.is_suspect = True
        self.tick_s = const.HEARTBEAT_S


def tick_s(count: int) -> float:
    """Return the seconds between two rounds of heartbeats.

    Args:
        count: Instances known.
    """
    far = count / const.FAR_EVERY
    return max(
        const.HEARTBEAT_S,
        far * const.HEARTBEAT_BYTES / const.HEARTBEAT_BYTES_PER_S,
    )


def far_every(balancers: int) -> int:
    """Return of how many rounds one of an agent's reaches far balancers.

    Args:
        balancers: How many it knows.
    """
    return max(const.FAR_EVERY, balancers // const.FAR_PEERS_PER_ROUND)
