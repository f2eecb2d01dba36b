"""Drives the queue of opening packets at an agent."""

import collections
import typing
from collections import abc

from kumquatport.connection.packets import (
    admission_queue,
    flow_table,
    frame,
    pending_work,
)
from kumquatport.connection.packets import packet as packets
from kumquatport.helpers import clock
from kumquatport.process.packets import decision_log
from kumquatport.version import routes

# Seconds between two checks while an opening packet waits. Flows that were
# admitted and sent no request, and changes of the configuration, take effect
# then; answers of the backend server take effect at once.
CHECK_INTERVAL_S: typing.Final = 0.01

# Fraction of the requests of a route whose work the objective must cover.
SLOW_FRACTION: typing.Final = 0.9


# Outcomes of opening packets beside the reasons for returning them.
OUTCOME_AT_ONCE: typing.Final = 'admitted_at_once'
OUTCOME_QUEUED: typing.Final = 'queued'
OUTCOME_AFTER_WAIT: typing.Final = 'admitted_after_wait'
OUTCOME_BALANCER_STOPPED: typing.Final = 'balancer_stopped'
OUTCOME_OPENED_ELSEWHERE: typing.Final = 'opened_elsewhere'


class Actions(typing.NamedTuple):
    """Callbacks that dispose of opening packets.

    Attributes:
        admit: Delivers an opening packet, or returns it if the backend server
            takes no more flows now.
        give_back: Returns a packet with a reason to a balancer.
        conditions: Returns what ``refusal_reason`` depends on, to compare.
        refusal_reason: Returns the reason for refusing an opening packet,
            given the version of its balancer's routes; 0 to accept it.
        instance_at: Returns the name of the instance at an address; empty if
            none is known.
        is_departed: Returns whether the balancer of a name has stopped.
    """

    admit: abc.Callable[[admission_queue.Opening], None]
    give_back: abc.Callable[[packets.Packet, int, str], None]
    conditions: abc.Callable[[], tuple[typing.Any, ...]]
    refusal_reason: abc.Callable[[packets.Packet, int], int]
    instance_at: abc.Callable[[str], str]
    is_departed: abc.Callable[[str], bool]


