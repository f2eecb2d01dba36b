"""Tests of the agent's record in the store when its backend server exits."""

import asyncio
import types
import unittest
from unittest import mock

from kumquatport import exceptions
from kumquatport.helpers import clock
from kumquatport.process.packets import (
    agent,
    agent_datapath,
    balancer,
    const,
    http_services,
    metrics,
    models,
    udp_sockets,
)
from kumquatport.version.members import const as members_const
from tests.builders import memberships
from tests.builders import packets as builders

ADDRESS = '127.0.66.3'
BACKEND_SERVER = models.Endpoint(ADDRESS, 7424)
KEY = f'{const.KIND_INSTANCES}/b-side-1'
TIMEOUT_S = 5.0
GRACE_S = 3.0
# Shorter than the usual drain of either program.
SHORT_GRACE_S = 1.4
POLL_S = 0.01


def report(**fields):
    """Return a heartbeat of the backend server beside the agent."""
    return builders.report(endpoint=BACKEND_SERVER, **fields)


class Store(memberships.MemoryPlatform):
    """In-memory store without connections that can stop answering.

    Attributes:
        is_silent: Whether reads block.
        loses_answers: Whether deletes are done but fail.
    """

    is_silent = False
    loses_answers = False

    async def async_get(self, key):
        """Read an object, or block while the store is silent."""
        if self.is_silent:
            await asyncio.Event().wait()
        return await super().async_get(key)

    async def async_delete(self, key, expected):
        """Delete an object; the answer may be lost."""
        await super().async_delete(key, expected)
        if self.loses_answers:
            raise exceptions.PlatformUnavailableError('answer lost')

    async def async_setup(self):
        """Do nothing."""

    async def async_stop(self):
        """Do nothing."""


