"""Placement, cold start limits and admission under their typical load."""

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
    candidate = placement.Candidate(
        instance=f'side-{number}',
        slots=5,
        busy=0,
        flows=0,
        placed=0,
        is_cross_domain=False,
        is_suspect=False,
    )
    return candidate._replace(**fields)


def _choose(candidates, flow):
    """Choose among candidates in the order that a flow determines."""
    by_name = {candidate.instance: candidate for candidate in candidates}
    order = hash_ring.HashRing(by_name).walk(flow)
    cost = placement.busy_per_flow((one.busy, one.flows) for one in candidates)
    return placement.choose((by_name[name] for name in order), cost)


class PlacementTest(unittest.TestCase):
    """Placement by old reports, with many balancers and long flows."""

    def test_balancers_do_not_all_choose_the_least_loaded_agent(self):
        """Eight balancers place 100 flows each by a report of an idle agent."""
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

    def test_long_flows_are_spread_evenly(self):
        """One balancer places flows that stay open, by current reports."""
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

    def test_flows_stay_in_the_failure_domain_until_it_is_busy(self):
        local = _candidate(1, flows=10, busy=1)
        remote = _candidate(2, flows=10, busy=1, is_cross_domain=True)
        rng = random.Random(1)
        self.assertEqual(_choose([local, remote], rng.randbytes(12)), local)
        busy = local._replace(busy=5, placed=2)
        self.assertEqual(_choose([busy, remote], rng.randbytes(12)), remote)

    def test_suspect_agent_is_the_last_choice(self):
        suspect = _candidate(1, is_suspect=True)
        full = _candidate(2, busy=30, flows=40, is_cross_domain=True)
        rng = random.Random(1)
        self.assertEqual(_choose([suspect, full], rng.randbytes(12)), full)
        self.assertEqual(_choose([suspect], rng.randbytes(12)), suspect)
        self.assertIsNone(_choose([], rng.randbytes(12)))


class ColdStartTest(unittest.TestCase):
    """A backend server that just started is offered all new flows."""

    def test_any_second_stays_within_the_limit(self):
        limiter = cold_start.ColdStartLimiter(1.5, 5)
        moments = [
            step * 0.001
            for step in range(3000)
            if limiter.try_acquire(4.0, step * 0.001)
        ]
        for start in moments:
            within = sum(start <= one < start + 1 for one in moments)
            self.assertLessEqual(within, 4.0 * 1.5 + 5)
        self.assertGreaterEqual(len(moments), 20)

    def test_flows_opened_before_the_cold_state_count(self):
        limiter = cold_start.ColdStartLimiter(1.5, 5)
        for step in range(12):
            limiter.record(step * 0.01)
        self.assertFalse(limiter.try_acquire(4.0, 0.5))
        self.assertTrue(limiter.try_acquire(4.0, 1.3))


def _simulate_reconnects(is_warm):
    """Simulate clients that reconnect to a cold backend server.

    For two seconds, 40 flows per second with one request each open at a backend
    server of 5 slots that takes 0.2 s per request. A refused client retransmits
    after 0.2 and 0.6 s.

    Args:
        is_warm: Whether the backend server reports that it can take full load,
            which disables the admission limit.

    Returns:
        Number of requests answered within 0.5 s of their first packet.
    """
    arrivals = [(number / 40, 0, number / 40) for number in range(80)]
    heapq.heapify(arrivals)
    free_at = [0.0] * 5
    ends: list[float] = []
    in_time = 0
    while arrivals:
        now, copy, first_at = heapq.heappop(arrivals)
        ends = [end for end in ends if end > now]
        inputs = AdmissionTest.ACCEPTING._replace(
            is_warm=is_warm, busy=len(ends)
        )
        if admission.refusal_reason(inputs):
            if copy < 2:
                again = (first_at + (0.2, 0.6)[copy], copy + 1, first_at)
                heapq.heappush(arrivals, again)
            continue
        end = max(heapq.heappop(free_at), now) + 0.2
        heapq.heappush(free_at, end)
        ends.append(end)
        in_time += end - first_at <= 0.5
    return in_time


class ReconnectTest(unittest.TestCase):
    """More clients reconnect at once than a backend server can answer."""

    def test_admission_limit_answers_more_in_time_than_a_long_queue(self):
        self.assertGreater(
            _simulate_reconnects(is_warm=False),
            2 * _simulate_reconnects(is_warm=True),
        )


class AdmissionTest(unittest.TestCase):
    """The agent decides by its own state and the sender's routes version."""

    ACCEPTING = admission.AdmissionInputs(
        is_draining=False,
        is_responsive=True,
        is_domain_out=False,
        is_leaving=False,
        is_route_allowed=True,
        is_allowed_by_newer=False,
        is_warm=True,
        busy=0,
        slots=5,
    )

    def test_refusal_reasons(self):
        cases = (
            ({}, 0),
            ({'is_draining': True}, frame.REASON_NOT_ACCEPTING),
            ({'is_domain_out': True}, frame.REASON_NOT_ACCEPTING),
            ({'is_leaving': True}, frame.REASON_NOT_ACCEPTING),
            ({'is_responsive': False}, frame.REASON_NOT_ACCEPTING),
            ({'is_route_allowed': False}, frame.REASON_ROUTE_UNKNOWN),
            ({'is_route_allowed': False, 'is_allowed_by_newer': True}, 0),
            (
                {'is_domain_out': True, 'is_allowed_by_newer': True},
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
            ({'is_for_other_service': True}, frame.REASON_OTHER_SERVICE),
            (
                {'is_for_other_service': True, 'is_allowed_by_newer': True},
                frame.REASON_OTHER_SERVICE,
            ),
        )
        for fields, reason in cases:
            with self.subTest(fields=fields):
                inputs = self.ACCEPTING._replace(**fields)
                self.assertEqual(admission.refusal_reason(inputs), reason)
