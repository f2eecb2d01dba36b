"""Tests of packets that arrive before a balancer knows routes and agents."""

import unittest
from unittest import mock

from kumquatport.connection.packets import frame, opening_wait
from kumquatport.process.packets import const, messages
from kumquatport.version import routes
from tests.builders import balancers
from tests.builders import packets as builders

AGENT = ('side-1', '10.0.0.11')


class QueuedPacketsTest(balancers.BalancerTestCase):
    """Start after a power loss: many packets, but no routes or agents yet."""

    def setUp(self):
        no_routes = mock.patch.object(
            balancers.known_configuration,
            'KnownConfiguration',
            _ClosedConfiguration,
        )
        with no_routes:
            super().setUp()
        self.queued_at = []
        self.forwarder.on_queued = lambda: self.queued_at.append(self.now)

    def client(self, port, *, copy=0, flags=builders.SYN):
        packet = builders.datagram(
            builders.flow(port), flags, acknowledged=copy
        )
        self.forwarder.on_client(packet, (builders.CLIENT, 9000))

    def learn_routes(self):
        self.configuration.is_closed = False
        self.configuration.update_routes(
            routes.encode(builders.table()), 'test'
        )

    def send_heartbeat(self):
        name, address = AGENT
        record = builders.record(name, address=address)
        state = messages.ConfigurationState(1, 0, (), 0.0, '')
        heartbeat = messages.Heartbeat(
            record, builders.load(), state, wants_reply=False
        )
        self.mesh.on_datagram(messages.encode(heartbeat), (address, 7000))

    def forwarded(self):
        return [
            frame.unpack(datagram).datagram
            for datagram, _ in self.sent
            if datagram[0] == frame.KIND_FORWARD
        ]

    def run_for(self, seconds):
        """Retry at the balancer's interval for some seconds."""
        for _ in range(round(seconds / const.QUEUE_RETRY_S)):
            self.now += const.QUEUE_RETRY_S
            self.forwarder.retry_queued()

    def test_packets_are_forwarded_once_routes_and_an_agent_are_known(self):
        for port in range(40000, 40020):
            self.client(port)
        self.assertTrue(self.queued_at)
        self.run_for(0.1)
        self.assertEqual(self.forwarded(), [])
        self.learn_routes()
        self.run_for(0.1)
        self.assertEqual(self.forwarded(), [])
        self.send_heartbeat()
        self.run_for(0.1)
        self.assertEqual(len(self.forwarded()), 20)
        self.assertFalse(self.forwarder.retry_queued())

    def test_retransmissions_are_forwarded_once(self):
        for copy in range(3):
            self.client(40000, copy=copy)
        self.learn_routes()
        self.send_heartbeat()
        self.run_for(0.1)
        self.assertEqual(len(self.forwarded()), 1)

    def test_queued_packet_without_a_route_is_reset(self):
        self.client(40000)
        flow = builders.flow(40001, ('198.18.0.9', 81))
        opening = builders.datagram(flow, builders.SYN)
        self.forwarder.on_client(opening, (builders.CLIENT, 9000))
        self.learn_routes()
        self.send_heartbeat()
        self.sent.clear()
        self.run_for(0.1)
        resets = [
            datagram
            for datagram, _ in self.sent
            if datagram[0] != frame.KIND_FORWARD
        ]
        self.assertEqual(len(self.forwarded()), 1)
        self.assertEqual(len(resets), 1)

    def test_last_retransmission_is_reset_when_no_agent_appears(self):
        self.learn_routes()
        self.client(40000, copy=opening_wait.LAST_RETRANSMISSION)
        self.sent.clear()
        self.run_for(opening_wait.STARTUP_LAST_RETRANSMISSION_S + 0.1)
        self.assertEqual(len(self.sent), 1)
        self.assertFalse(self.forwarder.retry_queued())


class _ClosedConfiguration(balancers.known_configuration.KnownConfiguration):
    """Configuration that rejects routes until a test allows them."""

    is_closed = True

    def update_routes(self, *args, **kwargs):
        """Apply routes if they are allowed."""
        if self.is_closed:
            return False
        return super().update_routes(*args, **kwargs)


if __name__ == '__main__':
    unittest.main()
