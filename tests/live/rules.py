"""Rules ROUTE, DRAIN and FLOW, from what clients and backend servers see.

Rules with a time bound hold for machines in touch: those without disruption
for ``CONTACT_S``, while the store has had none either. Planned work excuses no
lost flow.
"""

import collections
import math
import typing
from collections import abc

from tests.emulator import backend_server, checks, client, simulation

CONTACT_S = 4.0
DRAIN_S = 3.0
REORDER_S = 2.0
FLOW_TTL_S = 60.0
IDLE_TIMEOUT_S = 15.0
ASTRAY_LIMIT = 3
MAX_TAKES = 16
STORE = 'store'


class Disruption:
    """A disruption of a machine, or of the store.

    Attributes:
        kind: What was done.
        planned: Whether it is planned work.
        since: Seconds of the clock at which it began.
        until: Seconds of the clock at which it ended; infinite while it lasts.
    """

    def __init__(self, kind: str, since: float, *, planned: bool) -> None:
        self.kind = kind
        self.planned = planned
        self.since = since
        self.until = math.inf

    def overlaps(self, since: float, until: float) -> bool:
        return self.since <= until and self.until >= since


class Disruptions:
    """Disruptions by the address of the machine."""

    def __init__(self, clock: abc.Callable[[], float]) -> None:
        self._clock = clock
        self._start = clock()
        self._by_address: dict[str, list[Disruption]] = collections.defaultdict(
            list
        )

    def begin(
        self, address: str, kind: str, *, planned: bool = False
    ) -> abc.Callable[[], None]:
        """Record that a disruption begins; return a function that ends it.

        Args:
            address: Address of the machine, or ``STORE``.
            kind: What is done.
            planned: Whether it is planned work.
        """
        disruption = Disruption(kind, self._clock(), planned=planned)
        self._by_address[address].append(disruption)

        def end() -> None:
            disruption.until = self._clock()

        return end

    def record(
        self,
        address: str,
        kind: str,
        *,
        since: float | None = None,
        planned: bool = False,
    ) -> None:
        """Record a disruption that is over, by default one of a moment.

        Args:
            address: Address of the machine, or ``STORE``.
            kind: What was done.
            since: Seconds of the clock at which it began.
            planned: Whether it was planned work.
        """
        now = self._clock()
        disruption = Disruption(
            kind, now if since is None else since, planned=planned
        )
        disruption.until = now
        self._by_address[address].append(disruption)

    def in_touch(self, address: str, at: float) -> bool:
        """Return whether a machine and the store had no disruption."""
        return not self._find((address, STORE), at - CONTACT_S, at)

    def unplanned(
        self, addresses: abc.Iterable[str], since: float, until: float
    ) -> str:
        """Return the unplanned disruption of one of the machines, or ''.

        Args:
            addresses: Addresses of the machines; the store always counts.
            since: Start of the moments of which each has to be in touch.
            until: End of them.
        """
        for one in self._find((*addresses, STORE), since - CONTACT_S, until):
            if not one.planned:
                return one.kind
        return ''

    def held_packets(self, address: str, at: float) -> bool:
        """Return whether a machine was paused lately, and held packets."""
        return any(
            one.kind == 'pause'
            for one in self._find((address,), at - CONTACT_S, at)
        )

    def rows(self) -> list[str]:
        """Return all disruptions as text, in the order of their begin."""
        found = [
            (one.since, one.until, address, one.kind)
            for address, disruptions in self._by_address.items()
            for one in disruptions
        ]
        return [
            f'{since - self._start:.3f} to {until - self._start:.3f} s: '
            f'{address} {kind}'
            for since, until, address, kind in sorted(found)
        ]

    def _find(
        self, addresses: abc.Iterable[str], since: float, until: float
    ) -> list[Disruption]:
        return [
            one
            for address in addresses
            for one in self._by_address.get(address, ())
            if one.overlaps(since, until)
        ]


