"""Tests of an agent that was paused and may hold outdated configuration."""

import unittest
from unittest import mock

from kumquatport.connection.packets import frame, pause_detection
from kumquatport.process.packets import (
    agent_datapath,
    const,
    known_configuration,
    mesh,
    messages,
    peers,
)
from kumquatport.version import members, routes
from tests.builders import balancers
from tests.builders import packets as builders

AGENT = '10.0.0.2'
BALANCER = '10.0.0.1'
PAUSE_S = 5.0


class PauseRecoveryTest(unittest.TestCase):
    """An agent and a balancer; the test delivers their messages."""

    def setUp(self):
        self.now = 1000.0
        patch = mock.patch('kumquatport.helpers.clock.now', lambda: self.now)
        patch.start()
        self.addCleanup(patch.stop)
        self.pending_for_balancer = []
        self.pending_for_agent = []
        self.delivered = []
        self.configuration = known_configuration.KnownConfiguration('side-1')
        settings = builders.settings()
        self.mesh = mesh.Mesh(settings, members.KIND_AGENT, self.configuration)
        self.datapath = agent_datapath.AgentDatapath(
            settings,
            builders.CODEC,
            self.configuration,
            self.mesh,
            self.delivered.append,
        )
        self.mesh.on_draining_reported = self.datapath.note_reported_draining
        self.balancer = balancers.make(self._keep_for_agent)
        self.configuration.update_routes(
            routes.encode(builders.table()), 'test'
        )
        self.mesh.connect(
            peers.Transport(
                self._keep_for_balancer,
                lambda call: None,
                lambda *_: None,
                lambda *_: None,
            )
        )
        self.mesh.greet([BALANCER])
        self.exchange()
        self.exchange()

    def _keep_for_agent(self, datagram, _endpoint):
        self.pending_for_agent.append(datagram)
        return True

    def _keep_for_balancer(self, datagram, _endpoint):
        self.pending_for_balancer.append(datagram)
        return True

    def exchange(self):
        """Deliver the pending messages, to the balancer first."""
        for datagram in self.take_pending(self.pending_for_balancer):
            self.balancer.mesh.on_datagram(datagram, (AGENT, 1))
        for datagram in self.take_pending(self.pending_for_agent):
            self.mesh.on_datagram(datagram, (BALANCER, 1))

    def take_pending(self, pending):
        datagrams = list(pending)
        pending.clear()
        return datagrams

    def opens(self, port):
        """Forward an opening packet and return whether it was delivered."""
        self.delivered.clear()
        # Its backend server is not paused.
        self.datapath.backend_server.note_packet(b'')
        opening = builders.datagram(builders.flow(port), builders.SYN)
        self.datapath.on_frame(
            frame.pack(frame.KIND_FORWARD, 0, 1, opening), BALANCER
        )
        return bool(self.delivered)

    def run_for(self, seconds):
        """Let time pass while both event loops run."""
        for _ in range(round(seconds / const.PAUSE_CHECK_S)):
            self.now += const.PAUSE_CHECK_S
            self.mesh.pause_recovery.is_unconfirmed()
            self.balancer.mesh.pause_recovery.is_unconfirmed()

    def pause_agent(self):
        """Let time pass while only the balancer runs."""
        for _ in range(round(PAUSE_S / const.PAUSE_CHECK_S)):
            self.now += const.PAUSE_CHECK_S
            self.balancer.mesh.pause_recovery.is_unconfirmed()

    def test_agent_opens_no_flow_until_a_balancer_confirms(self):
        self.assertTrue(self.opens(40001))
        self.pause_agent()
        self.assertFalse(self.opens(40002))
        self.exchange()
        self.assertTrue(self.opens(40003))

    def test_failure_domain_taken_out_during_the_pause_stays_closed(self):
        self.pause_agent()
        self.balancer.configuration.update_domains(7, ['a'], 'test')
        self.assertFalse(self.opens(40001))
        self.exchange()
        self.assertEqual(self.configuration.domains_out, {'a'})
        self.assertFalse(self.opens(40002))

    def test_an_answer_from_before_the_pause_confirms_nothing(self):
        self.pause_agent()
        self.assertFalse(self.opens(40001))
        for datagram in self.take_pending(self.pending_for_balancer):
            self.balancer.mesh.on_datagram(datagram, (AGENT, 1))
        late = self.take_pending(self.pending_for_agent)
        self.pause_agent()
        for datagram in late:
            self.mesh.on_datagram(datagram, (BALANCER, 1))
        self.assertFalse(self.opens(40002))

    def test_agent_waits_for_newer_routes(self):
        self.pause_agent()
        self.balancer.configuration.update_routes(
            routes.encode(builders.table(version=9)), 'test'
        )
        self.assertFalse(self.opens(40001))
        self.exchange()
        self.assertFalse(self.opens(40002))
        self.configuration.update_routes(
            routes.encode(builders.table(version=9)), 'front-1'
        )
        self.mesh.pause_recovery.request_confirmation()
        self.exchange()
        self.assertTrue(self.opens(40003))

    def test_paused_balancer_confirms_nothing(self):
        self.now += PAUSE_S
        self.assertFalse(self.opens(40001))
        self.exchange()
        self.assertFalse(self.opens(40002))

    def test_agent_continues_when_no_balancer_answers(self):
        self.now += PAUSE_S
        self.assertFalse(self.opens(40001))
        self.run_for(pause_detection.MAX_UNCONFIRMED_S)
        self.assertTrue(self.opens(40002))

    def test_running_event_loop_is_never_unconfirmed(self):
        self.run_for(PAUSE_S)
        self.assertTrue(self.opens(40001))

    def test_new_message_kinds_are_appended(self):
        self.assertEqual(
            messages.decode(messages.encode(messages.ConfirmationRequest(3))),
            messages.ConfirmationRequest(3),
        )
        kinds = [kind.__name__ for kind in messages._KINDS]
        self.assertEqual(kinds[:3], ['Heartbeat', 'Records', 'Digests'])
