"""Placement by expected wait, alone and in replays of whole deployments."""

import math
import random
import unittest

from kumquatport.connection.packets import placement, round_trips
from tests.builders import replays


def _candidate(name, **fields):
    expectation = placement.Expectation(
        wait_s=fields.pop('wait_s', 0.0),
        age_s=fields.pop('age_s', 0.0),
        work_s=fields.pop('work_s', 0.022),
        committed=fields.pop('committed', 0.0),
        placed=fields.pop('placed', 0),
        round_trip_s=fields.pop('round_trip_s', 0.0),
    )
    candidate = placement.Candidate(
        instance=name,
        slots=1,
        busy=0,
        flows=0,
        placed=expectation.placed,
        is_cross_domain=False,
        is_suspect=False,
        expectation=expectation,
    )
    return candidate._replace(**fields)


def _choose(*candidates):
    return placement.choose(candidates, 1.0, replays.OBJECTIVE_S).instance


class ExpectedWaitTest(unittest.TestCase):
    """What decides between two agents."""

    def test_preferences(self):
        cases = (
            ({'wait_s': 0.04}, {'wait_s': 0.02}),
            ({'work_s': 0.08}, {'wait_s': 0.02}),
            ({'placed': 2}, {'wait_s': 0.022, 'placed': 0}),
            # An old report says little; the open flows say more.
            ({'age_s': 0.9, 'committed': 0.9}, {'age_s': 0.9, 'wait_s': 0.2}),
            ({'is_cross_domain': True, 'round_trip_s': 0.01}, {'wait_s': 0.01}),
            ({'wait_s': 0.1}, {'is_cross_domain': True, 'round_trip_s': 0.01}),
            # The round trip of a failure domain may be unknown yet.
            ({'is_cross_domain': True, 'round_trip_s': None}, {}),
            ({'is_avoided': True}, {'wait_s': 0.05}),
            ({'wait_s': 0.1}, {'is_avoided': True}),
            # An avoided agent gets too few requests to be measured.
            ({'is_avoided': True, 'expectation': None}, {'wait_s': 9}),
            # Costs are at least as strong as by ``score``.
            ({'penalty': placement.COLD_COST}, {'wait_s': 0.02}),
            ({'penalty': placement.FAILING_COST}, {'wait_s': 0.2}),
            ({'penalty': placement.FAILING_COST}, {'work_s': 0.1}),
            ({'is_suspect': True}, {'wait_s': 60, 'expectation': None}),
        )
        for worse, better in cases:
            with self.subTest(worse=worse, better=better):
                pair = [_candidate('w', **worse), _candidate('b', **better)]
                self.assertEqual(_choose(*pair), 'b')
                self.assertEqual(_choose(*reversed(pair)), 'b')

    def test_missing_report_leaves_the_former_score(self):
        """Agents of an older build report no capacity report."""
        busy = _candidate('busy', wait_s=0.0, busy=4)
        unknown = _candidate('unknown', busy=1, expectation=None)
        self.assertEqual(_choose(busy, unknown), 'unknown')
        self.assertEqual(_choose(unknown._replace(busy=9), busy), 'busy')
        idle = _candidate('idle', wait_s=0.5)
        chosen = placement.choose([busy, idle], 1.0, None)
        self.assertEqual(chosen.instance, 'idle')

    def test_silent_agent_does_not_hide_the_reports_of_others(self):
        silent = _candidate('silent', is_suspect=True, expectation=None)
        slow = _candidate('slow', wait_s=0.5)
        busy = _candidate('busy', busy=9)
        self.assertEqual(_choose(silent, slow, busy), 'busy')
        self.assertEqual(_choose(silent), 'silent')

    def test_standing_wait_grows_with_use_and_falls_with_slots(self):
        waits = [
            placement.standing_wait_s(use / 10, 0.02, 1) for use in range(30)
        ]
        self.assertEqual(waits, sorted(waits))
        self.assertAlmostEqual(waits[5], 0.02)
        self.assertLess(placement.standing_wait_s(0.5, 0.02, 4), waits[5] / 4)


class RoundTripsTest(unittest.TestCase):
    """The round trip to a failure domain."""

    def test_minimum_of_the_recent_ones(self):
        """An answer that waited for a processor is not the round trip."""
        measured = round_trips.RoundTrips()
        self.assertIsNone(measured.minimum_s('b', 0.0))
        for now, seconds in ((1, 0.03), (2, 0.01), (3, 0.09), (4, 0.02)):
            measured.record('b', seconds, now)
        self.assertEqual(measured.minimum_s('b', 5), 0.01)
        self.assertEqual(measured.minimum_s('b', 12.5), 0.02)
        self.assertIsNone(measured.minimum_s('b', 14.5))
        self.assertIsNone(measured.minimum_s('a', 5))


def _value(prepare, seconds=12, load=1.0, since=4.0, **fields):
    """Return what callers get without and with placement by reports."""
    means = []
    for uses_reports in (False, True):
        total = 0.0
        for seed in range(2):
            replay = replays.Replay(seed, uses_reports=uses_reports, **fields)
            prepare(replay)
            replay.run(seconds, load)
            total += replay.value(since)
        means.append(total / 2)
    return tuple(means)


def _slow_third(replay):
    for server in replay.servers[:12]:
        server.factor = 3.0


def _all_slow(replay):
    for server in replay.servers:
        server.factor = 1.6


def _failing_sixth(replay):
    for server in replay.servers[:6]:
        server.lost_share = 0.4


def _flapping_sixth(replay):
    def change(now):
        for server in replay.servers[:6]:
            server.factor = 6.0 - server.factor
        replay.at(now + 2.5, change)

    replay.at(2.0, change)


def _moving_wave(replay):
    replay.share_of_domain = lambda domain, now: (
        1 + 0.5 * math.sin(2 * math.pi * (now / 17 + domain / 3))
    )


def _late_reports(replay):
    replay.report_delay_s = 1.0


def _lost_reports(replay):
    draws = random.Random(3)
    replay.is_lost = lambda: draws.random() < 0.5


def _added_third(replay):
    def add(_now):
        for server in replay.servers:
            server.is_present = True

    for server in replay.servers[::3]:
        server.is_present = False
    replay.at(6.0, add)


class ReplayTest(unittest.TestCase):
    """What callers get with 37 servers of one slot and 17 balancers."""

    def test_slow_servers_get_less(self):
        """By requests in progress alone they get almost an equal share."""
        before, after = _value(_slow_third)
        self.assertGreater(after, before + 0.03)
        before, after = _value(_flapping_sixth)
        self.assertGreater(after, before)

    def test_no_worse_than_the_former_score(self):
        """Balancers with old reports must not all choose the same agent."""
        cases = (
            ('as usual', lambda replay: None, {}),
            ('failing sixth', _failing_sixth, {}),
            ('wave', _moving_wave, {'delay_s': 0.0049, 'load': 1.2}),
            ('late reports', _late_reports, {}),
            ('lost reports', _lost_reports, {}),
            ('all slow', _all_slow, {'load': 0.8}),
            ('added servers', _added_third, {'since': 6.5, 'load': 1.2}),
        )
        for name, prepare, fields in cases:
            with self.subTest(name):
                before, after = _value(prepare, **fields)
                self.assertGreater(after, before - 0.01)
