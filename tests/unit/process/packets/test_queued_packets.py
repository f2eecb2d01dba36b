"""The first moments of a balancer whose clients are there before it."""

import unittest
from unittest import mock

from kumquatport.connection.packets import frame, opening_wait
from kumquatport.process.packets import const, messages
from kumquatport.version import routes
from tests.builders import balancers
from tests.builders import packets as builders

AGENT = ('side-1', '10.0.0.11')


class WaitingPacketsTest(balancers.BalancerTestCase):
    """All machines had no power: no routes, no agents, many packets."""

    def setUp(self):
        no_routes = mock.patch.object(
            balancers.known_configuration, 'KnownConfiguration', _Empty
        )
        with no_routes:
            super().setUp()
        self.asked = []
        self.forwarder.on_queued = lambda: self.asked.append(self.now)

    def client(self, port, *, copy=0, flags=builders.SYN):
        packet = builders.datagram(
            builders.flow(port), flags, acknowledged=copy
        )
        self.forwarder.on_client(packet, (builders.CLIENT, 9000))

    def learn_routes(self):
        self.beliefs.is_closed = False
        self.beliefs.update_routes(routes.encode(builders.table()), 'test')

    def hear(self):
        name, address = AGENT
        record = builders.record(name, address=address)
        told = messages.ConfigurationState(1, 0, (), 0.0, '')
        beat = messages.Heartbeat(
            record, builders.load(), told, wants_reply=False
        )
        self.mesh.on_datagram(messages.encode(beat), (address, 7000))

    def forwarded(self):
        return [
            frame.unpack(datagram).datagram
            for datagram, _ in self.sent
            if datagram[0] == frame.KIND_FORWARD
        ]

    def turn(self, seconds):
        """Try again as the balancer does, for a while."""
        for _ in range(round(seconds / const.QUEUE_RETRY_S)):
            self.now += const.QUEUE_RETRY_S
            self.forwarder.retry_queued()

    def test_they_go_on_when_routes_and_an_agent_are_there(self):
        for port in range(40000, 40020):
            self.client(port)
        self.assertTrue(self.asked)
        self.turn(0.1)
        self.assertEqual(self.forwarded(), [])
        self.learn_routes()
        self.turn(0.1)
        self.assertEqual(self.forwarded(), [])
        self.hear()
        self.turn(0.1)
        self.assertEqual(len(self.forwarded()), 20)
        self.assertFalse(self.forwarder.retry_queued())

    def test_copies_of_one_packet_go_on_once(self):
        for copy in range(3):
            self.client(40000, copy=copy)
        self.learn_routes()
        self.hear()
        self.turn(0.1)
        self.assertEqual(len(self.forwarded()), 1)

    def test_a_packet_without_a_route_is_refused_then(self):
        self.client(40000)
        flow = builders.flow(40001, ('198.18.0.9', 81))
        opening = builders.datagram(flow, builders.SYN)
        self.forwarder.on_client(opening, (builders.CLIENT, 9000))
        self.learn_routes()
        self.hear()
        self.sent.clear()
        self.turn(0.1)
        resets = [one for one, _ in self.sent if one[0] != frame.KIND_FORWARD]
        self.assertEqual(len(self.forwarded()), 1)
        self.assertEqual(len(resets), 1)

    def test_the_last_copy_is_refused_when_no_agent_comes(self):
        self.learn_routes()
        self.client(40000, copy=opening_wait.LAST_RETRANSMISSION)
        self.sent.clear()
        self.turn(opening_wait.STARTUP_LAST_RETRANSMISSION_S + 0.1)
        self.assertEqual(len(self.sent), 1)
        self.assertFalse(self.forwarder.retry_queued())


class _Empty(balancers.known_configuration.KnownConfiguration):
    """Beliefs that take no routes before a test says so."""

    is_closed = True

    def update_routes(self, *args, **kwargs):
        """Take routes once they may be known."""
        if self.is_closed:
            return False
        return super().update_routes(*args, **kwargs)


if __name__ == '__main__':
    unittest.main()
