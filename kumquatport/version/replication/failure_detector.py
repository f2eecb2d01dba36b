"""Judgement of instances that fell silent."""

import asyncio

import mode
import structlog

from kumquatport import exceptions
from kumquatport.helpers import clock
from kumquatport.version import members
from kumquatport.version.members import const as members_const
from kumquatport.version.replication import (
    const,
    heartbeat_leases,
    messages,
    peers,
    process_context,
    ranking,
)

_LOGGER = structlog.get_logger(__name__)


class FailureDetector(mode.Service):
    """Spreads the lapse of instances that nobody hears any more.

    An instance whose lease ran out is first asked itself, and the other
    observers are asked whether they heard of it. A balancer that nobody
    answers and that hears nobody takes itself for the one that is cut off,
    and judges nobody. Lapses of instances that it does hear it refuses.
    """

    def __init__(
        self,
        context: process_context.ProcessContext,
        leases: heartbeat_leases.HeartbeatLeases,
    ) -> None:
        """Set up; lapses are refused from now on.

        Args:
            context: Of this process.
            leases: Of the instances that report here.
        """
        super().__init__()
        self._context = context
        self._leases = leases
        self._suspects: set[str] = set()
        self._notifying: set[str] = set()
        self._ticked_at = clock.now()
        context.registry.set_lapse_veto(self._vetoes_lapse)

    async def on_start(self) -> None:
        """Begin to watch leases, in a balancer."""
        if self._context.is_balancer:
            self.add_future(self._async_watch_leases())
            self.add_future(self._async_scan_assignments())

    async def _async_watch_leases(self) -> None:
        while not self.should_stop:
            now = clock.now()
            if now - self._ticked_at > const.PAUSE_S:
                # It was this process that was away: wait a lease first.
                self._leases.restart_all()
            self._ticked_at = now
            for instance in self._next_suspects():
                self._suspects.add(instance)
                self.add_future(self._async_check_suspect(instance))
            await self.sleep(const.LEASE_CHECK_S)

    def _next_suspects(self) -> list[str]:
        room = const.MAX_SUSPECTS - len(self._suspects)
        due = [
            instance
            for instance in self._leases.expired()
            if instance not in self._suspects
        ]
        return due[: max(room, 0)]

    async def _async_check_suspect(self, instance: str) -> None:
        held = self._context.registry.get(instance)
        lease = self._leases.get(instance)
        try:
            if held is None or members.is_departed(held):
                self._leases.drop(instance)
            elif await self._async_is_alive(held):
                self._renew_or_drop_lease(instance)
            elif self._leases.get(instance) == lease:
                self._mark_lapsed(held)
        finally:
            self._suspects.discard(instance)

    def _renew_or_drop_lease(self, instance: str) -> None:
        """Give another lease to one that others hear; or leave it to them."""
        proper = peers.assigned_observers(
            instance,
            self._context.registry.balancers(),
        )
        names = [record.instance for record in proper[: const.OBSERVERS]]
        if self._context.instance in names:
            self._leases.grant(instance)
        else:
            self._leases.drop(instance)

    async def _async_is_alive(self, held: members.InstanceRecord) -> bool:
        """Ask the instance and its other observers; in doubt it is alive."""
        query = messages.LivenessQuery(held.instance, held.incarnation)
        others = [
            record.endpoint
            for record in self._balancers_to_ask(held.instance)
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
        return not answered and self._leases.are_others_silent(
            held.instance, asked_at
        )

    def _balancers_to_ask(self, instance: str) -> list[members.InstanceRecord]:
        known = self._context.other_balancers()
        picked = list(peers.assigned_observers(instance, known))
        picked += process_context.sample_records(
            known, const.LIVENESS_RANDOM_PEERS
        )
        return list(dict.fromkeys(picked))

    async def _async_query(
        self,
        endpoint: str,
        query: messages.LivenessQuery,
    ) -> bool | None:
        try:
            answer = await self._context.client.async_ask(
                endpoint,
                query,
                const.LIVENESS_TIMEOUT_S,
            )
        except exceptions.PeerUnavailableError:
            return None
        return bool(answer.heard)

    def _mark_lapsed(self, held: members.InstanceRecord) -> None:
        self._leases.drop(held.instance)
        lapsed = held._replace(state=members_const.STATE_LAPSED)
        if self._context.registry.merge(lapsed):
            _LOGGER.warning(
                'lease lapsed',
                instance=held.instance,
                incarnation=held.incarnation,
                sequence=held.sequence,
            )

    async def _async_scan_assignments(self) -> None:
        """Take up instances whose observers went with them."""
        while not self.should_stop:
            names = self._context.balancer_names()
            known = self._context.registry.all_records()
            for first in range(0, len(known), const.ASSIGNMENT_SCAN_RECORDS):
                self._observe_assigned(
                    known[first : first + const.ASSIGNMENT_SCAN_RECORDS], names
                )
                # A whole region takes long enough to hold up packets.
                await asyncio.sleep(0)
            await self.sleep(const.ASSIGNMENT_SCAN_S)

    def _observe_assigned(
        self,
        chunk: messages.Records,
        names: list[str],
    ) -> None:
        for record in chunk:
            if self._is_newly_assigned(record, names):
                self._leases.grant(record.instance)

    def _is_newly_assigned(
        self,
        record: members.InstanceRecord,
        names: list[str],
    ) -> bool:
        own = self._context.instance
        if record.instance in self._leases or record.instance == own:
            return False
        if members.is_departed(record):
            return False
        # Far below the highest scores there is no need to rank all names.
        likely = const.ASSIGNMENT_SCORE_MARGIN * const.OBSERVERS / len(names)
        if ranking.normalized_score(record.instance, own) < 1 - likely:
            return False
        others = [name for name in names if name != record.instance]
        ranked = ranking.rank(record.instance, others)
        return own in ranked[: const.OBSERVERS]

    def _vetoes_lapse(self, lapse: members.InstanceRecord) -> bool:
        """Refuse the lapse of an instance that reports here, and tell it."""
        if not self._leases.is_heard_recently(lapse.instance):
            return False
        if lapse.instance not in self._notifying and not self.should_stop:
            self._notifying.add(lapse.instance)
            self.add_future(self._async_notify(lapse))
        return True

    async def _async_notify(self, lapse: members.InstanceRecord) -> None:
        try:
            await self._context.client.async_ask(
                lapse.endpoint,
                messages.LapseNotice(lapse),
                const.LIVENESS_TIMEOUT_S,
            )
        except exceptions.PeerUnavailableError as error:
            _LOGGER.debug('accusation not answered', error=str(error))
        finally:
            self._notifying.discard(lapse.instance)
