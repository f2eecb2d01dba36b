"""Placement, cold starts and admission, each on the load it is meant for."""

import collections
import heapq
import random
import unittest

from kumquatport.connection.packets import (
    admission,
    cold_start,
    frame,
    hash_ring,
    placement,
)


def _candidate(number, **fields):
    found = placement.Candidate(
        instance=f'side-{number}',
        slots=5,
        busy=0,
        flows=0,
        placed=0,
        is_cross_domain=False,
        is_suspect=False,
    )
    return found._replace(**fields)


def _choose(candidates, flow):
    """Choose among candidates in the order that a flow decides."""
    by_name = {candidate.instance: candidate for candidate in candidates}
    order = hash_ring.HashRing(by_name).walk(flow)
    cost = placement.busy_per_flow((one.busy, one.flows) for one in candidates)
    return placement.choose((by_name[name] for name in order), cost)


class PlacementTest(unittest.TestCase):
    """Old reports, many balancers, long flows."""

    def test_no_herd_on_the_emptiest(self):
        """Eight balancers place 100 flows by one report of an empty agent."""
        taken = collections.Counter()
        for balancer in range(8):
            rng = random.Random(balancer)
            placed = collections.Counter()
            for _ in range(100):
                candidates = [
                    _candidate(
                        number,
                        busy=0 if number == 0 else 2,
                        flows=10,
                        placed=placed[number],
                    )
                    for number in range(10)
                ]
                chosen = _choose(candidates, rng.randbytes(12))
                placed[int(chosen.instance.partition('-')[2])] += 1
            taken.update(placed)
        mean = sum(taken.values()) / 10
        self.assertLessEqual(max(taken.values()) / mean, 1.3)

    def test_long_flows_spread_evenly(self):
        """One balancer places flows that stay, reports keep up."""
        rng = random.Random(5)
        flows = collections.Counter()
        for _ in range(700):
            candidates = [
                _candidate(number, flows=flows[number], busy=flows[number] // 9)
                for number in range(7)
            ]
            chosen = _choose(candidates, rng.randbytes(12))
            flows[int(chosen.instance.partition('-')[2])] += 1
        self.assertLessEqual(max(flows.values()) / 100, 1.15)

    def test_bytes_stay_in_the_domain_while_it_bears_them(self):
        near = _candidate(1, flows=10, busy=1)
        far = _candidate(2, flows=10, busy=1, is_cross_domain=True)
        rng = random.Random(1)
        self.assertEqual(_choose([near, far], rng.randbytes(12)), near)
        crowded = near._replace(busy=5, placed=2)
        self.assertEqual(_choose([crowded, far], rng.randbytes(12)), far)

    def test_a_silent_agent_is_the_last_choice(self):
        silent = _candidate(1, is_suspect=True)
        full = _candidate(2, busy=30, flows=40, is_cross_domain=True)
        rng = random.Random(1)
        self.assertEqual(_choose([silent, full], rng.randbytes(12)), full)
        self.assertEqual(_choose([silent], rng.randbytes(12)), silent)
        self.assertIsNone(_choose([], rng.randbytes(12)))


class ColdTest(unittest.TestCase):
    """A backend server that just started and is offered everything."""

    def test_any_second_keeps_to_the_allowance(self):
        allowance = cold_start.ColdStartLimiter(1.5, 5)
        moments = [
            step * 0.001
            for step in range(3000)
            if allowance.try_acquire(4.0, step * 0.001)
        ]
        for start in moments:
            within = sum(start <= one < start + 1 for one in moments)
            self.assertLessEqual(within, 4.0 * 1.5 + 5)
        self.assertGreaterEqual(len(moments), 20)

    def test_flows_before_the_cold_time_count(self):
        allowance = cold_start.ColdStartLimiter(1.5, 5)
        for step in range(12):
            allowance.record(step * 0.01)
        self.assertFalse(allowance.try_acquire(4.0, 0.5))
        self.assertTrue(allowance.try_acquire(4.0, 1.3))


def _wave(is_warm):
    """Play clients that come back to a backend server that is cold.

    Forty flows a second for two seconds, a request each, at a backend server
    of five slots that needs 0.2 s a request. One that is turned away comes
    with its copies, 0.2 and 0.6 s later.

    Args:
        is_warm: Whether it has said that it bears full load.

    Returns:
        How many requests were answered within 0.5 s of their first packet.
    """
    arrivals = [(number / 40, 0, number / 40) for number in range(80)]
    heapq.heapify(arrivals)
    free_at = [0.0] * 5
    ends: list[float] = []
    in_time = 0
    while arrivals:
        now, copy, first_at = heapq.heappop(arrivals)
        ends = [end for end in ends if end > now]
        situation = AdmissionTest.GOOD._replace(is_warm=is_warm, busy=len(ends))
        if admission.refusal_reason(situation):
            if copy < 2:
                again = (first_at + (0.2, 0.6)[copy], copy + 1, first_at)
                heapq.heappush(arrivals, again)
            continue
        end = max(heapq.heappop(free_at), now) + 0.2
        heapq.heappush(free_at, end)
        ends.append(end)
        in_time += end - first_at <= 0.5
    return in_time


class FullTest(unittest.TestCase):
    """More clients come back at once than a backend server can answer."""

    def test_more_are_answered_in_time_than_with_a_long_queue(self):
        self.assertGreater(_wave(is_warm=False), 2 * _wave(is_warm=True))


class AdmissionTest(unittest.TestCase):
    """The agent decides on the newest knowledge."""

    GOOD = admission.AdmissionInputs(
        is_draining=False,
        is_responsive=True,
        is_domain_out=False,
        is_leaving=False,
        is_route_allowed=True,
        is_sender_newer=False,
        is_warm=True,
        busy=0,
        slots=5,
    )

    def test_reasons(self):
        cases = (
            ({}, 0),
            ({'is_draining': True}, frame.REASON_NOT_ACCEPTING),
            ({'is_domain_out': True}, frame.REASON_NOT_ACCEPTING),
            ({'is_leaving': True}, frame.REASON_NOT_ACCEPTING),
            ({'is_responsive': False}, frame.REASON_NOT_ACCEPTING),
            ({'is_route_allowed': False}, frame.REASON_ROUTE_UNKNOWN),
            ({'is_route_allowed': False, 'is_sender_newer': True}, 0),
            (
                {'is_domain_out': True, 'is_sender_newer': True},
                frame.REASON_NOT_ACCEPTING,
            ),
            ({'busy': 10}, 0),
            ({'is_warm': False, 'busy': 9}, 0),
            ({'is_warm': False, 'busy': 10}, frame.REASON_FULL),
            (
                {
                    'is_warm': False,
                    'uptime_s': 1,
                    'busy': 3,
                    'opening_flows': 16,
                },
                0,
            ),
            (
                {
                    'is_warm': False,
                    'uptime_s': 1,
                    'busy': 3,
                    'opening_flows': 17,
                },
                frame.REASON_FULL,
            ),
            (
                {
                    'is_warm': False,
                    'uptime_s': 9,
                    'busy': 3,
                    'opening_flows': 17,
                },
                0,
            ),
            ({'busy': 3, 'opening_flows': 100}, 0),
            ({'is_unconfirmed': True}, frame.REASON_NOT_ACCEPTING),
        )
        for fields, reason in cases:
            with self.subTest(fields=fields):
                situation = self.GOOD._replace(**fields)
                self.assertEqual(admission.refusal_reason(situation), reason)
