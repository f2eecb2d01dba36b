"""How often an agent of a large deployment tells the balancers."""

import collections
import unittest
from unittest import mock

from kumquatport.connection.packets import frame
from kumquatport.process.packets import (
    const,
    known_configuration,
    liveness,
    mesh,
    messages,
    peers,
)
from kumquatport.version import members
from tests.builders import packets as builders

DOMAINS = 5
ROUNDS = 210


class HeartbeatsTest(unittest.TestCase):
    """An agent without sockets, in rounds of its heartbeats."""

    def setUp(self):
        self.now = 100.0
        patch = mock.patch('kumquatport.helpers.clock.now', lambda: self.now)
        patch.start()
        self.addCleanup(patch.stop)
        self.sent = []
        settings = builders.settings(
            instance='side-1', address='10.9.0.1', failure_domain='accra-0'
        )
        self.mesh = mesh.Mesh(
            settings,
            members.KIND_AGENT,
            known_configuration.KnownConfiguration('side-1'),
        )
        self.mesh.connect(
            peers.Transport(self._send, lambda call: None, lambda *_: None)
        )

    def _send(self, datagram, endpoint):
        if datagram[0] == frame.KIND_HEARTBEAT:
            self.sent.append(
                (endpoint[0], messages.decode_short_heartbeat(datagram))
            )
        return True

    def hear(self, count):
        """Hear balancers, spread over the failure domains."""
        for number in range(count):
            record = builders.record(
                f'front-{number}',
                kind=members.KIND_BALANCER,
                service='',
                address=f'10.{number % DOMAINS}.1.{number}',
                failure_domain=f'accra-{number % DOMAINS}',
            )
            told = messages.ConfigurationState(0, 0, (), 0.0, '')
            heard = messages.Heartbeat(record, None, told, wants_reply=False)
            self.mesh.on_datagram(messages.encode(heard), (record.address, 1))

    def rounds(self, count):
        for tick in range(ROUNDS):
            # All are heard in time.
            self.hear(count)
            self.mesh.send_heartbeats(tick)
            self.now += self.mesh.round_s

    def periods(self):
        """Return the mean rounds between two heartbeats, near and far."""
        found = collections.defaultdict(list)
        counts = collections.Counter(address for address, _ in self.sent)
        for address, sent in counts.items():
            is_near = address.startswith('10.0.')
            found[is_near].append(ROUNDS / sent)
        return {near: sum(ends) / len(ends) for near, ends in found.items()}

    def test_a_small_deployment_hears_each_third_round_from_afar(self):
        self.rounds(10)
        self.assertEqual(
            round(self.periods()[False]), const.REMOTE_INTERVAL_ROUNDS
        )
        self.assertEqual(round(self.periods()[True]), 1)

    def test_many_balancers_far_away_hear_it_more_rarely(self):
        self.rounds(60)
        self.assertEqual(round(self.periods()[True]), 1)
        far = self.periods()[False]
        self.assertAlmostEqual(
            far, 60 / const.REMOTE_PEERS_PER_ROUND, delta=0.6
        )

    def test_who_hears_rarely_is_told_so(self):
        """The silence that makes an agent suspect is several periods."""
        self.rounds(60)
        far_s = self.mesh.round_s * (60 // const.REMOTE_PEERS_PER_ROUND)
        for address, beat in self.sent:
            expected_s = const.REMOTE_INTERVAL_ROUNDS * beat.round_s
            if address.startswith('10.0.'):
                self.assertAlmostEqual(beat.round_s, self.mesh.round_s, 3)
            else:
                self.assertAlmostEqual(expected_s, far_s, 2)

    def test_a_start_of_all_writes_a_bounded_number_of_lines(self):
        """Hundreds of peers are heard within a moment, twice."""
        with mock.patch.object(mesh, '_LOGGER') as changed:
            with mock.patch.object(liveness, '_LOGGER') as heard:
                made = mesh.Mesh(
                    builders.settings(instance='front-x', outbound=None),
                    members.KIND_BALANCER,
                    known_configuration.KnownConfiguration('front-x'),
                )
                self.mesh = made
                self.hear(500)
                lines = [*changed.info.mock_calls, *heard.info.mock_calls]
                self.assertLessEqual(len(lines), const.PEER_BURST_LINES)
                made.send_heartbeats(0)
        heard.warning.assert_called_once_with(
            'lines left out', count=2 * 500 - len(lines)
        )
