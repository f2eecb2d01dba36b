"""The agent's part in the claims of idempotency keys."""

import asyncio
import typing
from collections import abc

import mode

from kumquatport.connection.control import server
from kumquatport.request import claims
from kumquatport.request import messages as request_messages
from kumquatport.request.idempotency import (
    const,
    coordinator,
    messages,
    replica,
    roster,
    roster_manager,
)
from kumquatport.version.replication import membership

_POLL_INTERVAL_S = 0.2


class ClaimService(mode.Service):
    """Keeps claims for the service, and claims keys for own requests."""

    def __init__(
        self,
        service: str,
        member: membership.Membership,
        platform: typing.Any,
        count_event: abc.Callable[[str], None],
    ) -> None:
        """Build the parts; nothing runs yet.

        Args:
            service: Service of this agent.
            member: Records, tables and control messages.
            platform: Client of the platform.
            count_event: Counts an event by name.
        """
        super().__init__()
        own = member.announcer.own
        self._replica = replica.Replica(
            roster.ReplicaId(own.instance, own.incarnation, own.endpoint),
            member.async_ask,
            count_event,
        )
        self._rosters = roster_manager.RosterManager(
            roster_manager.Dependencies(
                service=service,
                list_agents=lambda: member.registry.agents(service),
                find_record=member.registry.get,
                domains_out=lambda: member.tables.domains_out,
                platform=platform,
                call_peer=member.async_ask,
            ),
            self._replica,
        )
        self._coordinator = coordinator.Coordinator(
            service,
            self._rosters,
            self._replica,
            member.async_ask,
            count_event,
        )
        self._register_handlers(member.server)

    def on_init_dependencies(self) -> abc.Iterable[typing.Any]:
        """Return the services that run as long as this one."""
        return (self._replica, self._rosters)

    async def async_claim(
        self,
        head: request_messages.RequestHead,
        deadline_at: float,
    ) -> claims.Verdict:
        """Claim the key of a request; see ``Coordinator.async_claim``."""
        return await self._coordinator.async_claim(head, deadline_at)

    async def async_wait_caught_up(self, timeout: float) -> bool:
        """Wait until this process serves its share of the claims.

        Args:
            timeout: Longest wait in seconds.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout
        while not self._rosters.is_caught_up and loop.time() < deadline:
            await asyncio.sleep(_POLL_INTERVAL_S)
        return self._rosters.is_caught_up

    async def async_leave(self) -> None:
        """Wait until others keep the claims that this process has kept.

        With the platform away nobody can take over; the wait is bounded then,
        because two more replicas of each slot have the claims too.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + const.LEAVE_TIMEOUT_S
        stay_until = loop.time()
        while self._rosters.has_successors and loop.time() < deadline:
            if self._is_handover_pending():
                stay_until = loop.time() + const.LEAVE_GRACE_S
            if loop.time() >= stay_until:
                return
            await asyncio.sleep(_POLL_INTERVAL_S)

    def _is_handover_pending(self) -> bool:
        """Tell whether others still need the claims that are kept here.

        A successor that has not taken them over asks again and again, also
        long after the roster has stopped listing this agent.
        """
        is_asked = (
            self._replica.since_sealed_s < 2 * const.HANDOVER_RETRY_DELAY_S
        )
        return self._rosters.is_listed or is_asked

    def _register_handlers(self, control: server.ControlServer) -> None:
        control.handle(messages.Claim, self._replica.async_claim)
        control.handle(messages.Settle, self._replica.async_settle)
        control.handle(messages.Seal, self._replica.async_seal)
        control.handle(messages.RosterAsk, self._rosters.async_handle_query)
