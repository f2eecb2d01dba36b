"""Leases of the instances that report to this balancer."""

import asyncio
import typing

import mode
import structlog

from kumquatport import exceptions
from kumquatport.connection.control import server
from kumquatport.helpers import clock
from kumquatport.version import members
from kumquatport.version.members import const as members_const
from kumquatport.version.spread import (
    const,
    documents,
    messages,
    order,
    peers,
    shared,
    syncs,
)

_LOGGER = structlog.get_logger(__name__)


class _Lease(typing.NamedTuple):
    """Since when an instance's lease runs, and when it was last heard.

    The two differ when the lease was granted without hearing the instance.
    """

    since: float
    heard_at: float


class Observer(mode.Service):
    """Answers heartbeats and judges instances that fell silent.

    An instance whose lease ran out is first asked itself, and the other
    observers are asked whether they heard of it; only then is its lapse
    spread. An observer that nobody answers takes itself for the one that is
    cut off, and judges nobody.
    """

    def __init__(
        self,
        state: shared.Shared,
        control: server.ControlServer,
        fetcher: documents.Documents,
    ) -> None:
        """Answer heartbeats and queries.

        Args:
            state: Of this process.
            control: Where the handlers are added.
            fetcher: Fetches newer documents.
        """
        super().__init__()
        self._state = state
        self._documents = fetcher
        self._leases: dict[str, _Lease] = {}
        self._suspects: set[str] = set()
        self._ticked_at = clock.now()
        self._accused: set[str] = set()
        self._syncs = syncs.Syncs(state.registry)
        control.handle(messages.SeenQuery, self._async_on_query)
        control.handle(messages.Accusation, self._async_on_accusation)
        state.registry.defend_with(self._defends)
        if state.is_balancer:
            control.handle(messages.Heartbeat, self._async_on_heartbeat)

    @property
    def observed(self) -> int:
        """Return how many instances this one keeps a lease of."""
        return len(self._leases)

    async def on_start(self) -> None:
        """Begin to watch leases, in a balancer."""
        if self._state.is_balancer:
            self.add_future(self._async_watch_leases())
            self.add_future(self._async_scan_duties())

    async def _async_on_heartbeat(
        self,
        message: messages.Heartbeat,
    ) -> messages.HeartbeatAnswer:
        registry = self._state.registry
        if message.record is not None:
            self._check_region(message.record)
            registry.merge(message.record)
        held = registry.get(message.instance)
        if held is not None:
            self._hear(message, held)
        return messages.HeartbeatAnswer(
            version=self._state.current.version,
            fresh=self._state.freshness.is_fresh(),
            held=held if held and _differs(held, message) else None,
            known=held is not None and not _is_behind(held, message),
            agents=self._agents(message, held),
            balancers=self._balancers(message),
            platform_age=self._state.contact.age,
        )

    async def _async_on_query(
        self,
        message: messages.SeenQuery,
    ) -> messages.SeenAnswer:
        if message.instance == self._state.instance:
            own = self._state.registry.get(message.instance)
            alive = own is None or own.incarnation <= message.incarnation
            return messages.SeenAnswer(alive)
        lease = self._leases.get(message.instance)
        held = self._state.registry.get(message.instance)
        if lease is None or held is None or members.is_departed(held):
            return messages.SeenAnswer(False)
        return messages.SeenAnswer(
            clock.now() - lease.heard_at < const.LEASE_S,
        )

    async def _async_on_accusation(
        self,
        message: messages.Accusation,
    ) -> messages.SeenAnswer:
        """Refute: the announcer goes above any lapse of its own record."""
        own = message.lapse.instance == self._state.instance
        if own:
            self._state.registry.merge(message.lapse)
        return messages.SeenAnswer(own)

    def _defends(self, lapse: members.InstanceRecord) -> bool:
        """Refuse the lapse of an instance that reports here, and tell it."""
        lease = self._leases.get(lapse.instance)
        if lease is None or clock.now() - lease.heard_at > const.LEASE_S:
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

    def _check_region(self, record: members.InstanceRecord) -> None:
        if record.region != self._state.region:
            raise exceptions.RegionMismatchError(
                f'{record.instance} is of region {record.region}',
            )

    def _hear(
        self,
        message: messages.Heartbeat,
        held: members.InstanceRecord,
    ) -> None:
        if members.is_departed(held):
            self._leases.pop(message.instance, None)
            self._syncs.forget(message.instance)
            return
        if message.incarnation >= held.incarnation:
            now = clock.now()
            self._leases[message.instance] = _Lease(now, now)
        if self._documents.wants(message.version):
            self._documents.fetch_soon(held.endpoint)

    def _agents(
        self,
        message: messages.Heartbeat,
        held: members.InstanceRecord | None,
    ) -> messages.Records:
        if held is None or not held.service:
            return ()
        return self._syncs.records_for(held, message.digest)

    def _balancers(self, message: messages.Heartbeat) -> messages.Records:
        if not message.wants_peers:
            return ()
        return peers.proper_observers(
            message.instance,
            self._state.registry.balancers(),
        )

    async def _async_watch_leases(self) -> None:
        while not self.should_stop:
            now = clock.now()
            if now - self._ticked_at > const.PAUSE_S:
                # It was this process that was away: wait a lease first.
                for instance in self._leases:
                    self._grant(instance)
            self._ticked_at = now
            for instance in self._expired(now):
                self._suspects.add(instance)
                self.add_future(self._async_judge(instance))
            await self.sleep(const.LEASE_TICK_S)

    def _expired(self, now: float) -> list[str]:
        limit = now - const.LEASE_S
        room = const.MAX_SUSPICIONS - len(self._suspects)
        due = [
            instance
            for instance, lease in self._leases.items()
            if lease.since < limit and instance not in self._suspects
        ]
        return due[: max(room, 0)]

    def _grant(self, instance: str) -> None:
        """Start a lease of an instance that was not heard just now."""
        before = self._leases.get(instance)
        heard_at = before.heard_at if before else 0
        self._leases[instance] = _Lease(clock.now(), heard_at)

    async def _async_judge(self, instance: str) -> None:
        held = self._state.registry.get(instance)
        lease = self._leases.get(instance)
        try:
            if held is None or members.is_departed(held):
                self._leases.pop(instance, None)
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
            self._grant(instance)
        else:
            self._leases.pop(instance, None)

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
        return not answered and self._is_cut_off(held.instance, asked_at)

    def _is_cut_off(self, suspect: str, asked_at: float) -> bool:
        """Tell whether this process hears nobody any more."""
        others = [
            lease.heard_at
            for instance, lease in self._leases.items()
            if instance != suspect
        ]
        return bool(others) and max(others) < asked_at - const.AUDIBLE_S

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
        self._leases.pop(held.instance, None)
        self._syncs.forget(held.instance)
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
                self._grant(record.instance)

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


def _differs(
    held: members.InstanceRecord,
    message: messages.Heartbeat,
) -> bool:
    same = (held.incarnation, held.sequence) == (
        message.incarnation,
        message.sequence,
    )
    return (not same or members.is_departed(held)) and not _is_behind(
        held, message
    )


def _is_behind(
    held: members.InstanceRecord,
    message: messages.Heartbeat,
) -> bool:
    return (held.incarnation, held.sequence) < (
        message.incarnation,
        message.sequence,
    )
