"""Keeps the roster of one service up to date with its agents."""

import random
import time
import typing
from collections import abc

import mode
import structlog

from kumquatport import exceptions, objects
from kumquatport.helpers import backoff
from kumquatport.request.idempotency import const, messages, replica, roster
from kumquatport.version import members
from kumquatport.version.members import const as members_const

_LOGGER = structlog.get_logger(__name__)
# A starting agent takes over claims before it accepts requests.
_ELIGIBLE_STATES = frozenset(
    (members_const.STATE_STARTING, members_const.STATE_READY),
)


class Dependencies(typing.NamedTuple):
    """What the roster manager needs of the rest of the agent.

    Attributes:
        service: Name of the service.
        list_agents: Returns the records of the service's agents.
        find_record: Returns the record of an instance, also a departed one,
            or None if it is unknown.
        domains_out: Returns the failure domains that are taken out.
        platform: Client of the platform.
        call_peer: Sends a control message to an endpoint and returns the
            reply.
    """

    service: str
    list_agents: abc.Callable[[], abc.Sequence[members.InstanceRecord]]
    find_record: abc.Callable[[str], members.InstanceRecord | None]
    domains_out: abc.Callable[[], abc.Container[str]]
    platform: objects.ObjectStore
    call_peer: replica.CallPeer


