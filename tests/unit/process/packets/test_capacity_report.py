"""Tests of capacity reports: encoding, age and other builds."""

import unittest
from unittest import mock

from kumquatport import exceptions
from kumquatport.process.packets import const, messages
from kumquatport.version import members
from tests.builders import former_builds, meshes
from tests.builders import packets as builders

ROOM = messages.CapacityReport((0.001, 0.02, 0.3, 4.0), 0.022, 0.65)
AGENT = '10.0.0.11'


class CapacityReportMessageTest(unittest.TestCase):
    """The capacity report follows the era of a heartbeat of the former size."""

    def setUp(self):
        self.plain = messages.ShortHeartbeat(
            1, 2, 3, 4, 5, 0.5, 0.25, builders.load()
        )

    def test_capacity_report_is_encoded_with_and_without_an_era(self):
        for era in (0, 7):
            for is_answer in (False, True):
                sent = self.plain._replace(
                    store_era=era, capacity=ROOM._replace(is_answer=is_answer)
                )
                encoded = messages.encode_short_heartbeat(sent)
                self.assertEqual(messages.decode_short_heartbeat(encoded), sent)

    def test_work_of_the_main_route(self):
        """It is encoded relative to the mean work, in steps of 9%."""
        for main_work_s in (0.005, 0.022, 0.5, 60.0):
            capacity = ROOM._replace(main_route=201, main_work_s=main_work_s)
            decoded = messages.decode_short_heartbeat(
                messages.encode_short_heartbeat(
                    self.plain._replace(capacity=capacity)
                )
            ).capacity
            self.assertEqual(decoded.main_route, 201)
            largest_s = 0.022 * 2 ** (63 / 8)
            self.assertAlmostEqual(
                decoded.main_work_s / min(main_work_s, largest_s), 1, delta=0.05
            )

    def test_out_of_range_values_are_limited(self):
        """A wait longer than 16 bits must not become a short one."""
        capacity = messages.CapacityReport(
            (1e9, -1.0, 0.0, 70.0), 0.0001, 100.0
        )
        encoded = messages.encode_short_heartbeat(
            self.plain._replace(capacity=capacity)
        )
        decoded = messages.decode_short_heartbeat(encoded).capacity
        self.assertEqual(
            decoded,
            messages.CapacityReport((65.535, 0, 0, 65.535), 0.001, 65.535),
        )

    def test_former_builds_read_the_heartbeat_and_send_none(self):
        """A rollout has agents and balancers of both builds."""
        encoded = messages.encode_short_heartbeat(
            self.plain._replace(capacity=ROOM)
        )
        without = messages.encode_short_heartbeat(self.plain)
        self.assertTrue(encoded.startswith(without))
        fields = former_builds.SHORT_HEARTBEAT.unpack_from(encoded, 1)
        self.assertEqual(fields[:5], self.plain[:5])
        # A former build takes the 8 bytes that follow for the era, 0 for none.
        self.assertEqual(encoded[len(without) :][:8], bytes(8))
        self.assertIsNone(messages.decode_short_heartbeat(without).capacity)

    def test_truncated_capacity_report_is_unknown(self):
        encoded = messages.encode_short_heartbeat(
            self.plain._replace(capacity=ROOM, store_era=7)
        )
        decoded = messages.decode_short_heartbeat(encoded[:-1])
        self.assertEqual(decoded, self.plain._replace(store_era=7))
        with self.assertRaises(exceptions.FramePayloadError):
            messages.decode_short_heartbeat(encoded[:40])

    def test_lower_priorities_share_the_last_wait(self):
        self.assertEqual(
            [ROOM.wait_s(priority) for priority in (0, 2, 3, 255)],
            [0.001, 0.3, 4.0, 4.0],
        )


class CapacityReportAgeTest(unittest.TestCase):
    """A balancer forgets the capacity of an agent that reports no more."""

    def setUp(self):
        self.now = 100.0
        clock = 'kumquatport.helpers.clock.now'
        self.enterContext(mock.patch(clock, lambda: self.now))
        self.network = meshes.Network()
        self.balancer = self.network.start(
            'front-1', '10.0.0.1', members.KIND_BALANCER
        )
        self.agent = self.start_agent()
        self.agent.capacity = lambda: ROOM
        self.network.run_round()

    def start_agent(self):
        return self.network.start('side-1', AGENT, members.KIND_AGENT)

    def test_capacity_report_is_unknown_after_three_periods(self):
        self.assertEqual(self.balancer.capacity_of('side-1'), ROOM)
        self.now += const.ROOM_PERIODS * const.HEARTBEAT_S - 0.01
        self.assertEqual(self.balancer.capacity_of('side-1'), ROOM)
        self.now += 0.02
        self.assertIsNone(self.balancer.capacity_of('side-1'))
        self.network.run_round()
        self.assertEqual(self.balancer.capacity_of('side-1'), ROOM)
        self.assertIsNone(self.balancer.capacity_of('side-2'))

    def test_agent_that_stops_reporting_has_no_capacity_report(self):
        """Its build may be an older one after a rollback."""
        self.agent.capacity = lambda: None
        self.network.run_round()
        self.assertIsNone(self.balancer.capacity_of('side-1'))

    def test_restarted_agent_has_no_capacity_report_until_it_sends_one(self):
        """The former process's queue is not the new one's."""
        with mock.patch(
            'kumquatport.helpers.clock.unix_ms', lambda: 4_000_000_000_000
        ):
            self.start_agent()
        self.assertIsNone(self.balancer.capacity_of('side-1'))

    def test_only_an_answer_to_an_offer_is_marked_as_one(self):
        self.assertFalse(self.balancer.capacity_of('side-1').is_answer)
        self.agent.send_load('10.0.0.1')
        self.network.deliver()
        self.assertTrue(self.balancer.capacity_of('side-1').is_answer)
