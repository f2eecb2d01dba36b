"""Tests of the stand-in for a backend server."""

import random
import unittest

from tests.emulator import backend_server, wire

FLOW = bytes(range(12))


class _Now:
    time = 100.0

    def __init__(self):
        self.rng = random.Random(1)

    def call_later(self, _delay_s, call):
        call()


class BackendServerTest(unittest.TestCase):
    """Identifiers, and flows of a backend server that drains."""

    def setUp(self):
        self.server = backend_server.BackendServer(
            _Now(), '127.0.0.50', 'store', 'a'
        )
        self.server.start()
        self.answers = []

    def test_identifier_of_an_earlier_incarnation(self):
        earlier = self.server.identifier
        self.server.crash()
        self.server.start()
        self.assertNotEqual(earlier, self.server.identifier)
        self.server.crash()
        self.server.start(earlier)
        self.assertEqual(earlier, self.server.identifier)

    def test_flow_is_closed_after_an_answer_while_draining(self):
        self.server.closes_when_draining = True
        self._request()
        self.assertFalse(self.answers[-1].is_fin)
        self.server.is_draining = True
        self._request()
        self.assertEqual(200, self.answers[-2].data.status)
        self.assertTrue(self.answers[-1].is_fin)

    def test_flow_stays_open_by_default(self):
        self.server.is_draining = True
        self._request()
        self.assertFalse(self.answers[-1].is_fin)

    def _request(self):
        self._send(wire.pack(FLOW, wire.SYN, 7))
        acknowledged = self.answers[0].sequence + 1 & 0xFFFFFFFF
        data = wire.Data(1, 0.03, 0, 100.0)
        self._send(wire.pack(FLOW, wire.ACK, 8, acknowledged, data))

    def _send(self, datagram):
        self.server.receive(
            datagram, lambda sent: self.answers.append(wire.parse(sent))
        )


if __name__ == '__main__':
    unittest.main()
