"""Judges the backend servers of each service by the reports of their agents."""

import copy
import math
import typing

import structlog

from kumquatport.connection.packets import server_capacity
from kumquatport.helpers import clock
from kumquatport.process.logs import rate_limit
from kumquatport.process.packets import const, decision_log, mesh
from kumquatport.version import members

_LOGGER = structlog.get_logger(__name__)

# Seconds between two judgements of a service: reports come every 0.3 s or 0.9 s.
JUDGE_INTERVAL_S: typing.Final = 0.5


class _Judged:
    """A service and its next judgement.

    Attributes:
        capacity: States of its backend servers.
        valid_until: Monotonic seconds of the next judgement.
    """

    __slots__ = ('capacity', 'valid_until')

    def __init__(self) -> None:
        self.capacity = server_capacity.ServerCapacity()
        self.valid_until = -math.inf


class CapacityWatch:
    """States of the backend servers, judged when flows are placed.

    Attributes:
        lines: Rate-limited log of changes.
    """

    def __init__(
        self, peer_mesh: mesh.Mesh, log: decision_log.DecisionLog
    ) -> None:
        """Start without services.

        Args:
            peer_mesh: Mesh of the other instances.
            log: Log whose counters count the changes.
        """
        self.lines = rate_limit.RateLimitedLogger(
            _LOGGER, const.PEER_LINES_PER_S, const.PEER_BURST_LINES
        )
        self._mesh = peer_mesh
        self._counts = log.counts
        self._services: dict[str, _Judged] = {}

    def share(self, service: str, instance: str) -> float:
        """Return the share of the usual new flows that an agent gets.

        Args:
            service: Service of the agent.
            instance: The agent.
        """
        now = clock.now()
        judged = self._services.setdefault(service, _Judged())
        if now >= judged.valid_until:
            judged.valid_until = now + JUDGE_INTERVAL_S
            self._judge(service, judged.capacity, now)
        return judged.capacity.share(instance, now)

    def preview(self, service: str) -> server_capacity.ServerCapacity:
        """Return the states by which the next flow is placed.

        A judgement that is due is made on a copy, so nothing changes.

        Args:
            service: Name of the service.
        """
        now = clock.now()
        judged = self._services.get(service) or _Judged()
        if now < judged.valid_until:
            return judged.capacity
        capacity = copy.deepcopy(judged.capacity)
        capacity.update(self._observations(service), now)
        return capacity

    def _judge(
        self,
        service: str,
        capacity: server_capacity.ServerCapacity,
        now: float,
    ) -> None:
        was_panic = capacity.is_panic
        observations = self._observations(service)
        for change in capacity.update(observations, now):
            self._counts[f'backend server {change.after}'] += 1
            self.lines.info(
                'backend server capacity',
                peer=change.instance,
                service=service,
                state=change.after,
                before=change.before,
                relative_work=change.ratio and round(change.ratio, 2),
            )
        if capacity.is_panic != was_panic:
            self.lines.warning(
                'most backend servers impaired'
                if capacity.is_panic
                else 'most backend servers unimpaired',
                service=service,
                known=len(observations),
            )
        self.lines.log_dropped_lines()

    def _observations(
        self, service: str
    ) -> dict[str, server_capacity.Observation]:
        return {
            record.instance: observation
            for record in self._mesh.registry.agents(service)
            if (observation := self._observation(record)) is not None
        }

    def _observation(
        self, record: members.InstanceRecord
    ) -> server_capacity.Observation | None:
        """Return the evidence about an agent; None if it is not in service."""
        peer = self._mesh.peer(record.instance)
        if peer is None or peer.load is None or not peer.load.accepts:
            return None
        capacity = self._mesh.capacity_of(record.instance)
        if capacity is None or not capacity.main_work_s:
            return server_capacity.Observation(None, peer.load.is_failing)
        return server_capacity.Observation(
            capacity.main_work_s, peer.load.is_failing, capacity.main_route
        )