class AdmissionControl:
    """Queues or rejects opening packets while no slot is free.

    Attributes:
        call_later: Calls a function after some seconds.
        observe_wait: Called with the priority, as text, and the seconds that an
            opening packet has waited.
    """

    def __init__(
        self,
        flows: flow_table.FlowTable,
        log: decision_log.DecisionLog,
        actions: Actions,
    ) -> None:
        """Start with an empty queue.

        Args:
            flows: Flow table of the agent.
            log: Log of the decisions.
            actions: Callbacks that dispose of opening packets.
        """
        self.call_later: abc.Callable[
            [float, abc.Callable[[], None]], object
        ] = _ignore
        self.observe_wait: abc.Callable[[str, float], None] = _ignore_wait
        self._outcomes: collections.Counter[tuple[int, str]] = (
            collections.Counter()
        )
        self._flows = flows
        self._log = log
        self._actions = actions
        self._queue = admission_queue.OpeningQueue()
        self._conditions: tuple[typing.Any, ...] = ()
        self._is_scheduled = False

    @property
    def outcomes(self) -> abc.Mapping[tuple[int, str], int]:
        """Return the number of opening packets by priority and outcome.

        Those of routes without terms are not counted.
        """
        return self._outcomes

    def __len__(self) -> int:
        """Return the number of queued opening packets."""
        return len(self._queue)

    def mean_work_s(self) -> float | None:
        """Return the mean work of a request; None if it is unknown."""
        return self._flows.service_times.overall_mean_s(clock.now())

    def expected_wait_s(self, priority: int) -> float | None:
        """Return the seconds that a new request would wait for a slot.

        Args:
            priority: Its priority; 0 is the highest.

        Returns:
            The seconds; None if they are unknown.
        """
        if not self._flows.slots:
            return None
        load = self._load(clock.now())
        if load.has_free_slot:
            return 0
        if self.mean_work_s() is None:
            return None
        return load.wait_s + self._queue.work_ahead_s(priority) / load.slots

    def hold(
        self,
        packet: packets.Packet,
        sender: str,
        routes_version: int,
        route: routes.Route | None,
    ) -> bool:
        """Queue or reject an opening packet that cannot be served now.

        Without terms of its route, slots of the backend server or service
        times, it is neither queued nor rejected.

        Args:
            packet: The opening packet.
            sender: Address of its balancer.
            routes_version: Version of the balancer's routes.
            route: Its route; None if it is not known here.

        Returns:
            Whether it was queued or rejected; otherwise the caller delivers it.
        """
        now = clock.now()
        terms = route.request_class if route else None
        if terms is None or not self._flows.slots:
            return False
        self._release(now)
        load = self._load(now)
        work = self._work_s(packet, load, now)
        if work is None:
            return False
        opening = admission_queue.Opening(
            packet=packet,
            sender=sender,
            balancer=self._actions.instance_at(sender),
            routes_version=routes_version,
            terms=terms,
            work_s=work[0],
            slow_work_s=work[1],
            received_at=now,
            queued_at=now,
            due_at=admission_queue.due_at(packet, now),
        )
        verdict = admission_queue.decide(opening, load, self._queue, now)
        if verdict is admission_queue.Verdict.QUEUE:
            self._add(opening, load, now)
        elif verdict is admission_queue.Verdict.REJECT:
            self._reject(opening, frame.REASON_DEADLINE, load, now)
        else:
            self._count(opening, OUTCOME_AT_ONCE)
        return verdict is not admission_queue.Verdict.ADMIT

    def replace_copy(self, packet: packets.Packet, sender: str) -> bool:
        """Replace the queued opening packet by its copy.

        Args:
            packet: The opening packet that has arrived.
            sender: Address of its balancer.

        Returns:
            Whether one of the same flow was queued.
        """
        if not self._queue:
            return False
        queued = self._queue.get(packet.flow)
        if queued is None:
            return False
        if queued.packet.sequence != packet.sequence:
            # The client has used its port again for another flow.
            self._queue.remove(packet.flow)
            return False
        self._queue.replace(
            queued._replace(
                packet=packet,
                sender=sender,
                balancer=self._actions.instance_at(sender),
                received_at=clock.now(),
            )
        )
        return True

    def discard(self, flow: bytes) -> None:
        """Remove the opening packet of a flow that has opened elsewhere."""
        opening = self._queue.remove(flow) if self._queue else None
        if opening is not None:
            self._drop(opening, OUTCOME_OPENED_ELSEWHERE, clock.now())

    def release(self) -> None:
        """Admit the opening packets for which there is capacity now."""
        if self._queue:
            self._release(clock.now())

    def _work_s(
        self,
        packet: packets.Packet,
        load: pending_work.ServerLoad,
        now: float,
    ) -> tuple[float, float] | None:
        """Return the mean and the slow work of a route; None if unknown.

        The latter is looked up only if the decision depends on it.
        """
        route = (packet.service_address, packet.service_port)
        times = self._flows.service_times
        mean_s = times.mean_s(route, now)
        if mean_s is None or load.has_free_slot:
            return None if mean_s is None else (mean_s, mean_s)
        slow_s = times.percentile_s(route, SLOW_FRACTION, now)
        return (mean_s, slow_s or mean_s)

    def _load(self, now: float) -> pending_work.ServerLoad:
        return self._flows.pending.load(self._flows.slots, now)

    def _add(
        self,
        opening: admission_queue.Opening,
        load: pending_work.ServerLoad,
        now: float,
    ) -> None:
        if not self._queue:
            self._conditions = self._actions.conditions()
        self._count(opening, OUTCOME_QUEUED)
        self._log.note(
            'opening queued',
            opening.packet.flow,
            **self._inputs(opening, load, now),
        )
        evicted = self._queue.add(opening, load.slots)
        if evicted is not None:
            self._reject(evicted, frame.REASON_FULL, load, now)
        self._schedule()

    def _check(self) -> None:
        """Admit or return opening packets; called by the timer."""
        self._is_scheduled = False
        now = clock.now()
        self._release(now)
        for opening in self._queue.due(now):
            self._queue.remove(opening.packet.flow)
            self._admit(opening, now)
        self._schedule()

    def _release(self, now: float) -> None:
        self._return_refused()
        opening = self._queue.first(now)
        while opening is not None:
            if not admission_queue.has_capacity(opening, self._load(now)):
                return
            self._queue.take(opening)
            self._admit(opening, now)
            opening = self._queue.first(now)

    def _admit(self, opening: admission_queue.Opening, now: float) -> None:
        """Admit an opening packet that has waited, if it is answerable."""
        load = self._load(now)
        if self._actions.is_departed(opening.balancer):
            # Its client's next copy comes through another balancer.
            self._drop(opening, OUTCOME_BALANCER_STOPPED, now)
        elif admission_queue.is_answerable(opening, load.wait_s, now):
            self._count(opening, OUTCOME_AFTER_WAIT)
            self._observe_wait(opening, now)
            self._actions.admit(opening)
        else:
            self._reject(opening, frame.REASON_DEADLINE, load, now)

    def _return_refused(self) -> None:
        """Return the opening packets that changed conditions refuse."""
        if not self._queue:
            return
        conditions = self._actions.conditions()
        if conditions == self._conditions:
            return
        self._conditions = conditions
        load = self._load(clock.now())
        for opening in self._queue.openings():
            reason = self._actions.refusal_reason(
                opening.packet, opening.routes_version
            )
            if reason:
                self._queue.remove(opening.packet.flow)
                self._reject(opening, reason, load, clock.now())

    def _reject(
        self,
        opening: admission_queue.Opening,
        reason: int,
        load: pending_work.ServerLoad,
        now: float,
    ) -> None:
        name = frame.REASON_NAMES[reason]
        self._count(opening, name)
        self._observe_wait(opening, now)
        self._log.note(
            'opening rejected',
            opening.packet.flow,
            reason=name,
            **self._inputs(opening, load, now),
        )
        self._actions.give_back(opening.packet, reason, opening.sender)

    def _drop(
        self, opening: admission_queue.Opening, reason: str, now: float
    ) -> None:
        self._count(opening, reason)
        self._observe_wait(opening, now)
        self._log.note('opening dropped', opening.packet.flow, reason=reason)

    def _count(self, opening: admission_queue.Opening, outcome: str) -> None:
        self._outcomes[opening.terms.priority, outcome] += 1

    def _observe_wait(
        self, opening: admission_queue.Opening, now: float
    ) -> None:
        """Record the wait of an opening packet that was queued."""
        wait_s = now - opening.queued_at
        if wait_s > 0:
            self.observe_wait(str(opening.terms.priority), wait_s)

    def _inputs(
        self,
        opening: admission_queue.Opening,
        load: pending_work.ServerLoad,
        now: float,
    ) -> dict[str, typing.Any]:
        """Return the inputs of a decision for the log.

        The load is known at the moment; the work has the age of the last
        request of the route that met a free slot.
        """
        packet = opening.packet
        route = (packet.service_address, packet.service_port)
        work_age_s = self._flows.service_times.age_s(route, now)
        return {
            'copy': packet.acknowledged,
            'priority': opening.terms.priority,
            'work_ms': _to_ms(opening.work_s),
            'work_age_s': work_age_s and round(work_age_s, 2),
            'wait_ms': _to_ms(load.wait_s),
            'left_ms': _to_ms(opening.left_s(now)),
            'queued_ms': _to_ms(now - opening.queued_at),
            'queue': len(self._queue),
            'in_system': load.in_system,
            'slots': load.slots,
        }

    def _schedule(self) -> None:
        if self._queue and not self._is_scheduled:
            self._is_scheduled = True
            self.call_later(CHECK_INTERVAL_S, self._check)


def _to_ms(seconds: float) -> float:
    return round(seconds * 1000, 1)


def _ignore(_delay_s: float, _callback: abc.Callable[[], None]) -> None:
    """Schedule nothing until an event loop is set."""


def _ignore_wait(_label: str, _seconds: float) -> None:
    """Discard a wait; default until an observer is set."""
