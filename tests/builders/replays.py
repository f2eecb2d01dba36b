"""Replay of placement: balancers, backend servers and demand, without packets.

Balancers place flows by reports that are up to 0.9 s old. Judged is the share
of requests that are answered within their objective.
"""

import collections
import heapq
import itertools
import random
import typing
from collections import abc

from kumquatport.connection.packets import (
    flow_rates,
    outcomes,
    placement,
    server_capacity,
)

OBJECTIVE_S = 0.253
QUEUE_LIMIT = 5
BALANCERS = 17
SERVERS = 37
DOMAINS = 3
LOCAL_PERIOD_S = 0.3
REMOTE_PERIOD_S = 0.9
# Kind of requests: flows per second, seconds of work, requests per second of a
# flow, mean seconds of a flow.
STREAM = ('stream', 20.0, 0.022, 4.0, 8.0)
LOOKUP = ('lookup', 188.0, 0.029, 0.0, 0.0)
UPLOAD = ('upload', 56.0, 0.005, 0.0, 0.0)


class Report(typing.NamedTuple):
    """Report of an agent."""

    at: float
    wait_s: float
    work_s: float
    committed: float
    busy: int
    flows: int
    is_failing: bool


class Server:
    """Backend server of one slot with its agent.

    Attributes:
        factor: Multiple of the usual work.
        lost_share: Share of requests that are not answered.
        is_present: Whether it takes new flows.
    """

    def __init__(self, domain: int) -> None:
        """Start idle."""
        self.domain = domain
        self.factor = 1.0
        self.lost_share = 0.0
        self.is_present = True
        self.work_s = 0.022
        self.flows: collections.Counter[str] = collections.Counter()
        self.rates = flow_rates.FlowRates()
        self._outcomes = outcomes.RequestOutcomes()
        self._ends: collections.deque[float] = collections.deque()

    def serve(self, now: float, work_s: float, rng: random.Random) -> float:
        """Return the end of a request, infinity if it is not answered."""
        queued = self._queued(now)
        took_s = work_s * self.factor * rng.uniform(0.6, 1.1)
        took_s *= 7 if rng.random() < 0.03 else 1
        if rng.random() < self.lost_share or queued > QUEUE_LIMIT:
            if queued <= QUEUE_LIMIT:
                self._outcomes.record(now, failed=True)
            return float('inf')
        self._outcomes.record(now, failed=False)
        self._ends.append((self._ends[-1] if queued else now) + took_s)
        self.work_s += (took_s - self.work_s) * 0.01
        return self._ends[-1]

    def report(self, now: float) -> Report:
        """Return what the agent reports."""
        queued = self._queued(now)
        return Report(
            now,
            queued * self.work_s,
            self.work_s,
            self.work_s
            * sum(
                count * self.rates.per_s(name)
                for name, count in self.flows.items()
            ),
            queued,
            sum(self.flows.values()),
            self._outcomes.is_failing(now),
        )

    def _queued(self, now: float) -> int:
        while self._ends and self._ends[0] <= now:
            self._ends.popleft()
        return len(self._ends)


class Flow(typing.NamedTuple):
    """An open flow."""

    server: Server
    kind: str
    work_s: float
    per_s: float
    opened_at: float
    until: float
    trip_s: float