class RosterManager(mode.Service):
    """Holds the newest roster and changes it when the agents change.

    Normally only the first of the service's agents by name reads and writes
    the roster on the platform; the others fetch it from each other. An agent
    that was suspended or whose handovers have stalled also does, and in a large
    service each agent that the roster lists. Several writers do no harm: the
    update is conditional on the version, so only one of them succeeds.
    """

    def __init__(
        self,
        dependencies: Dependencies,
        local: replica.Replica,
    ) -> None:
        """Start without a roster.

        Args:
            dependencies: What it needs of the rest of the agent.
            local: The replica in this process.
        """
        super().__init__()
        self._dependencies = dependencies
        self._local = local
        self._roster = roster.NO_ROSTER
        self._started_at = time.monotonic()
        self._mismatch_since: float | None = None
        self._next_change_at: float = 0
        self._backoff_delays: abc.Iterator[float] | None = None
        self._confirmed_at = -const.ROSTER_CONFIRM_INTERVAL_S
        self._last_query_at: float = 0

    @property
    def current(self) -> roster.Roster:
        """The newest roster seen."""
        return self._roster

    @property
    def is_listed(self) -> bool:
        """Whether this process keeps the claims of any hash slot."""
        return any(
            self._local.replica_id in generations[0].replicas
            for generations in self._roster.slots
        )

    @property
    def has_successors(self) -> bool:
        """Whether another agent could take over this agent's claims."""
        return any(
            record.state in _ELIGIBLE_STATES
            for record in self._dependencies.list_agents()
            if record.instance != self._local.replica_id.instance
        )

    @property
    def is_caught_up(self) -> bool:
        """Whether the roster is known and all handovers to here are done."""
        return bool(self._roster.slots) and not self._local.is_taking_over

    def adopt_if_newer(self, received: roster.Roster) -> None:
        """Adopt a roster of this service if its epoch is higher."""
        if received.service != self._dependencies.service:
            return
        if received.epoch <= self._roster.epoch:
            return
        self._roster = received
        self._mismatch_since = None
        _LOGGER.info('roster adopted', epoch=received.epoch)
        self._local.adopt(received)

    async def async_handle_query(
        self,
        query: messages.RosterAsk,
    ) -> messages.RosterReply:
        """Return the roster if it is newer than that of the asking agent."""
        is_newer = self._roster.epoch > query.epoch
        is_same_service = query.service == self._dependencies.service
        if is_newer and is_same_service:
            return messages.RosterReply(self._roster)
        return messages.RosterReply(None)

    async def async_query(self, endpoint: str) -> None:
        """Fetch the roster from another agent and adopt it if newer."""
        query = messages.RosterAsk(
            self._dependencies.service,
            self._roster.epoch,
        )
        try:
            reply = await self._dependencies.call_peer(
                endpoint,
                query,
                const.PEER_TIMEOUT_S,
            )
        except exceptions.KumquatportError:
            return
        if isinstance(reply, messages.RosterReply) and reply.newer_roster:
            self.adopt_if_newer(reply.newer_roster)

    @mode.Service.task
    async def _async_follow(self) -> None:
        while not self.should_stop:
            try:
                await self._async_check()
            except exceptions.KumquatportError as err:
                # The platform is unavailable: the current roster stays in use.
                _LOGGER.debug('roster not changed', code=err.code)
                self._back_off()
            await self.sleep(const.ROSTER_CHECK_INTERVAL_S)

    def _back_off(self) -> None:
        """Increase the delay before the next change after each failure.

        Each service backs off by itself: when a failure domain is lost,
        thousands of services change their rosters. The remaining replicas
        keep serving claims meanwhile.
        """
        if self._backoff_delays is None:
            first_s = const.ROSTER_CHANGE_DELAY_S
            self._backoff_delays = backoff.delays(
                first_s, const.ROSTER_MAX_BACKOFF_S
            )
        self._next_change_at = time.monotonic() + next(self._backoff_delays)

    async def _async_check(self) -> None:
        eligible = [
            record
            for record in self._dependencies.list_agents()
            if record.state in _ELIGIBLE_STATES
        ]
        now = time.monotonic()
        must_act = self._local.is_suspended or bool(self._local.stalled_slots)
        if (
            must_act
            or self._is_first_by_name(eligible)
            or self._must_lead_in_partial_view()
        ):
            await self._async_maintain(eligible, now)
            return
        others = [
            record
            for record in eligible
            if record.instance != self._local.replica_id.instance
        ]
        if others and now - self._last_query_at > const.ROSTER_QUERY_INTERVAL_S:
            self._last_query_at = now
            peer = random.choice(others)
            await self.async_query(f'{peer.address}:{peer.control_port}')

    def _is_first_by_name(
        self, eligible: abc.Sequence[members.InstanceRecord]
    ) -> bool:
        if not eligible:
            return False
        first = min(record.instance for record in eligible)
        return first == self._local.replica_id.instance

    def _must_lead_in_partial_view(self) -> bool:
        """Return whether this agent maintains a large service's roster too.

        With so many agents none of them knows all the others, so every listed
        agent may change the roster, not only the first by name.
        """
        agents = self._dependencies.list_agents()
        return len(agents) >= const.PARTIAL_VIEW_AGENTS and self.is_listed

    def _unknown_replicas(self) -> frozenset[roster.ReplicaId]:
        """Return the replicas whose instances are unknown to this agent.

        An agent of a large service knows only some of the others, and one that
        has just started knows few. For any other agent an unknown replica is
        gone, and the result is empty.
        """
        agent_count = len(self._dependencies.list_agents())
        uptime_s = time.monotonic() - self._started_at
        is_full_view = agent_count < const.PARTIAL_VIEW_AGENTS
        if is_full_view and uptime_s > const.MEMBERSHIP_WARMUP_S:
            return frozenset()
        return frozenset(
            replica_id
            for generations in self._roster.slots
            for replica_id in generations[0].replicas
            if self._dependencies.find_record(replica_id.instance) is None
        )

    async def _async_maintain(
        self,
        eligible: abc.Sequence[members.InstanceRecord],
        now: float,
    ) -> None:
        if self._backoff_delays is not None and now < self._next_change_at:
            return
        is_due = now - self._confirmed_at > const.ROSTER_CONFIRM_INTERVAL_S
        if self._local.is_suspended or is_due:
            await self._async_fetch_stored()
            self._confirmed_at = now
            self._local.confirm_roster()
        if self._propose(eligible, may_lose_claims=True) is None:
            self._mismatch_since = None
            return
        if self._mismatch_since is None:
            self._mismatch_since = now
            self._next_change_at = now + self._change_delay_s(eligible)
        if now >= self._next_change_at:
            may_lose_claims = (
                now - self._mismatch_since >= const.CLAIM_LOSS_DELAY_S
            )
            await self._async_store_proposal(
                eligible, may_lose_claims=may_lose_claims
            )
            self._backoff_delays = None

    def _change_delay_s(
        self, eligible: abc.Sequence[members.InstanceRecord]
    ) -> float:
        """Return how long to wait before the roster is changed, in seconds.

        The replicas in a failure domain that operators have taken out still
        keep their claims. Changes that are not urgent therefore get a long
        jitter, which spreads the writes of all services.
        """
        eligible_ids = {_replica_id(record) for record in eligible}
        is_complete = bool(self._roster.slots) and all(
            eligible_ids.issuperset(generations[0].replicas)
            for generations in self._roster.slots
        )
        max_jitter_s = const.ROSTER_ROUTINE_JITTER_S
        is_urgent = not is_complete and self._is_first_by_name(eligible)
        if is_urgent or len(eligible_ids) <= const.REPLICATION_FACTOR:
            max_jitter_s = const.ROSTER_URGENT_JITTER_S
        return const.ROSTER_CHANGE_DELAY_S + random.uniform(0, max_jitter_s)

    def _propose(
        self,
        eligible: abc.Sequence[members.InstanceRecord],
        *,
        may_lose_claims: bool,
    ) -> roster.Roster | None:
        domains_out = self._dependencies.domains_out()
        candidates = [
            roster.Candidate(_replica_id(record), record.failure_domain)
            for record in eligible
            if record.failure_domain not in domains_out
        ]
        return roster.propose(
            self._roster,
            self._dependencies.service,
            roster.Requirements(
                candidates,
                time.time(),
                may_lose_claims,
                self._local.stalled_slots,
                self._unknown_replicas(),
                frozenset(map(_replica_id, self._dependencies.list_agents())),
            ),
        )

    async def _async_fetch_stored(self) -> int:
        key = const.ROSTER_PREFIX + self._dependencies.service
        try:
            stored = await self._dependencies.platform.async_get(key)
        except exceptions.ObjectMissingError:
            return 0
        self.adopt_if_newer(roster.decode(stored.value))
        return stored.version

    async def _async_store_proposal(
        self,
        eligible: abc.Sequence[members.InstanceRecord],
        *,
        may_lose_claims: bool,
    ) -> None:
        version = await self._async_fetch_stored()
        proposal = self._propose(eligible, may_lose_claims=may_lose_claims)
        if proposal is None:
            return
        key = const.ROSTER_PREFIX + self._dependencies.service
        await self._dependencies.platform.async_put(
            key,
            roster.encode(proposal),
            version,
        )
        self.adopt_if_newer(proposal)


def _replica_id(record: members.InstanceRecord) -> roster.ReplicaId:
    return roster.ReplicaId(
        record.instance,
        record.incarnation,
        f'{record.address}:{record.control_port}',
    )
