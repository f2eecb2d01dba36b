"""Handover of the flows that this balancer keeps as their registrar.

A balancer that stops forgets the flows registered with it. Agents register them
again when it is back, but an agent that restarts in the meantime does not know
its flows, and then nobody does. So a stopping balancer hands its flows over to
those that take its place, and balancers that know flows of agents that have
restarted hand them to a registrar that starts.
"""

import collections
import itertools
import typing
from collections import abc

import structlog
import xxhash

from kumquatport.connection.packets import (
    flow_directory,
    flow_handover,
    registrars,
)
from kumquatport.helpers import clock
from kumquatport.process.packets import mesh, models
from kumquatport.version import members
from kumquatport.version.members import const as members_const

_LOGGER = structlog.get_logger(__name__)

# Seconds between two bursts of frames.
TICK_S: typing.Final = 0.02

# Bytes per second: 50,000 flows, so that a small deployment takes one burst and
# the packets of clients are not delayed.
BYTES_PER_S: typing.Final = 400_000

# Largest share of a link whose rate is stated.
LINK_SHARE: typing.Final = 0.25

# Seconds between two selections of the balancers that are ready.
SELECT_S: typing.Final = 0.1


# Marks the end of a job.
_FINISHED: typing.Final = flow_handover.Batch('', b'', 0)


class _Job:
    """Frames that are sent for one reason.

    Attributes:
        to: Receivers, for the log.
        batches: Frames, and None where the work may pause.
        sent_flows: Flows sent so far.
    """

    def __init__(
        self, to: str, batches: abc.Iterator[flow_handover.Batch | None]
    ) -> None:
        self.to = to
        self.batches = batches
        self.sent_flows = 0


