"""Balancer with agents that report their capacity, for a route with terms."""

import itertools

from kumquatport.connection.packets import frame, request_class
from kumquatport.process.packets import messages
from kumquatport.version import routes
from tests.builders import balancers, packets

TERMS = request_class.RequestClass(
    priority=1, deadline_s=0.6, objective_s=0.25, is_repeatable=True
)


class CapacityReportTestCase(balancers.BalancerTestCase):
    """A balancer in failure domain a that knows some agents.

    Attributes:
        capacity_reports: Expected wait and mean work in seconds by agent; an
            agent without them reports no capacity report.
        domains: Failure domain of each agent; a if it is not stated.
    """

    def setUp(self) -> None:
        """Build the balancer with a route that has terms."""
        super().setUp()
        self.capacity_reports: dict[str, tuple[float, float] | None] = {}
        self.domains: dict[str, str] = {}
        self._ports = itertools.count(40000)
        self.set_terms(TERMS, 2)

    def set_terms(
        self, terms: request_class.RequestClass | None, version: int
    ) -> None:
        """Change the terms of the route."""
        table = packets.table(version, terms=terms)
        self.configuration.update_routes(routes.encode(table), 'test')

    def address(self, instance: str) -> str:
        """Return the address of an agent, named by a number."""
        return f'10.0.1.{instance}'

    def report(self, is_answer: bool = False, **load: int) -> None:
        """Deliver a heartbeat of each agent."""
        for instance in self.capacity_reports:
            self.report_one(instance, is_answer=is_answer, **load)

    def report_one(
        self, instance: str, *, is_answer: bool = False, **load: int
    ) -> None:
        """Deliver a short heartbeat of an agent, and a full one at first."""
        address = self.address(instance)
        reported = packets.load(slots=1, **load)
        if self.mesh.peer(instance) is None:
            record = packets.record(
                instance,
                address=address,
                failure_domain=self.domains.get(instance, 'a'),
            )
            state = self.configuration.snapshot(with_changes=False)
            message = messages.Heartbeat(
                record, reported, state, wants_reply=False
            )
            self.mesh.on_datagram(messages.encode(message), (address, 7000))
        seconds = self.capacity_reports[instance]
        capacity = None
        if seconds is not None:
            wait_s, work_s = seconds
            waits_s = (0.0, wait_s, 0.0, 0.0)
            capacity = messages.CapacityReport(
                waits_s, work_s, is_answer=is_answer, main_work_s=work_s
            )
        heartbeat = messages.ShortHeartbeat(
            1, 1, 0, 2, 0, 0.0, 0.3, reported, capacity=capacity
        )
        self.mesh.on_datagram(
            messages.encode_short_heartbeat(heartbeat), (address, 7000)
        )

    def open(self, copy: int = 0, port: int = 0) -> bytes:
        """Deliver an opening packet and return it."""
        opening = packets.datagram(
            packets.flow(port or next(self._ports)),
            packets.SYN,
            acknowledged=copy,
        )
        self.sent.clear()
        self.forwarder.on_client(opening, (packets.CLIENT, 9000))
        return opening

    def offered(self) -> str:
        """Return the agent that was offered the last packet, or nothing."""
        for datagram, endpoint in self.sent:
            if endpoint[1] == 7000 and datagram[0] == frame.KIND_FORWARD:
                return endpoint[0].rpartition('.')[2]
        return ''

    def is_reset(self) -> bool:
        """Return whether the client was sent a reset."""
        return any(
            endpoint == (packets.CLIENT, 9000) for _, endpoint in self.sent
        )

    def chosen(self, count: int) -> list[str]:
        """Return the agents that are offered some new flows."""
        names = []
        for _ in range(count):
            self.open()
            names.append(self.offered())
        return names
