"""Keeping the roster of one service in step with its agents."""

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
# An agent that starts takes claims over before it takes requests.
_ELIGIBLE_STATES = frozenset(
    (members_const.STATE_STARTING, members_const.STATE_READY),
)


class Dependencies(typing.NamedTuple):
    """What the roster is kept in step with.

    Attributes:
        service: Name of the service.
        agents: Returns the records of the service's agents.
        record_of: Returns the record of an instance, also a departed one, or
            nothing where none is known.
        out: Returns the failure domains that are taken out.
        platform: Client of the platform.
        ask: Sends a control message to an endpoint.
    """

    service: str
    list_agents: abc.Callable[[], abc.Sequence[members.InstanceRecord]]
    find_record: abc.Callable[[str], members.InstanceRecord | None]
    domains_out: abc.Callable[[], abc.Container[str]]
    platform: objects.ObjectStore
    call_peer: replica.CallPeer


class RosterManager(mode.Service):
    """Holds the highest roster seen, and changes it where it does not fit.

    Only the first of the service's agents, by name, reads and writes the
    platform; the others learn the roster from each other. Two that both take
    themselves for the first do no harm: the conditional update lets one win.
    """

    def __init__(
        self,
        dependencies: Dependencies,
        local: replica.Replica,
    ) -> None:
        """Start without a roster.

        Args:
            dependencies: What the roster is kept in step with.
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
        """The highest roster seen."""
        return self._roster

    @property
    def is_listed(self) -> bool:
        """Whether any slot's claims are kept by this process."""
        return any(
            self._local.replica_id in generations[0].replicas
            for generations in self._roster.slots
        )

    @property
    def has_successors(self) -> bool:
        """Whether another agent could keep the claims of this one."""
        return any(
            record.state in _ELIGIBLE_STATES
            for record in self._dependencies.list_agents()
            if record.instance != self._local.replica_id.instance
        )

    @property
    def is_caught_up(self) -> bool:
        """Whether the roster is known and this process serves its share."""
        return bool(self._roster.slots) and not self._local.is_taking_over

    def adopt_if_newer(self, found: roster.Roster) -> None:
        """Take a roster if it is higher than the one held."""
        if found.service != self._dependencies.service:
            return
        if found.epoch <= self._roster.epoch:
            return
        self._roster = found
        self._mismatch_since = None
        _LOGGER.info('roster adopted', epoch=found.epoch)
        self._local.adopt(found)

    async def async_handle_query(
        self,
        asked: messages.RosterAsk,
    ) -> messages.RosterReply:
        """Answer another agent that asks for a newer roster."""
        is_newer = self._roster.epoch > asked.epoch
        is_same = asked.service == self._dependencies.service
        if is_newer and is_same:
            return messages.RosterReply(self._roster)
        return messages.RosterReply(None)

    async def async_query(self, endpoint: str) -> None:
        """Ask another agent for its roster."""
        asked = messages.RosterAsk(
            self._dependencies.service,
            self._roster.epoch,
        )
        try:
            reply = await self._dependencies.call_peer(
                endpoint,
                asked,
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
                # The platform is away: the present roster goes on.
                _LOGGER.debug('roster not changed', code=err.code)
                self._back_off()
            await self.sleep(const.ROSTER_CHECK_INTERVAL_S)

    def _back_off(self) -> None:
        """Wait longer after each failure, each service for itself.

        When a failure domain goes, thousands of services change their rosters;
        the claims go on with the replicas that are left meanwhile.
        """
        if self._backoff_delays is None:
            first_s = const.ROSTER_CHANGE_DELAY_S
            self._backoff_delays = backoff.delays(
                first_s, const.ROSTER_MAX_BACKOFF_S
            )
        self._next_change_at = time.monotonic() + next(self._backoff_delays)

    async def _async_check(self) -> None:
        able = [
            record
            for record in self._dependencies.list_agents()
            if record.state in _ELIGIBLE_STATES
        ]
        now = time.monotonic()
        is_needed = self._local.is_suspended or bool(self._local.stalled_slots)
        if (
            is_needed
            or self._is_first_by_name(able)
            or self._must_lead_in_partial_view()
        ):
            await self._async_maintain(able, now)
            return
        others = [
            record
            for record in able
            if record.instance != self._local.replica_id.instance
        ]
        if others and now - self._last_query_at > const.ROSTER_QUERY_INTERVAL_S:
            self._last_query_at = now
            peer = random.choice(others)
            await self.async_query(f'{peer.address}:{peer.control_port}')

    def _is_first_by_name(
        self, able: abc.Sequence[members.InstanceRecord]
    ) -> bool:
        if not able:
            return False
        first = min(record.instance for record in able)
        return first == self._local.replica_id.instance

    def _must_lead_in_partial_view(self) -> bool:
        """Tell whether this agent must lead where nobody knows all agents."""
        known = self._dependencies.list_agents()
        return len(known) >= const.PARTIAL_VIEW_AGENTS and self.is_listed

    def _unknown_replicas(self) -> frozenset[roster.ReplicaId]:
        """Return the replicas of which nothing is known here.

        An agent of a large service knows only some of the others, and one that
        has just started knows few; for anybody else what is unknown is gone.
        """
        known = len(self._dependencies.list_agents())
        view_s = time.monotonic() - self._started_at
        is_whole = known < const.PARTIAL_VIEW_AGENTS
        if is_whole and view_s > const.MEMBERSHIP_WARMUP_S:
            return frozenset()
        return frozenset(
            one
            for generations in self._roster.slots
            for one in generations[0].replicas
            if self._dependencies.find_record(one.instance) is None
        )

    async def _async_maintain(
        self,
        able: abc.Sequence[members.InstanceRecord],
        now: float,
    ) -> None:
        if self._backoff_delays is not None and now < self._next_change_at:
            return
        is_due = now - self._confirmed_at > const.ROSTER_CONFIRM_INTERVAL_S
        if self._local.is_suspended or is_due:
            await self._async_fetch_stored()
            self._confirmed_at = now
            self._local.confirm_roster()
        if self._propose(able, may_lose=True) is None:
            self._mismatch_since = None
            return
        if self._mismatch_since is None:
            self._mismatch_since = now
            self._next_change_at = now + self._change_delay_s(able)
        if now >= self._next_change_at:
            may_lose = now - self._mismatch_since >= const.CLAIM_LOSS_DELAY_S
            await self._async_store_proposal(able, may_lose=may_lose)
            self._backoff_delays = None

    def _change_delay_s(
        self, able: abc.Sequence[members.InstanceRecord]
    ) -> float:
        """Return how long to wait before the roster is changed, in seconds.

        Replicas in a failure domain that operators have taken out still keep
        their claims, so there is time to spread the writes of all services.
        """
        alive = {_replica_id(record) for record in able}
        is_calm = bool(self._roster.slots) and all(
            alive.issuperset(generations[0].replicas)
            for generations in self._roster.slots
        )
        most_s = const.ROSTER_ROUTINE_JITTER_S
        is_urgent = not is_calm and self._is_first_by_name(able)
        if is_urgent or len(alive) <= const.REPLICATION_FACTOR:
            most_s = const.ROSTER_URGENT_JITTER_S
        return const.ROSTER_CHANGE_DELAY_S + random.uniform(0, most_s)

    def _propose(
        self,
        able: abc.Sequence[members.InstanceRecord],
        *,
        may_lose: bool,
    ) -> roster.Roster | None:
        out = self._dependencies.domains_out()
        eligible = [
            roster.Candidate(_replica_id(record), record.failure_domain)
            for record in able
            if record.failure_domain not in out
        ]
        return roster.propose(
            self._roster,
            self._dependencies.service,
            roster.Requirements(
                eligible,
                time.time(),
                may_lose,
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
        able: abc.Sequence[members.InstanceRecord],
        *,
        may_lose: bool,
    ) -> None:
        version = await self._async_fetch_stored()
        proposed = self._propose(able, may_lose=may_lose)
        if proposed is None:
            return
        key = const.ROSTER_PREFIX + self._dependencies.service
        await self._dependencies.platform.async_put(
            key,
            roster.encode(proposed),
            version,
        )
        self.adopt_if_newer(proposed)


def _replica_id(record: members.InstanceRecord) -> roster.ReplicaId:
    return roster.ReplicaId(
        record.instance,
        record.incarnation,
        f'{record.address}:{record.control_port}',
    )