class AgentRecordTest(unittest.IsolatedAsyncioTestCase):
    """The record exists while a backend server may start or hold flows."""

    async def asyncSetUp(self):
        self.store = Store()
        settings = builders.settings(
            address=ADDRESS,
            ready=models.Endpoint(ADDRESS, 7421),
            heartbeats=models.Endpoint(ADDRESS, 7422),
            outbound=models.Endpoint(ADDRESS, 7423),
            backend_server=BACKEND_SERVER,
            is_first_start=True,
        )
        bounds = settings.bounds._replace(grace_s=GRACE_S)
        settings = settings._replace(bounds=bounds)
        self.agent = agent.Agent(settings, builders.CODEC, self._load)
        await self.agent.start()
        self.addAsyncCleanup(self.agent.stop)
        await self._async_until(lambda: KEY in self.store.objects)
        await asyncio.sleep(0)

    def _load(self):
        async def serve(_app, _endpoint):
            async def cleanup():
                """Do nothing."""

            return types.SimpleNamespace(cleanup=cleanup)

        def heartbeats(take, leave):
            self.report, self.leave = take, leave

        return http_services.HttpServices(
            self.store, lambda _: None, heartbeats, metrics.Metrics(), serve
        )

    async def _async_until(self, condition):
        async with asyncio.timeout(TIMEOUT_S):
            while not condition():
                await asyncio.sleep(POLL_S)

    async def test_record_is_deleted_when_the_backend_server_exits(self):
        """The record is deleted at the exit, not only when the agent stops.

        The host may lose power before the agent is stopped; a record that
        remained then delayed lookups of lost flows.
        """
        self.report(report())
        self.leave('i-1')
        await self._async_until(lambda: KEY not in self.store.objects)
        calls_before = self.store.call_count
        await self.agent.async_drain()
        self.assertEqual(self.store.call_count, calls_before)

    async def test_exit_notice_before_the_first_heartbeat_is_confirmed(self):
        """It may be a late one; only an absent backend server has exited."""
        presence = 'kumquatport.process.packets.presence.async_is_absent'
        with mock.patch(presence, mock.AsyncMock(return_value=False)):
            # The backend server has started after the agent.
            self.agent._datapath.backend_server.is_gone = False
            self.leave('i-1')
            await asyncio.sleep(
                agent_datapath.EXIT_CHECK_INTERVAL_S + 10 * POLL_S
            )
        self.assertIn(KEY, self.store.objects)
        with mock.patch(presence, mock.AsyncMock(return_value=True)):
            self.leave('i-1')
            await self._async_until(lambda: KEY not in self.store.objects)

    async def test_exit_notice_after_a_restart_of_the_agent(self):
        """FLOW: the backend server may serve on with its listener closed."""
        datapath = self.agent._datapath
        # The backend server has started before the agent.
        datapath.backend_server.is_gone = False
        datapath._knows_all_flows = False
        sockets = 'kumquatport.process.packets.udp_sockets.read_state'
        with mock.patch(sockets, return_value=None) as read_state:
            self.leave('i-1')
            await asyncio.sleep(3 * agent_datapath.EXIT_CHECK_INTERVAL_S)
            self.assertIn(KEY, self.store.objects)
            self.assertEqual(datapath.state, members_const.STATE_READY)
            self.assertFalse(datapath.load().knows_all_flows)
            read_state.return_value = udp_sockets.CLOSED
            await self._async_until(lambda: KEY not in self.store.objects)

    async def test_unheard_leave_is_not_acknowledged(self):
        """DRAIN: the rule counts from the acknowledgement."""
        self.assertTrue(self.report(report(born_ms=9000)))
        # The wall clock was set back before the backend server started again.
        leave = report(identifier='i-2', born_ms=7000, is_draining=True)
        server = self.agent._datapath.backend_server
        with mock.patch('kumquatport.helpers.clock.now') as now:
            now.return_value = server._last_report_at
            for sequence, is_heard in enumerate((False, False, False, True), 1):
                answer = self.report(leave._replace(sequence=sequence))
                self.assertEqual(
                    (answer, server.is_draining), (is_heard, is_heard)
                )
                # A late heartbeat of the former one delays the takeover.
                if sequence == 2:
                    now.return_value += 0.2
                    self.report(report(born_ms=9000, sequence=2))
                now.return_value += 1.0

    async def test_late_heartbeat_of_the_current_one_is_acknowledged(self):
        leave = report(sequence=3, born_ms=9000, is_draining=True)
        self.assertTrue(self.report(leave))
        late = report(sequence=2, born_ms=9000)
        self.assertTrue(self.report(late))
        self.assertTrue(self.agent._datapath.backend_server.is_draining)

    async def test_exit_notice_of_a_running_backend_server_ends_nothing(self):
        """FLOW: the notice may be a late one of an earlier start."""
        presence = 'kumquatport.process.packets.presence.async_is_absent'
        datapath = self.agent._datapath
        with mock.patch(presence, mock.AsyncMock(return_value=False)):
            self.report(report())
            self.leave('i-1')
            await asyncio.sleep(
                agent_datapath.EXIT_CHECK_INTERVAL_S + 10 * POLL_S
            )
            self.assertIn(KEY, self.store.objects)
            self.assertFalse(datapath.backend_server.is_gone)
        # It ends later.
        with mock.patch(presence, mock.AsyncMock(return_value=True)):
            await self._async_until(lambda: KEY not in self.store.objects)
        self.assertTrue(datapath.backend_server.is_gone)

    async def test_record_stays_while_a_leaving_backend_server_has_flows(self):
        """FLOW: without it, balancers reset the flows after a lookup.

        The stop of the agent does not show that its backend server has ended:
        agents are restarted on their own too.
        """
        datapath = self.agent._datapath
        self.report(report())
        datapath._flows.add_open(builders.flow(), clock.now())
        sockets = 'kumquatport.process.packets.udp_sockets.read_state'
        settings = self.agent._settings
        bounds = settings.bounds._replace(grace_s=SHORT_GRACE_S)
        self.agent.apply_settings(settings._replace(bounds=bounds))
        with mock.patch(sockets, return_value=None) as read_state:
            self.leave('i-1')
            await asyncio.sleep(3 * agent_datapath.EXIT_CHECK_INTERVAL_S)
            async with asyncio.timeout(SHORT_GRACE_S):
                await self.agent.async_drain()
            self.assertIn(KEY, self.store.objects)
            self.assertEqual(datapath.state, members_const.STATE_LEAVING)
            # It ends while the agent stops.
            read_state.return_value = udp_sockets.CLOSED
            async with asyncio.timeout(SHORT_GRACE_S):
                await self.agent.async_drain()
            self.assertNotIn(KEY, self.store.objects)
            self.assertEqual(datapath.state, members_const.STATE_GONE)

    async def test_record_is_deleted_when_the_last_flow_has_ended(self):
        datapath = self.agent._datapath
        self.report(report(born_ms=clock.unix_ms()))
        flow = builders.flow()
        datapath._flows.add_open(flow, clock.now())
        sockets = 'kumquatport.process.packets.udp_sockets.read_state'
        with mock.patch(sockets, return_value=None):
            self.leave('i-1')
            await asyncio.sleep(2 * agent_datapath.EXIT_CHECK_INTERVAL_S)
            self.assertIn(KEY, self.store.objects)
            datapath._flows.remove(flow)
            await self._async_until(lambda: KEY not in self.store.objects)

    async def test_record_is_restored_with_the_next_backend_server(self):
        self.report(report())
        self.leave('i-1')
        await self._async_until(lambda: KEY not in self.store.objects)
        self.store.down = True
        self.report(report(identifier='i-2'))
        await asyncio.sleep(0)
        self.store.down = False
        await self._async_until(lambda: KEY in self.store.objects)

    async def test_record_is_restored_after_a_delete_that_was_not_answered(
        self,
    ):
        """FLOW: a live agent missing in the store is not looked up."""
        self.report(report())
        self.store.loses_answers = True
        self.leave('i-1')
        await self._async_until(lambda: KEY not in self.store.objects)
        await asyncio.sleep(POLL_S)
        self.store.loses_answers = False
        self.report(report(identifier='i-2'))
        await self._async_until(lambda: KEY in self.store.objects)

    async def test_record_is_deleted_at_stop_after_an_outage_at_the_exit(self):
        self.report(report())
        self.store.down = True
        self.leave('i-1')
        await asyncio.sleep(POLL_S)
        self.store.down = False
        self.assertIn(KEY, self.store.objects)
        await self.agent.async_drain()
        self.assertNotIn(KEY, self.store.objects)

    async def test_drain_with_a_silent_store_ends_within_the_grace_period(self):
        self.report(report())
        self.store.is_silent = True
        self.leave('i-1')
        async with asyncio.timeout(GRACE_S):
            await self.agent.async_drain()
        self.assertIn(KEY, self.store.objects)

    async def test_drain_with_requests_in_progress_ends_within_a_short_grace(
        self,
    ):
        settings = self.agent._settings
        bounds = settings.bounds._replace(grace_s=SHORT_GRACE_S)
        self.agent.apply_settings(settings._replace(bounds=bounds))
        packages = 'kumquatport.process.packets'
        with (
            mock.patch(f'{packages}.agent_datapath.AgentDatapath.busy', 1),
            mock.patch(
                f'{packages}.presence.async_is_absent',
                mock.AsyncMock(return_value=False),
            ),
        ):
            self.report(report())
            async with asyncio.timeout(SHORT_GRACE_S):
                await self.agent.async_drain()


class BalancerDrainTest(unittest.IsolatedAsyncioTestCase):
    """A balancer stops before the platform kills it."""

    async def test_drain_of_a_balancer_ends_within_a_short_grace(self):
        settings = builders.settings(
            entry=models.Endpoint(ADDRESS, 7425), outbound=None
        )
        bounds = settings.bounds._replace(grace_s=SHORT_GRACE_S)
        leaving = balancer.Balancer(
            settings._replace(bounds=bounds), builders.CODEC, None, None
        )
        async with asyncio.timeout(SHORT_GRACE_S):
            await leaving.async_drain()


if __name__ == '__main__':
    unittest.main()
