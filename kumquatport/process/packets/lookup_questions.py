"""Questions of a balancer about flows, by their keys instead of packets."""

import collections
import math
import typing
from collections import abc

from kumquatport.helpers import clock
from kumquatport.process.packets import mesh

# Flow keys that are sent in any second. The lost flows of a balancer at the
# designed size (40 flows, 50 agents) fit into one second.
MAX_PER_S: typing.Final = 2_000
WINDOW_S: typing.Final = 1.0

# Seconds until questions are sent that exceeded the limit.
RETRY_S: typing.Final = 0.02

# Questions in sequence that an instance leaves unanswered before it is taken
# for one of a former build, and the seconds after which it is asked again:
# answers may have been lost too.
MAX_UNANSWERED: typing.Final = 2
FORMER_BUILD_S: typing.Final = 10.0

Schedule = abc.Callable[[float, abc.Callable[[], None]], object]


class _Receiver(typing.NamedTuple):
    """Receiver of a frame.

    Attributes:
        kind: Kind of the frame.
        instance: Name of the instance.
    """

    kind: int
    instance: str


class LookupQuestions:
    """Sends the questions of one turn of the event loop together."""

    def __init__(self, peers: mesh.Mesh) -> None:
        """Start without questions.

        Args:
            peers: Mesh of the other instances.
        """
        self._mesh = peers
        self._queued: dict[_Receiver, dict[bytes, None]] = {}
        self._queued_flows: collections.Counter[bytes] = collections.Counter()
        self._sent: collections.deque[tuple[float, int]] = collections.deque()
        self._is_scheduled = False
        self._has_answered: set[str] = set()
        self._unanswered: dict[str, int] = {}
        self._former_until: dict[str, float] = {}

    def ask(
        self, kind: int, instance: str, flow: bytes, schedule: Schedule
    ) -> None:
        """Ask an instance about a flow, with the others of this turn.

        Args:
            kind: Kind of the frame.
            instance: Name of the instance.
            flow: Key of the flow.
            schedule: Calls a function after some seconds.
        """
        flows = self._queued.setdefault(_Receiver(kind, instance), {})
        if flow not in flows:
            flows[flow] = None
            self._queued_flows[flow] += 1
        self._schedule(0, schedule)

    def is_queued(self, flow: bytes) -> bool:
        """Return whether a question about a flow has not been sent yet."""
        return flow in self._queued_flows

    def cancel(self, flow: bytes) -> None:
        """Drop the questions about a flow that have not been sent yet."""
        if self._queued_flows.pop(flow, 0):
            for receiver, flows in tuple(self._queued.items()):
                flows.pop(flow, None)
                if not flows:
                    self._queued.pop(receiver)

    def can_ask(self, instance: str) -> bool:
        """Return whether an instance is not known to ignore questions."""
        return clock.now() >= self._former_until.get(instance, -math.inf)

    def note_answer(self, instance: str) -> None:
        """Record that an instance understands questions."""
        self._has_answered.add(instance)
        self._unanswered.pop(instance, None)
        self._former_until.pop(instance, None)

    def note_unanswered(self, instance: str) -> None:
        """Record that an instance has left a question unanswered in time.

        One that has answered before is of this build: then the question or its
        answer was lost.
        """
        if instance in self._has_answered:
            return
        unanswered = self._unanswered.get(instance, 0) + 1
        self._unanswered[instance] = unanswered
        if unanswered >= MAX_UNANSWERED:
            self._unanswered.pop(instance)
            self._former_until[instance] = clock.now() + FORMER_BUILD_S

    def forget(self, instance: str) -> None:
        """Forget what is known of an instance that has started anew."""
        self._has_answered.discard(instance)
        self._unanswered.pop(instance, None)
        self._former_until.pop(instance, None)

    def _schedule(self, delay_s: float, schedule: Schedule) -> None:
        if self._queued and not self._is_scheduled:
            self._is_scheduled = True
            schedule(delay_s, lambda: self._send(schedule))

    def _send(self, schedule: Schedule) -> None:
        self._is_scheduled = False
        now = clock.now()
        while self._sent and self._sent[0][0] <= now - WINDOW_S:
            self._sent.popleft()
        left = MAX_PER_S - sum(count for _, count in self._sent)
        # Registrars come first: they answer most questions about moved flows.
        for receiver in sorted(self._queued):
            if left <= 0:
                break
            left -= self._send_to(receiver, left)
        self._schedule(RETRY_S, schedule)

    def _send_to(self, receiver: _Receiver, limit: int) -> int:
        """Send questions to an instance; return their number."""
        queued = self._queued[receiver]
        flows = tuple(queued)[:limit]
        for flow in flows:
            queued.pop(flow)
            self._queued_flows[flow] -= 1
            if not self._queued_flows[flow]:
                self._queued_flows.pop(flow)
        if not queued:
            self._queued.pop(receiver)
        self._sent.append((clock.now(), len(flows)))
        record = self._mesh.registry.get(receiver.instance)
        if record is not None:
            self._mesh.send_flows(receiver.kind, flows, record.address)
        return len(flows)
