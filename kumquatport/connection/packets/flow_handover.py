"""Frames by which a registrar hands its flows over to other balancers.

A flow is named by the digest of its key, since a registrar keeps no keys, and
its agent by name, since the receiver may have just started and not know the
agent yet.
"""

import struct
import typing
from collections import abc

import msgspec

from kumquatport import exceptions
from kumquatport.connection.packets import frame
from kumquatport.helpers import decoding

# Size at which a frame is sent, so that it fits into one packet of the network.
FRAME_BYTES: typing.Final = 1_200

# Flows after which the work pauses: 6 ms, and 1 s for the 720,000 flows of a
# balancer at the designed size, if it pauses for 20 ms each time.
SLICE_FLOWS: typing.Final = 15_000

DIGEST_BYTES: typing.Final = 8

# Encoded size of an agent in a frame, in addition to its name.
_AGENT_BYTES: typing.Final = 6


class AgentFlows(typing.NamedTuple):
    """Flows of one agent.

    Attributes:
        agent: Name of the agent.
        digests: Digests of the keys of its flows.
    """

    agent: str
    digests: tuple[int, ...]


class Batch(typing.NamedTuple):
    """A frame for one balancer.

    Attributes:
        receiver: Name of the balancer.
        message: The frame.
        flows: Number of flows in it.
    """

    receiver: str
    message: bytes
    flows: int


class _Pending:
    """Flows that wait for a full frame to one balancer."""

    def __init__(self) -> None:
        self.flows: dict[str, list[int]] = {}
        self.size = 0

    def add(self, agent: str, digest: int) -> None:
        if agent not in self.flows:
            self.flows[agent] = []
            self.size += _AGENT_BYTES + len(agent.encode())
        self.flows[agent].append(digest)
        self.size += DIGEST_BYTES


def batches(
    digests: abc.Iterable[int],
    agent_of: abc.Callable[[int], str],
    receivers_of: abc.Callable[[int], abc.Iterable[str]],
) -> abc.Iterator[Batch | None]:
    """Yield the frames that hand flows over, and None to pause the work.

    Args:
        digests: Digests of the flows.
        agent_of: Returns the agent of a flow; empty to leave the flow out.
        receivers_of: Returns the balancers that get a flow.
    """
    pending: dict[str, _Pending] = {}
    for position, digest in enumerate(digests, start=1):
        agent = agent_of(digest)
        for receiver in receivers_of(digest) if agent else ():
            waiting = pending.setdefault(receiver, _Pending())
            waiting.add(agent, digest)
            if waiting.size >= FRAME_BYTES:
                yield _pack(receiver, pending.pop(receiver))
        if position % SLICE_FLOWS == 0:
            yield None
    for receiver, waiting in pending.items():
        yield _pack(receiver, waiting)


def _pack(receiver: str, pending: _Pending) -> Batch:
    sections = [
        (agent, struct.pack(f'<{len(digests)}Q', *digests))
        for agent, digests in pending.flows.items()
    ]
    body = msgspec.msgpack.encode(sections)
    count = sum(map(len, pending.flows.values()))
    return Batch(receiver, bytes((frame.KIND_HANDOVER,)) + body, count)


def unpack(message: bytes) -> abc.Iterator[AgentFlows]:
    """Yield the flows of each agent in a frame.

    A truncated digest at the end is ignored.

    Raises:
        FramePayloadError: The frame is malformed.
    """
    try:
        sections = msgspec.msgpack.decode(
            message[1:], type=list[tuple[str, bytes]]
        )
    except decoding.MALFORMED as error:
        raise exceptions.FramePayloadError(str(error)) from error
    for agent, packed in sections:
        count = len(packed) // DIGEST_BYTES
        yield AgentFlows(agent, struct.unpack_from(f'<{count}Q', packed))
