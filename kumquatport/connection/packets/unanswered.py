"""Packets of flows of which an agent cannot tell yet whether they are here.

Load pattern: all machines lose power. Balancers ask for each lost flow at all
agents, which take some tenths of a second until they know that their backend
server started after them. A client's next packet, which asks again, comes 0.2
to 1.6 s later. So an agent answers by itself as soon as it knows.
"""

import collections
import typing

from kumquatport.connection.packets import packet as packets

# Seconds for which an answer is of use: clients give up on a silent flow.
KEEP_S: typing.Final = 4.0

# Packets kept: a few seconds of the lost flows of a large deployment.
MAX_KEPT: typing.Final = 10_000


class Question(typing.NamedTuple):
    """A packet that somebody waits for an answer to.

    Attributes:
        packet: The packet.
        sender: Address of the balancer that sent it.
        asked_at: Monotonic seconds.
    """

    packet: packets.Packet
    sender: str
    asked_at: float


class Unanswered:
    """The latest question about each flow."""

    def __init__(self) -> None:
        """Start with none."""
        self._questions: collections.OrderedDict[bytes, Question] = (
            collections.OrderedDict()
        )

    def note(self, question: Question) -> None:
        """Keep a question; the oldest goes if there are too many."""
        flow = question.packet.flow
        self._questions[flow] = question
        self._questions.move_to_end(flow)
        if len(self._questions) > MAX_KEPT:
            self._questions.popitem(last=False)

    def drop(self, flow: bytes) -> None:
        """Forget a flow, since the question is answered."""
        self._questions.pop(flow, None)

    def expire(self, now: float) -> None:
        """Forget what nobody waits for any more."""
        while self._questions:
            oldest = next(iter(self._questions.values()))
            if now - oldest.asked_at < KEEP_S:
                break
            self._questions.popitem(last=False)

    def take(self, now: float) -> list[Question]:
        """Return the questions that wait for an answer, and forget them."""
        self.expire(now)
        taken = list(self._questions.values())
        self._questions.clear()
        return taken