class _Misdelivery:
    """Packets of one flow since the last one that its server received."""

    def __init__(self, last_own_at: float) -> None:
        self.last_own_at = last_own_at
        self.settled_at = last_own_at
        self.astray_at: collections.deque[float] = collections.deque(
            maxlen=ASTRAY_LIMIT
        )
        self.is_found = False

    def add(self, at: float, *, is_own: bool) -> None:
        """Add a packet; ``is_found`` is settled by the next own one."""
        if is_own:
            self.settle(at)
            if not self.is_found:
                self.last_own_at = at
                self.astray_at.clear()
        elif not self._is_enough():
            self.astray_at.append(at)

    def settle(self, at: float) -> None:
        """Settle whether there was a window without an own packet."""
        if self._is_enough() and at - self.last_own_at >= REORDER_S:
            self.is_found = True
            self.settled_at = at

    def _is_enough(self) -> bool:
        return (
            len(self.astray_at) == ASTRAY_LIMIT
            and self.astray_at[-1] - self.astray_at[0] <= REORDER_S
        )


class System(typing.Protocol):
    """The judged deployment."""

    sim: typing.Any
    clients: list[client.Client]
    backend_servers: dict[str, backend_server.BackendServer]


class RuleJudge:
    """Follows a deployment and collects broken rules.

    Attributes:
        disruptions: Disruptions of the machines and of the store.
        allowed: Services of each route in any configuration so far.
        dropped_routes: Routes that a configuration removed.
        violations: Broken rules.
        excused: Count of what a disruption excuses, by rule.
        lag_s: Longest recent delay of the checks; packets may have waited as
            long before they were read.
    """

    def __init__(
        self,
        system: System,
        allowed: abc.Mapping[tuple[str, int], str],
    ) -> None:
        self.disruptions = Disruptions(lambda: system.sim.time)
        self.allowed: dict[tuple[str, int], set[str]] = {
            route: {service} for route, service in allowed.items()
        }
        self.dropped_routes: set[tuple[str, int]] = set()
        self.violations: list[simulation.Violation] = []
        self.excused: collections.Counter[str] = collections.Counter()
        self.lag_s = 0.0
        self._system = system
        self._start = system.sim.time
        self._judged: collections.Counter[backend_server.BackendServer] = (
            collections.Counter()
        )
        self._leaves: dict[
            tuple[backend_server.BackendServer, int], tuple[float, bool]
        ] = {}
        self._takes: dict[bytes, collections.deque[tuple[float, str]]] = {}
        self._takers: dict[tuple[bytes, float], tuple[float, str]] = {}
        self._packets: dict[
            backend_server.BackendServer, dict[tuple[int, bytes], _Misdelivery]
        ] = collections.defaultdict(dict)

    def note_taken(self, flow: bytes, sent_at: float, address: str) -> None:
        """Note that a balancer receives a packet of a client."""
        now = self._system.sim.time
        takes = self._takes.setdefault(
            flow, collections.deque(maxlen=MAX_TAKES)
        )
        takes.append((now, address))
        self._takers[flow, sent_at] = now, address

    def note_leave_acknowledged(
        self, server: backend_server.BackendServer
    ) -> None:
        """Note that its agent has accepted that a backend server leaves."""
        now = self._system.sim.time
        self._leaves.setdefault(
            (server, server.incarnation),
            (now, self.disruptions.in_touch(server.address, now)),
        )

    def check(self) -> None:
        """Judge what was seen since the last check.

        To be called before an incarnation of a backend server ends.
        """
        for one in self._system.clients:
            resets, one.resets = one.resets, []
            for reset in resets:
                self._judge_reset(reset)
        for server in self._system.backend_servers.values():
            first = self._judged[server]
            self._judged[server] = len(server.openings)
            for opening in server.openings[first:]:
                self._judge_route(server, opening)
                self._judge_drain(server, opening)
            self._judge_deliveries(server)

    def _judge_route(
        self,
        server: backend_server.BackendServer,
        opening: backend_server.Opening,
    ) -> None:
        route = checks.route_of(opening.flow)
        if server.service not in self.allowed.get(route, ()):
            self._record(
                'ROUTE',
                opening.received_at,
                f'{route} at {server.service} {server.address}',
            )

    def _judge_drain(
        self,
        server: backend_server.BackendServer,
        opening: backend_server.Opening,
    ) -> None:
        leave = self._leaves.get((server, server.incarnation))
        if leave is None:
            return
        since, was_in_touch = leave
        at = opening.received_at
        late_s = at - self.lag_s - since - DRAIN_S
        if late_s <= 0:
            return
        taken_at, taker = self._takers.get(
            (opening.flow, opening.client_sent_at), (at, '')
        )
        if not (
            was_in_touch
            and self.disruptions.in_touch(server.address, at)
            and self.disruptions.in_touch(taker, taken_at)
            and self.disruptions.in_touch(taker, at)
        ):
            self.excused['DRAIN'] += 1
            return
        detail = f'{late_s:.3f} s late at {server.address} from {taker}'
        self._record('DRAIN', at, detail)

    def _judge_reset(self, reset: client.Reset) -> None:
        server = self._find_open_at(reset.flow)
        if server is None or not self._must_last(server, reset.flow):
            return
        at = reset.received_at
        takes = [one for one in self._takes[reset.flow] if one[0] <= at]
        held = {
            taker
            for taken_at, taker in takes
            if taken_at > at - CONTACT_S
            and self.disruptions.held_packets(taker, at)
        }
        machines = {server.address, reset.sender, takes[-1][1], *held}
        excuse = self.disruptions.unplanned(machines, at, at)
        if excuse:
            self.excused['FLOW'] += 1
            return
        self._record(
            'FLOW',
            at,
            f'reset by {reset.sender} while open at {server.address}, '
            f'flow {describe_flow(reset.flow)}, taken by {takes[-1][1]}',
        )

    def _judge_deliveries(self, server: backend_server.BackendServer) -> None:
        deliveries, server.deliveries = server.deliveries, []
        rows = self._packets[server]
        for at, flow, is_own in deliveries:
            connection = server.connections.get(flow)
            opened_at = connection.opened_at if connection else at
            key = server.incarnation, flow
            rows.setdefault(key, _Misdelivery(opened_at)).add(at, is_own=is_own)
        now = self._system.sim.time
        for key, row in tuple(rows.items()):
            incarnation, flow = key
            connection = server.connections.get(flow)
            is_open = (
                incarnation == server.incarnation
                and connection is not None
                and connection.is_open
            )
            if is_open:
                row.settle(now)
            if row.is_found:
                self._judge_misdelivery(server, flow, row)
            if row.is_found or not is_open:
                rows.pop(key)

    def _judge_misdelivery(
        self,
        server: backend_server.BackendServer,
        flow: bytes,
        row: _Misdelivery,
    ) -> None:
        if not self._must_last(server, flow):
            return
        since, until = row.astray_at[0], row.astray_at[-1]
        machines = {
            taker
            for taken_at, taker in self._takes.get(flow, ())
            if since - CONTACT_S < taken_at <= until
        }
        if self.disruptions.unplanned(
            {server.address, *machines}, since, until
        ):
            self.excused['FLOW'] += 1
            return
        self._record(
            'FLOW',
            until,
            f'astray from {server.address}, flow {describe_flow(flow)}, '
            f'taken by {sorted(machines)}, own packet '
            f'{since - row.last_own_at:.2f} s before, none '
            f'{row.settled_at - since:.2f} s after',
        )

    def _find_open_at(self, flow: bytes) -> backend_server.BackendServer | None:
        for server in self._system.backend_servers.values():
            end = server.connections.get(flow)
            if server.is_up and end is not None and end.is_open:
                return server
        return None

    def _must_last(
        self, server: backend_server.BackendServer, flow: bytes
    ) -> bool:
        """Return whether the rule holds for an open flow."""
        now = self._system.sim.time
        end = server.connections.get(flow)
        opened_at = now if end is None else end.opened_at
        return (
            checks.route_of(flow) not in self.dropped_routes
            and now - server.started_at >= CONTACT_S
            and now - opened_at <= FLOW_TTL_S
            and now - self._takes[flow][-1][0] <= IDLE_TIMEOUT_S
        )

    def _record(self, rule: str, at: float, detail: str) -> None:
        self.violations.append(
            simulation.Violation(rule, at - self._start, detail)
        )


def describe_flow(flow: bytes) -> str:
    """Return a flow as the logs of the instances write it."""
    source = '.'.join(str(octet) for octet in flow[3::-1])
    port = int.from_bytes(flow[8:10], 'little')
    address, service_port = checks.route_of(flow)
    return f'{source}:{port}>{address}:{service_port}'
