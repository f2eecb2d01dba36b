"""Judgement of instances that fell silent."""

import asyncio

import mode
import structlog

from kumquatport import exceptions
from kumquatport.helpers import clock
from kumquatport.version import members
from kumquatport.version.members import const as members_const
from kumquatport.version.spread import (
    const,
    liveness,
    messages,
    order,
    peers,
    shared,
)

_LOGGER = structlog.get_logger(__name__)


class Judge(mode.Service):
    """Spreads the lapse of instances that nobody hears any more.

    An instance whose lease ran out is first asked itself, and the other
    observers are asked whether they heard of it. A balancer that nobody
    answers and that hears nobody takes itself for the one that is cut off,
    and judges nobody. Lapses of instances that it does hear it refuses.
    """

    def __init__(
        self,
        state: shared.Shared,
        leases: liveness.Liveness,
    ) -> None:
        """Set up; lapses are refused from now on.

        Args:
            state: Of this process.
            leases: Of the instances that report here.
        """
        super().__init__()
        self._state = state
        self._leases = leases
        self._suspects: set[str] = set()
        self._accused: set[str] = set()
        self._ticked_at = clock.now()
        state.registry.defend_with(self._defends)

    async def on_start(self) -> None:
        """Begin to watch leases, in a balancer."""
        if self._state.is_balancer:
            self.add_future(self._async_watch_leases())
            self.add_future(self._async_scan_duties())

    async def _async_watch_leases(self) -> None:
        while not self.should_stop:
            now = clock.now()
            if now - self._ticked_at > const.PAUSE_S:
                # It was this process that was away: wait a lease first.
                self._leases.grant_all()
            self._ticked_at = now
            for instance in self._suspicious():
                self._suspects.add(instance)
                self.add_future(self._async_judge(instance))
            await self.sleep(const.LEASE_TICK_S)

    def _suspicious(self) -> list[str]:
        room = const.MAX_SUSPICIONS - len(self._suspects)
        due = [
            instance
            for instance in self._leases.expired()
            if instance not in self._suspects
        ]
        return due[: max(room, 0)]

    async def _async_judge(self, instance: str) -> None:
        held = self._state.registry.get(instance)
        lease = self._leases.get(instance)
        try:
            if held is None or members.is_departed(held):
                self._leases.drop(instance)
            elif await self._async_is_alive(held):
                self._spare(instance)
            elif self._leases.get(instance) == lease:
                self._lapse(held)
        finally:
            self._suspects.discard(instance)

    def _spare(self, instance: str) -> None:
        """Give another lease to one that others hear; or leave it to them."""
        proper = peers.proper_observers(
            instance,
            self._state.registry.balancers(),
        )
        names = [record.instance for record in proper[: const.OBSERVERS]]
        if self._state.instance in names:
            self._leases.grant(instance)
        else:
            self._leases.drop(instance)

    async def _async_is_alive(self, held: members.InstanceRecord) -> bool:
        """Ask the instance and its other observers; in doubt it is alive."""
        query = messages.SeenQuery(held.instance, held.incarnation)
        others = [
            record.endpoint
            for record in self._jury(held.instance)
            if record.instance != held.instance
        ]
        asked_at = clock.now()
        verdicts = await asyncio.gather(
            self._async_query(held.endpoint, query),
            *(self._async_query(endpoint, query) for endpoint in others),
        )
        paused = clock.now() - asked_at > const.PAUSE_S
        if paused or any(verdicts):
            return True
        answered = any(verdict is not None for verdict in verdicts[1:])
        return not answered and self._leases.hears_nobody_but(
            held.instance, asked_at
        )

    def _jury(self, instance: str) -> list[members.InstanceRecord]:
        known = self._state.other_balancers()
        picked = list(peers.proper_observers(instance, known))
        picked += shared.sample(known, const.SEEN_RANDOM_PEERS)
        return list(dict.fromkeys(picked))

    async def _async_query(
        self,
        endpoint: str,
        query: messages.SeenQuery,
    ) -> bool | None:
        try:
            answer = await self._state.client.async_ask(
                endpoint,
                query,
                const.SEEN_TIMEOUT_S,
            )
        except exceptions.PeerUnavailableError:
            return None
        return bool(answer.heard)

    def _lapse(self, held: members.InstanceRecord) -> None:
        self._leases.drop(held.instance)
        lapsed = held._replace(state=members_const.STATE_LAPSED)
        if self._state.registry.merge(lapsed):
            _LOGGER.warning(
                'lease lapsed',
                instance=held.instance,
                incarnation=held.incarnation,
                sequence=held.sequence,
            )

    async def _async_scan_duties(self) -> None:
        """Take up instances whose observers went with them."""
        while not self.should_stop:
            names = self._state.balancer_names()
            known = self._state.registry.all_records()
            for first in range(0, len(known), const.DUTY_CHUNK):
                self._take_duties(
                    known[first : first + const.DUTY_CHUNK], names
                )
                # A whole region takes long enough to hold up packets.
                await asyncio.sleep(0)
            await self.sleep(const.DUTY_SCAN_S)

    def _take_duties(
        self,
        chunk: messages.Records,
        names: list[str],
    ) -> None:
        for record in chunk:
            if self._is_duty(record, names):
                self._leases.grant(record.instance)

    def _is_duty(
        self,
        record: members.InstanceRecord,
        names: list[str],
    ) -> bool:
        own = self._state.instance
        if record.instance in self._leases or record.instance == own:
            return False
        if members.is_departed(record):
            return False
        # Far below the highest scores there is no need to rank all names.
        likely = const.DUTY_MARGIN * const.OBSERVERS / len(names)
        if order.share(record.instance, own) < 1 - likely:
            return False
        others = [name for name in names if name != record.instance]
        ranked = order.ranked(record.instance, others)
        return own in ranked[: const.OBSERVERS]

    def _defends(self, lapse: members.InstanceRecord) -> bool:
        """Refuse the lapse of an instance that reports here, and tell it."""
        if not self._leases.is_heard(lapse.instance):
            return False
        if lapse.instance not in self._accused and not self.should_stop:
            self._accused.add(lapse.instance)
            self.add_future(self._async_accuse(lapse))
        return True

    async def _async_accuse(self, lapse: members.InstanceRecord) -> None:
        try:
            await self._state.client.async_ask(
                lapse.endpoint,
                messages.Accusation(lapse),
                const.SEEN_TIMEOUT_S,
            )
        except exceptions.PeerUnavailableError as error:
            _LOGGER.debug('accusation not answered', error=str(error))
        finally:
            self._accused.discard(lapse.instance)
