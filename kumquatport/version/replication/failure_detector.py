"""Detects instances that stopped sending heartbeats."""

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
    """Marks instances as lapsed when no balancer receives their heartbeats.

    When a heartbeat lease expires, the detector queries the instance itself
    and its other observers first. A balancer that gets no answer from any peer
    and receives no heartbeats assumes that it is partitioned itself and marks
    no instance. It also rejects lapsed records of instances whose heartbeats
    it still receives.
    """

    def __init__(
        self,
        context: process_context.ProcessContext,
        leases: heartbeat_leases.HeartbeatLeases,
    ) -> None:
        """Initialize the detector and install its lapse veto in the registry.

        Args:
            context: Context of this process.
            leases: Leases of the instances that send heartbeats here.
        """
        super().__init__()
        self._context = context
        self._leases = leases
        self._suspects: set[str] = set()
        self._notifying: set[str] = set()
        self._last_check_at = clock.now()
        context.registry.set_lapse_veto(self._vetoes_lapse)

    async def on_start(self) -> None:
        """Start to check leases if this process is a balancer."""
        if self._context.is_balancer:
            self.add_future(self._async_watch_leases())
            self.add_future(self._async_scan_assignments())

    async def _async_watch_leases(self) -> None:
        while not self.should_stop:
            now = clock.now()
            if now - self._last_check_at > const.SUSPENSION_THRESHOLD_S:
                # This process was suspended, so missing heartbeats prove
                # nothing: wait for another full lease first.
                self._leases.restart_all()
            self._last_check_at = now
            for instance in self._next_suspects():
                self._suspects.add(instance)
                self.add_future(self._async_check_suspect(instance))
            await self.sleep(const.LEASE_CHECK_S)

    def _next_suspects(self) -> list[str]:
        free_slots = const.MAX_SUSPECTS - len(self._suspects)
        candidates = [
            instance
            for instance in self._leases.expired()
            if instance not in self._suspects
        ]
        return candidates[: max(free_slots, 0)]

    async def _async_check_suspect(self, instance: str) -> None:
        suspect = self._context.registry.get(instance)
        lease = self._leases.get(instance)
        try:
            if suspect is None or members.is_departed(suspect):
                self._leases.drop(instance)
            elif await self._async_is_alive(suspect):
                self._renew_or_drop_lease(instance)
            elif self._leases.get(instance) == lease:
                self._mark_lapsed(suspect)
        finally:
            self._suspects.discard(instance)

    def _renew_or_drop_lease(self, instance: str) -> None:
        """Renew the lease of a live instance, or leave it to its observers.

        The lease is dropped if this balancer is not one of the observers that
        the ranking assigns to the instance.
        """
        assigned = peers.assigned_observers(
            instance,
            self._context.registry.balancers(),
        )
        names = [record.instance for record in assigned[: const.OBSERVERS]]
        if self._context.instance in names:
            self._leases.grant(instance)
        else:
            self._leases.drop(instance)

    async def _async_is_alive(self, suspect: members.InstanceRecord) -> bool:
        """Query the instance and its other observers.

        The instance counts as alive if any of them confirms it, if this
        process was suspended meanwhile, or if this balancer seems to be
        partitioned from all others.
        """
        query = messages.LivenessQuery(suspect.instance, suspect.incarnation)
        endpoints = [
            record.endpoint
            for record in self._balancers_to_ask(suspect.instance)
            if record.instance != suspect.instance
        ]
        asked_at = clock.now()
        answers = await asyncio.gather(
            self._async_query(suspect.endpoint, query),
            *(self._async_query(endpoint, query) for endpoint in endpoints),
        )
        was_suspended = clock.now() - asked_at > const.SUSPENSION_THRESHOLD_S
        if was_suspended or any(answers):
            return True
        any_peer_answered = any(verdict is not None for verdict in answers[1:])
        return not any_peer_answered and self._leases.are_others_silent(
            suspect.instance, asked_at
        )

    def _balancers_to_ask(self, instance: str) -> list[members.InstanceRecord]:
        known = self._context.other_balancers()
        chosen = list(peers.assigned_observers(instance, known))
        chosen += process_context.sample_records(
            known, const.LIVENESS_RANDOM_PEERS
        )
        return list(dict.fromkeys(chosen))

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
        return bool(answer.is_alive)

    def _mark_lapsed(self, suspect: members.InstanceRecord) -> None:
        self._leases.drop(suspect.instance)
        lapsed = suspect._replace(state=members_const.STATE_LAPSED)
        if self._context.registry.merge(lapsed):
            _LOGGER.warning(
                'lease lapsed',
                instance=suspect.instance,
                incarnation=suspect.incarnation,
                sequence=suspect.sequence,
            )

    async def _async_scan_assignments(self) -> None:
        """Observe instances whose observers failed together with them.

        Nobody else would notice that such an instance is gone.
        """
        while not self.should_stop:
            names = self._context.balancer_names()
            records = self._context.registry.all_records()
            for start in range(0, len(records), const.ASSIGNMENT_SCAN_RECORDS):
                self._observe_assigned(
                    records[start : start + const.ASSIGNMENT_SCAN_RECORDS],
                    names,
                )
                # Scanning a whole region at once would block the event loop
                # long enough to delay packets.
                await asyncio.sleep(0)
            await self.sleep(const.ASSIGNMENT_SCAN_S)

    def _observe_assigned(
        self,
        records: messages.Records,
        names: list[str],
    ) -> None:
        for record in records:
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
        # Ranking all names is expensive: skip records for which the score of
        # this instance is too low to be among the observers.
        top_fraction = (
            const.ASSIGNMENT_SCORE_MARGIN * const.OBSERVERS / len(names)
        )
        if ranking.normalized_score(record.instance, own) < 1 - top_fraction:
            return False
        others = [name for name in names if name != record.instance]
        ranked = ranking.rank(record.instance, others)
        return own in ranked[: const.OBSERVERS]

    def _vetoes_lapse(self, lapse: members.InstanceRecord) -> bool:
        """Reject the lapse of an instance heard recently, and notify it."""
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
            _LOGGER.debug('lapse notice not answered', error=str(error))
        finally:
            self._notifying.discard(lapse.instance)