class Handover:
    """Sends flows of a directory to other balancers, at a limited rate.

    Attributes:
        is_leaving: Whether this balancer stops and hands all flows over.
    """

    def __init__(
        self,
        settings: models.Settings,
        directory: flow_directory.FlowDirectory,
        all_registrars: registrars.Registrars,
        peers: mesh.Mesh,
    ) -> None:
        """Start without a handover.

        Args:
            settings: Settings of this process.
            directory: Flows that are registered here.
            all_registrars: Selects the registrars from all known balancers.
            peers: Mesh of the other instances.
        """
        self.is_leaving = False
        self._settings = settings
        self._directory = directory
        self._registrars = all_registrars
        self._mesh = peers
        self._successors = registrars.Registrars()
        self._selected_at: float | None = None
        self._late: list[int] = []
        self._jobs: collections.deque[_Job] = collections.deque()

    def apply_settings(self, settings: models.Settings) -> None:
        """Apply settings that changed at run time."""
        self._settings = settings

    def successors(self, digest: int) -> tuple[str, ...]:
        """Return the registrars of a flow among the balancers that are ready.

        Args:
            digest: Digest of the flow's key.
        """
        now = clock.now()
        if self._selected_at is None or now - self._selected_at >= SELECT_S:
            self._selected_at = now
            self._successors.update(self._mesh.ready_balancers())
        return self._successors.of_digest(digest)

    def leave(self, carried: abc.Iterable[tuple[bytes, str]]) -> None:
        """Hand all flows over, because this balancer stops.

        Flows of agents that may not know them go first, also those whose
        packets this balancer carries. What is not sent before the process exits
        is left out.

        Args:
            carried: Flows that are carried here, and the agent of each.
        """
        self.is_leaving = True
        self._selected_at = None
        restarted = self._restarted_agents()
        carried_agents = {
            xxhash.xxh64_intdigest(flow): agent
            for flow, agent in carried
            if agent in restarted
        }
        digests = self._directory.digests()
        work = [
            flow_handover.batches(
                carried_agents, carried_agents.__getitem__, self.successors
            ),
            flow_handover.batches(
                digests,
                lambda digest: self._agent_except(digest, restarted),
                self._receivers,
            ),
        ]
        if restarted:
            work.insert(
                1,
                flow_handover.batches(
                    digests,
                    lambda digest: self._agent_of(digest, restarted),
                    self.successors,
                ),
            )
        job = _Job('all', itertools.chain.from_iterable(work))
        self._start(job, is_urgent=True)

    def add_late(self, digests: abc.Iterable[int]) -> None:
        """Hand over flows that are registered while this balancer stops."""
        is_scheduled = bool(self._late)
        self._late.extend(digests)
        if self._late and not is_scheduled:
            self._mesh.call_later(TICK_S, self._send_late)

    def on_balancer_started(self, record: members.InstanceRecord) -> None:
        """Hand over to a started balancer the flows of restarted agents.

        Agents register all others with it.
        """
        restarted = self._restarted_agents()
        if not len(self._directory) or not restarted:
            return
        name = record.instance
        work = flow_handover.batches(
            self._directory.digests(),
            lambda digest: self._agent_of(digest, restarted),
            lambda digest: (
                (name,) if name in self._registrars.of_digest(digest) else ()
            ),
        )
        self._start(_Job(name, work), is_urgent=False)

    def _receivers(self, digest: int) -> abc.Iterable[str]:
        """Return the balancers that become registrars without this one."""
        known = self._registrars.of_digest(digest)
        return (name for name in self.successors(digest) if name not in known)

    def _agent_of(self, digest: int, agents: abc.Set[str]) -> str:
        agent = self._directory.find_digest(digest)
        return agent if agent in agents else ''

    def _agent_except(self, digest: int, agents: abc.Set[str]) -> str:
        """Return the agent of a flow, empty if excluded or departed."""
        agent = self._directory.find_digest(digest)
        record = self._mesh.registry.get(agent)
        if agent in agents or record is None or not _holds_flows(record):
            return ''
        return agent

    def _restarted_agents(self) -> frozenset[str]:
        """Return the agents whose flow tables are incomplete."""
        since = clock.now() - self._settings.bounds.flow_ttl_s
        return frozenset(
            record.instance
            for service in self._mesh.registry.services()
            for record in self._mesh.registry.agents(service)
            if _holds_flows(record)
            and (
                record.state != members_const.STATE_READY
                or self._mesh.is_suspect(record.instance)
                or self._mesh.has_started_since(record.instance, since)
            )
        )

    def _send_late(self) -> None:
        digests = tuple(self._late)
        self._late.clear()
        work = flow_handover.batches(
            digests,
            lambda digest: self._agent_except(digest, frozenset()),
            self._receivers,
        )
        self._start(_Job('late', work), is_urgent=True)

    def _start(self, job: _Job, *, is_urgent: bool) -> None:
        """Start to send frames, one job after the other.

        Args:
            job: Frames to send.
            is_urgent: Whether it goes before the jobs that wait.
        """
        self._registrars.update_if_changed(
            self._mesh.balancers_digest, self._mesh.balancer_names
        )
        is_idle = not self._jobs
        if is_urgent:
            self._jobs.appendleft(job)
        else:
            self._jobs.append(job)
        if is_idle:
            self._send_burst()

    def _send_burst(self) -> None:
        """Send frames until the budget of a burst is used or work pauses."""
        budget = self._bytes_per_s() * TICK_S
        while self._jobs and budget > 0:
            job = self._jobs[0]
            batch = next(job.batches, _FINISHED)
            if batch is None:
                break
            if batch is _FINISHED:
                self._jobs.popleft()
                if job.sent_flows:
                    _LOGGER.info(
                        'flows handed over', to=job.to, flows=job.sent_flows
                    )
                continue
            budget -= len(batch.message)
            job.sent_flows += self._send(batch)
        if self._jobs:
            self._mesh.call_later(TICK_S, self._send_burst)

    def _send(self, batch: flow_handover.Batch) -> int:
        record = self._mesh.registry.get(batch.receiver)
        if record is None:
            return 0
        self._mesh.send(batch.message, record.address)
        return batch.flows

    def _bytes_per_s(self) -> float:
        link = self._settings.link_bytes_per_s
        return min(BYTES_PER_S, link * LINK_SHARE) if link else BYTES_PER_S


def _holds_flows(record: members.InstanceRecord) -> bool:
    """Return whether an agent may hold flows, by its record."""
    is_vacant = record.state == members_const.STATE_VACANT
    return not is_vacant and not members.is_departed(record)