class Replay:
    """One run.

    Attributes:
        servers: The backend servers.
        share_of_domain: Returns the weight of a failure domain's demand.
        is_lost: Returns whether a report of a server is lost.
        report_delay_s: Seconds by which reports arrive late.
        kinds: Kinds of requests.
    """

    def __init__(
        self, seed: int, *, uses_reports: bool, delay_s: float = 0.0009
    ) -> None:
        """Prepare a run.

        Args:
            seed: Seed of all random numbers.
            uses_reports: Whether the route has an objective.
            delay_s: One-way delay between failure domains.
        """
        self.servers = [Server(number % DOMAINS) for number in range(SERVERS)]
        self.share_of_domain: abc.Callable[[int, float], float] = (
            lambda domain, now: 1.0
        )
        self.is_lost: abc.Callable[[], bool] = lambda: False
        self.report_delay_s = 0.0
        self.kinds = (STREAM, LOOKUP, UPLOAD)
        self.answers: list[tuple[float, float]] = []
        self._objective_s = OBJECTIVE_S if uses_reports else None
        self._delay_s = delay_s
        self._demand = random.Random(seed)
        self._work = random.Random(seed + 1000)
        self._views = [
            [server.report(0.0) for server in self.servers]
            for _ in range(BALANCERS)
        ]
        self._placed = [[0] * SERVERS for _ in range(BALANCERS)]
        self._capacities = [
            server_capacity.ServerCapacity() for _ in range(BALANCERS)
        ]
        self._asked: set[tuple[int, int]] = set()
        self._events: list[tuple[float, int, typing.Any, typing.Any]] = []
        self._numbers = itertools.count()

    def run(self, seconds: float, load: float = 1.0) -> None:
        """Run with a multiple of the usual demand."""
        for balancer, number in itertools.product(
            range(BALANCERS), range(SERVERS)
        ):
            self.at(
                self._demand.random() * self._period_s(balancer, number),
                self._send_heartbeat,
                balancer,
                number,
            )
        self.at(0.0, self._measure)
        self.at(0.0, self._judge)
        for kind in self.kinds:
            self.at(0.0, self._generate, kind, load)
        while self._events[0][0] < seconds:
            now, _, call, values = heapq.heappop(self._events)
            call(now, *values)

    def value(self, since: float = 0.0) -> float:
        """Return the share of requests answered within the objective."""
        waits = [wait_s for at, wait_s in self.answers if at >= since]
        return sum(wait_s <= OBJECTIVE_S for wait_s in waits) / len(waits)

    def at(self, moment: float, call: typing.Any, *values: typing.Any) -> None:
        """Call a function at a moment, with it and some values."""
        heapq.heappush(
            self._events, (moment, next(self._numbers), call, values)
        )

    def _measure(self, now: float) -> None:
        for server in self.servers:
            server.rates.measure(server.flows, now)
        self.at(now + 1, self._measure)

    def _judge(self, now: float) -> None:
        for view, capacity in zip(self._views, self._capacities, strict=True):
            capacity.update(
                {
                    str(number): server_capacity.Observation(
                        report.work_s, report.is_failing
                    )
                    for number, report in enumerate(view)
                },
                now,
            )
        self.at(now + 0.5, self._judge)

    def _period_s(self, balancer: int, number: int) -> float:
        is_local = self.servers[number].domain == balancer % DOMAINS
        return LOCAL_PERIOD_S if is_local else REMOTE_PERIOD_S

    def _trip_s(self, balancer: int, number: int) -> float:
        is_local = self.servers[number].domain == balancer % DOMAINS
        return 0.0002 if is_local else self._delay_s

    def _send_heartbeat(self, now: float, balancer: int, number: int) -> None:
        self._report(now, balancer, number)
        period_s = self._period_s(balancer, number)
        self.at(now + period_s, self._send_heartbeat, balancer, number)

    def _report(self, now: float, balancer: int, number: int) -> None:
        if self.is_lost():
            return
        arrival = now + self._trip_s(balancer, number) + self.report_delay_s
        report = self.servers[number].report(now)
        self.at(arrival, self._receive, balancer, number, report)

    def _receive(
        self, now: float, balancer: int, number: int, report: Report
    ) -> None:
        self._views[balancer][number] = report._replace(at=now)
        self._placed[balancer][number] = 0
        self._asked.discard((balancer, number))

    def _generate(self, now: float, kind: typing.Any, load: float) -> None:
        weights = [self.share_of_domain(one, now) for one in range(DOMAINS)]
        (domain,) = self._demand.choices(range(DOMAINS), weights)
        balancer = self._demand.choice(range(domain, BALANCERS, DOMAINS))
        sample = self._demand.sample(
            [
                number
                for number, server in enumerate(self.servers)
                if server.is_present
            ],
            placement.SAMPLE_SIZE,
        )
        number = self._choose(balancer, sample, now)
        self._placed[balancer][number] += 1
        arrival = now + self._trip_s(balancer, number)
        self.at(arrival, self._open, kind, number, arrival - now)
        is_old = now - self._views[balancer][number].at > 0.075
        if is_old and (balancer, number) not in self._asked:
            self._asked.add((balancer, number))
            self.at(arrival, self._report, balancer, number)
        pause_s = self._demand.expovariate(kind[1] * load)
        self.at(now + pause_s, self._generate, kind, load)

    def _choose(
        self, balancer: int, sample: abc.Iterable[int], now: float
    ) -> int:
        view = self._views[balancer]
        cost = placement.busy_per_flow((one.busy, one.flows) for one in view)
        chosen = placement.choose(
            (self._candidate(balancer, number, now) for number in sample),
            cost,
            self._objective_s,
        )
        assert chosen is not None
        return int(chosen.instance)

    def _candidate(
        self, balancer: int, number: int, now: float
    ) -> placement.Candidate:
        report = self._views[balancer][number]
        placed = self._placed[balancer][number]
        share = self._capacities[balancer].share(str(number), now)
        is_avoided = self._demand.random() >= share
        expectation = placement.Expectation(
            report.wait_s,
            now - report.at,
            report.work_s,
            report.committed,
            placed,
            2 * self._trip_s(balancer, number),
        )
        is_known = now - report.at <= 3 * self._period_s(balancer, number)
        return placement.Candidate(
            instance=str(number),
            slots=1,
            busy=report.busy,
            flows=report.flows,
            placed=placed,
            is_cross_domain=self.servers[number].domain != balancer % DOMAINS,
            is_suspect=False,
            penalty=placement.penalty(
                is_cold=False, is_failing=report.is_failing
            ),
            expectation=expectation if is_known else None,
            is_avoided=is_avoided,
        )

    def _open(
        self, now: float, kind: typing.Any, number: int, trip_s: float
    ) -> None:
        server = self.servers[number]
        name, _, work_s, per_s, life_s = kind
        server.flows[name] += 1
        until = now + 0.05
        if life_s:
            until = now + self._work.expovariate(1 / life_s)
        self.at(until, self._close, server, name)
        flow = Flow(server, name, work_s, per_s, now, until, trip_s)
        self.at(now + 2 * trip_s, self._request, flow)

    def _close(self, now: float, server: Server, name: str) -> None:
        server.flows[name] -= 1

    def _request(self, now: float, flow: Flow) -> None:
        flow.server.rates.note_request(flow.kind, flow.opened_at)
        end = flow.server.serve(now, flow.work_s, self._work)
        self.answers.append((now, end - now + 2 * flow.trip_s))
        if not flow.per_s:
            return
        following = now + self._work.expovariate(flow.per_s)
        if following < flow.until:
            self.at(following, self._request, flow)
