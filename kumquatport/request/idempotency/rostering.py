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
_ABLE_STATES = frozenset(
    (members_const.STATE_STARTING, members_const.STATE_READY),
)


class Surroundings(typing.NamedTuple):
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
    agents: abc.Callable[[], abc.Sequence[members.InstanceRecord]]
    record_of: abc.Callable[[str], members.InstanceRecord | None]
    out: abc.Callable[[], abc.Container[str]]
    platform: objects.ObjectStore
    ask: replica.Ask


class Rostering(mode.Service):
    """Holds the highest roster seen, and changes it where it does not fit.

    Only the first of the service's agents, by name, reads and writes the
    platform; the others learn the roster from each other. Two that both take
    themselves for the first do no harm: the conditional update lets one win.
    """

    def __init__(
        self,
        surroundings: Surroundings,
        local: replica.Replica,
    ) -> None:
        """Start without a roster.

        Args:
            surroundings: What the roster is kept in step with.
            local: The replica in this process.
        """
        super().__init__()
        self._surroundings = surroundings
        self._local = local
        self._roster = roster.NO_ROSTER
        self._started_at = time.monotonic()
        self._misfit_since: float | None = None
        self._act_at: float = 0
        self._delays: abc.Iterator[float] | None = None
        self._confirmed_at = -const.ROSTER_CONFIRM_S
        self._asked_at: float = 0

    @property
    def current(self) -> roster.Roster:
        """The highest roster seen."""
        return self._roster

    @property
    def is_listed(self) -> bool:
        """Whether any slot's claims are kept by this process."""
        return any(
            self._local.own in generations[0].replicas
            for generations in self._roster.slots
        )

    @property
    def has_successors(self) -> bool:
        """Whether another agent could keep the claims of this one."""
        return any(
            record.state in _ABLE_STATES
            for record in self._surroundings.agents()
            if record.instance != self._local.own.instance
        )

    @property
    def is_settled(self) -> bool:
        """Whether the roster is known and this process serves its share."""
        return bool(self._roster.slots) and not self._local.is_taking_over

    def offer(self, found: roster.Roster) -> None:
        """Take a roster if it is higher than the one held."""
        if found.service != self._surroundings.service:
            return
        if found.epoch <= self._roster.epoch:
            return
        self._roster = found
        self._misfit_since = None
        _LOGGER.info('roster adopted', epoch=found.epoch)
        self._local.adopt(found)

    async def async_answer(
        self,
        asked: messages.RosterAsk,
    ) -> messages.RosterReply:
        """Answer another agent that asks for a newer roster."""
        is_newer = self._roster.epoch > asked.epoch
        is_same = asked.service == self._surroundings.service
        if is_newer and is_same:
            return messages.RosterReply(self._roster)
        return messages.RosterReply(None)

    async def async_learn(self, endpoint: str) -> None:
        """Ask another agent for its roster."""
        asked = messages.RosterAsk(
            self._surroundings.service,
            self._roster.epoch,
        )
        try:
            reply = await self._surroundings.ask(
                endpoint,
                asked,
                const.ASK_TIMEOUT_S,
            )
        except exceptions.KumquatportError:
            return
        if isinstance(reply, messages.RosterReply) and reply.found:
            self.offer(reply.found)

    @mode.Service.task
    async def _async_follow(self) -> None:
        while not self.should_stop:
            try:
                await self._async_look()
            except exceptions.KumquatportError as err:
                # The platform is away: the present roster goes on.
                _LOGGER.debug('roster not changed', code=err.code)
                self._back_off()
            await self.sleep(const.ROSTER_LOOK_S)

    def _back_off(self) -> None:
        """Wait longer after each failure, each service for itself.

        When a failure domain goes, thousands of services change their rosters;
        the claims go on with the replicas that are left meanwhile.
        """
        if self._delays is None:
            first_s = const.ROSTER_SETTLE_S
            self._delays = backoff.delays(first_s, const.ROSTER_BACKOFF_S)
        self._act_at = time.monotonic() + next(self._delays)

    async def _async_look(self) -> None:
        able = [
            record
            for record in self._surroundings.agents()
            if record.state in _ABLE_STATES
        ]
        now = time.monotonic()
        is_needed = self._local.is_suspended or bool(self._local.stuck)
        if is_needed or self._is_first(able) or self._is_witness():
            await self._async_lead(able, now)
            return
        others = [
            record
            for record in able
            if record.instance != self._local.own.instance
        ]
        if others and now - self._asked_at > const.ROSTER_ASK_S:
            self._asked_at = now
            peer = random.choice(others)
            await self.async_learn(f'{peer.address}:{peer.control_port}')

    def _is_first(self, able: abc.Sequence[members.InstanceRecord]) -> bool:
        if not able:
            return False
        first = min(record.instance for record in able)
        return first == self._local.own.instance

    def _is_witness(self) -> bool:
        """Tell whether this agent must lead where nobody knows all agents."""
        known = self._surroundings.agents()
        return len(known) >= const.WHOLE_VIEW_AGENTS and self.is_listed

    def _unknown(self) -> frozenset[roster.Replica]:
        """Return the replicas of which nothing is known here.

        An agent of a large service knows only some of the others, and one that
        has just started knows few; for anybody else what is unknown is gone.
        """
        known = len(self._surroundings.agents())
        view_s = time.monotonic() - self._started_at
        is_whole = known < const.WHOLE_VIEW_AGENTS
        if is_whole and view_s > const.ROSTER_VIEW_S:
            return frozenset()
        return frozenset(
            one
            for generations in self._roster.slots
            for one in generations[0].replicas
            if self._surroundings.record_of(one.instance) is None
        )

    async def _async_lead(
        self,
        able: abc.Sequence[members.InstanceRecord],
        now: float,
    ) -> None:
        if self._delays is not None and now < self._act_at:
            return
        is_due = now - self._confirmed_at > const.ROSTER_CONFIRM_S
        if self._local.is_suspended or is_due:
            await self._async_read()
            self._confirmed_at = now
            self._local.confirm()
        if self._propose(able, may_lose=True) is None:
            self._misfit_since = None
            return
        if self._misfit_since is None:
            self._misfit_since = now
            self._act_at = now + self._settle_s(able)
        if now >= self._act_at:
            may_lose = now - self._misfit_since >= const.LOST_SETTLE_S
            await self._async_change(able, may_lose=may_lose)
            self._delays = None

    def _settle_s(self, able: abc.Sequence[members.InstanceRecord]) -> float:
        """Return how long to wait before the roster is changed, in seconds.

        Replicas in a failure domain that operators have taken out still keep
        their claims, so there is time to spread the writes of all services.
        """
        alive = {_replica(record) for record in able}
        is_calm = bool(self._roster.slots) and all(
            alive.issuperset(generations[0].replicas)
            for generations in self._roster.slots
        )
        most_s = const.ROSTER_CALM_JITTER_S
        is_urgent = not is_calm and self._is_first(able)
        if is_urgent or len(alive) <= const.REPLICAS:
            most_s = const.ROSTER_JITTER_S
        return const.ROSTER_SETTLE_S + random.uniform(0, most_s)

    def _propose(
        self,
        able: abc.Sequence[members.InstanceRecord],
        *,
        may_lose: bool,
    ) -> roster.Roster | None:
        out = self._surroundings.out()
        eligible = [
            roster.Eligible(_replica(record), record.failure_domain)
            for record in able
            if record.failure_domain not in out
        ]
        return roster.propose(
            self._roster,
            self._surroundings.service,
            roster.Wanted(
                eligible,
                time.time(),
                may_lose,
                self._local.stuck,
                self._unknown(),
                frozenset(map(_replica, self._surroundings.agents())),
            ),
        )

    async def _async_read(self) -> int:
        key = const.ROSTER_PREFIX + self._surroundings.service
        try:
            stored = await self._surroundings.platform.async_get(key)
        except exceptions.ObjectMissingError:
            return 0
        self.offer(roster.decode(stored.value))
        return stored.version

    async def _async_change(
        self,
        able: abc.Sequence[members.InstanceRecord],
        *,
        may_lose: bool,
    ) -> None:
        version = await self._async_read()
        proposed = self._propose(able, may_lose=may_lose)
        if proposed is None:
            return
        key = const.ROSTER_PREFIX + self._surroundings.service
        await self._surroundings.platform.async_put(
            key,
            roster.encode(proposed),
            version,
        )
        self.offer(proposed)


def _replica(record: members.InstanceRecord) -> roster.Replica:
    return roster.Replica(
        record.instance,
        record.incarnation,
        f'{record.address}:{record.control_port}',
    )
