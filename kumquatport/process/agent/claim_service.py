"""Claims of idempotency keys: the agent as replica and as claimant."""

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
    """Stores claims of the service and claims keys for local requests."""

    def __init__(
        self,
        service: str,
        member: membership.Membership,
        platform: typing.Any,
        count_event: abc.Callable[[str], None],
    ) -> None:
        """Build the replica, roster manager and coordinator; start nothing.

        Args:
            service: Name of the service of this agent.
            member: Membership of this agent: records, tables and control
                messages.
            platform: Client of the platform.
            count_event: Increments the counter of the given name.
        """
        super().__init__()
        own = member.announcer.own
        self._replica = replica.Replica(
            roster.ReplicaId(own.instance, own.incarnation, own.endpoint),
            member.async_ask,
            count_event,
        )
        self._roster_manager = roster_manager.RosterManager(
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
            self._roster_manager,
            self._replica,
            member.async_ask,
            count_event,
        )
        self._register_handlers(member.server)

    def on_init_dependencies(self) -> abc.Iterable[typing.Any]:
        """Return the services that start and stop with this one."""
        return (self._replica, self._roster_manager)

    async def async_claim(
        self,
        head: request_messages.RequestHead,
        deadline_at: float,
    ) -> claims.Verdict:
        """Claim the idempotency key of a request.

        Args:
            head: Head of the request.
            deadline_at: Deadline of the request, see
                ``Coordinator.async_claim``.
        """
        return await self._coordinator.async_claim(head, deadline_at)

    async def async_wait_caught_up(self, timeout: float) -> bool:
        """Wait until the roster is known and all handovers to here are done.

        Args:
            timeout: Maximum wait, in seconds.

        Returns:
            Whether this replica has caught up.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout
        while not self._roster_manager.is_caught_up and loop.time() < deadline:
            await asyncio.sleep(_POLL_INTERVAL_S)
        return self._roster_manager.is_caught_up

    async def async_leave(self) -> None:
        """Wait until other replicas have taken over the claims stored here.

        Without the platform no replica can take over, so the wait is bounded.
        This loses no claims: two more replicas of each hash slot have them.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + const.LEAVE_TIMEOUT_S
        grace_ends_at = loop.time()
        while self._roster_manager.has_successors and loop.time() < deadline:
            if self._is_handover_pending():
                grace_ends_at = loop.time() + const.LEAVE_GRACE_S
            if loop.time() >= grace_ends_at:
                return
            await asyncio.sleep(_POLL_INTERVAL_S)

    def _is_handover_pending(self) -> bool:
        """Return whether other replicas still need the claims stored here.

        A successor that has not taken them over keeps sending seal requests,
        even long after this agent was removed from the roster.
        """
        was_sealed_recently = (
            self._replica.since_sealed_s < 2 * const.HANDOVER_RETRY_DELAY_S
        )
        return self._roster_manager.is_listed or was_sealed_recently

    def _register_handlers(self, control_server: server.ControlServer) -> None:
        control_server.handle(messages.Claim, self._replica.async_claim)
        control_server.handle(messages.Settle, self._replica.async_settle)
        control_server.handle(messages.Seal, self._replica.async_seal)
        control_server.handle(
            messages.RosterAsk, self._roster_manager.async_handle_query
        )
