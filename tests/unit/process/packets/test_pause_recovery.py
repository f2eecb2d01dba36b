"""An agent whose machine stood still acts on nothing that may have run out."""

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


class PausesTest(unittest.TestCase):
    """An agent and a balancer whose messages a test delivers."""

    def setUp(self):
        self.now = 1000.0
        patch = mock.patch('kumquatport.helpers.clock.now', lambda: self.now)
        patch.start()
        self.addCleanup(patch.stop)
        self.to_balancer = []
        self.to_agent = []
        self.delivered = []
        self.held = known_configuration.KnownConfiguration('side-1')
        settings = builders.settings()
        self.mesh = mesh.Mesh(settings, members.KIND_AGENT, self.held)
        self.carrier = agent_datapath.AgentDatapath(
            settings,
            builders.CODEC,
            self.held,
            self.mesh,
            self.delivered.append,
        )
        self.mesh.on_draining_reported = (
            self.carrier.backend_server.note_reported_draining
        )
        self.balancer = balancers.make(self._keep_for_agent)
        self.held.update_routes(routes.encode(builders.table()), 'test')
        self.mesh.connect(
            peers.Transport(
                self._keep_for_balancer, lambda call: None, lambda *_: None
            )
        )
        self.mesh.greet([BALANCER])
        self.exchange()
        self.exchange()

    def _keep_for_agent(self, datagram, _endpoint):
        self.to_agent.append(datagram)
        return True

    def _keep_for_balancer(self, datagram, _endpoint):
        self.to_balancer.append(datagram)
        return True

    def exchange(self):
        """Deliver what is under way, to the balancer first."""
        for datagram in self.taken(self.to_balancer):
            self.balancer.mesh.on_datagram(datagram, (AGENT, 1))
        for datagram in self.taken(self.to_agent):
            self.mesh.on_datagram(datagram, (BALANCER, 1))

    def taken(self, kept):
        found = list(kept)
        kept.clear()
        return found

    def opens(self, port):
        """Forward an opening packet; tell whether it was delivered."""
        self.delivered.clear()
        # Its backend server goes on.
        self.carrier.backend_server.note_packet(b'')
        opening = builders.datagram(builders.flow(port), builders.SYN)
        self.carrier.on_frame(
            frame.pack(frame.KIND_FORWARD, 0, 1, opening), BALANCER
        )
        return bool(self.delivered)

    def turn(self, seconds):
        """Let time pass with the turns of a loop that runs."""
        for _ in range(round(seconds / const.PAUSE_CHECK_S)):
            self.now += const.PAUSE_CHECK_S
            self.mesh.pause_recovery.is_unconfirmed()
            self.balancer.mesh.pause_recovery.is_unconfirmed()

    def stand_still(self):
        """Let time pass for the balancer alone."""
        for _ in range(round(PAUSE_S / const.PAUSE_CHECK_S)):
            self.now += const.PAUSE_CHECK_S
            self.balancer.mesh.pause_recovery.is_unconfirmed()

    def test_it_opens_nothing_until_a_balancer_has_told_what_is_in_force(self):
        self.assertTrue(self.opens(40001))
        self.stand_still()
        self.assertFalse(self.opens(40002))
        self.exchange()
        self.assertTrue(self.opens(40003))

    def test_a_failure_domain_taken_out_meanwhile_stays_closed(self):
        self.stand_still()
        self.balancer.beliefs.update_domains(7, ['a'], 'test')
        self.assertFalse(self.opens(40001))
        self.exchange()
        self.assertEqual(self.held.domains_out, {'a'})
        self.assertFalse(self.opens(40002))

    def test_an_answer_from_before_the_pause_confirms_nothing(self):
        self.stand_still()
        self.assertFalse(self.opens(40001))
        for datagram in self.taken(self.to_balancer):
            self.balancer.mesh.on_datagram(datagram, (AGENT, 1))
        late = self.taken(self.to_agent)
        self.stand_still()
        for datagram in late:
            self.mesh.on_datagram(datagram, (BALANCER, 1))
        self.assertFalse(self.opens(40002))

    def test_it_waits_for_routes_that_are_newer(self):
        self.stand_still()
        self.balancer.beliefs.update_routes(
            routes.encode(builders.table(version=9)), 'test'
        )
        self.assertFalse(self.opens(40001))
        self.exchange()
        self.assertFalse(self.opens(40002))
        self.held.update_routes(
            routes.encode(builders.table(version=9)), 'front-1'
        )
        self.mesh.pause_recovery.request_confirmation()
        self.exchange()
        self.assertTrue(self.opens(40003))

    def test_a_balancer_that_stood_still_as_well_confirms_nothing(self):
        self.now += PAUSE_S
        self.assertFalse(self.opens(40001))
        self.exchange()
        self.assertFalse(self.opens(40002))

    def test_it_goes_on_when_nobody_answers(self):
        self.now += PAUSE_S
        self.assertFalse(self.opens(40001))
        self.turn(pause_detection.MAX_UNCONFIRMED_S)
        self.assertTrue(self.opens(40002))

    def test_a_loop_that_turns_is_never_in_doubt(self):
        self.turn(PAUSE_S)
        self.assertTrue(self.opens(40001))

    def test_a_former_version_refuses_only_what_it_does_not_know(self):
        self.assertEqual(
            messages.decode(messages.encode(messages.ConfirmationRequest(3))),
            messages.ConfirmationRequest(3),
        )
        kinds = [kind.__name__ for kind in messages._KINDS]
        self.assertEqual(kinds[:3], ['Heartbeat', 'Records', 'Digests'])
