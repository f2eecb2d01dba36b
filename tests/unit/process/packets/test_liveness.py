"""Tests of the heartbeat rate of an agent in a large deployment."""

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
    """Heartbeat rounds of an agent without sockets."""

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
            peers.Transport(
                self._send, lambda call: None, lambda *_: None, lambda *_: None
            )
        )

    def _send(self, datagram, endpoint):
        if datagram[0] == frame.KIND_HEARTBEAT:
            self.sent.append(
                (endpoint[0], messages.decode_short_heartbeat(datagram))
            )
        return True

    def send_heartbeats_of_balancers(self, count):
        """Deliver heartbeats of balancers in several failure domains."""
        for number in range(count):
            record = builders.record(
                f'front-{number}',
                kind=members.KIND_BALANCER,
                service='',
                address=f'10.{number % DOMAINS}.{number // 250}.{number % 250}',
                failure_domain=f'accra-{number % DOMAINS}',
            )
            state = messages.ConfigurationState(0, 0, (), 0.0, '')
            heartbeat = messages.Heartbeat(
                record, None, state, wants_reply=False
            )
            self.mesh.on_datagram(
                messages.encode(heartbeat), (record.address, 1)
            )

    def run_rounds(self, count):
        for tick in range(ROUNDS):
            # No balancer becomes suspect.
            self.send_heartbeats_of_balancers(count)
            self.mesh.send_heartbeats(tick)
            self.now += self.mesh.round_s

    def mean_periods(self):
        """Return the mean rounds between heartbeats, by whether local."""
        periods = collections.defaultdict(list)
        counts = collections.Counter(address for address, _ in self.sent)
        for address, sent in counts.items():
            is_near = address.startswith('10.0.')
            periods[is_near].append(ROUNDS / sent)
        return {
            near: sum(values) / len(values) for near, values in periods.items()
        }

    def test_small_deployment_gets_each_third_remote_heartbeat(self):
        self.run_rounds(10)
        self.assertEqual(
            round(self.mean_periods()[False]), const.REMOTE_INTERVAL_ROUNDS
        )
        self.assertEqual(round(self.mean_periods()[True]), 1)

    def test_many_remote_balancers_get_fewer_heartbeats(self):
        self.run_rounds(60)
        self.assertEqual(round(self.mean_periods()[True]), 1)
        far = self.mean_periods()[False]
        self.assertAlmostEqual(
            far, 60 / const.REMOTE_PEERS_PER_ROUND, delta=0.6
        )

    def test_less_frequent_heartbeats_announce_a_longer_period(self):
        """Otherwise such balancers would suspect the agent too early."""
        self.run_rounds(60)
        far_s = self.mesh.round_s * (60 // const.REMOTE_PEERS_PER_ROUND)
        for address, beat in self.sent:
            expected_s = const.REMOTE_INTERVAL_ROUNDS * beat.round_s
            if address.startswith('10.0.'):
                self.assertAlmostEqual(beat.round_s, self.mesh.round_s, 3)
            else:
                self.assertAlmostEqual(expected_s, far_s, 2)

    def test_log_lines_are_limited_when_all_instances_start(self):
        """Heartbeats of hundreds of new peers arrive at once."""
        with mock.patch.object(mesh, '_LOGGER') as mesh_log:
            with mock.patch.object(liveness, '_LOGGER') as liveness_log:
                balancer = mesh.Mesh(
                    builders.settings(instance='front-x', outbound=None),
                    members.KIND_BALANCER,
                    known_configuration.KnownConfiguration('front-x'),
                )
                self.mesh = balancer
                self.send_heartbeats_of_balancers(500)
                lines = [
                    *mesh_log.info.mock_calls,
                    *liveness_log.info.mock_calls,
                ]
                self.assertLessEqual(len(lines), const.PEER_BURST_LINES)
                balancer.send_heartbeats(0)
        liveness_log.warning.assert_called_once_with(
            'lines left out', count=2 * 500 - len(lines)
        )
