"""Admission at an agent, judged by what callers get."""

import collections
import heapq
import itertools
import random
import typing
import unittest
from unittest import mock

from kumquatport.connection.packets import frame, request_class
from kumquatport.process.packets import (
    agent_datapath,
    known_configuration,
    mesh,
    peers,
)
from kumquatport.version import members, routes
from kumquatport.version.members import const as members_const
from tests.builders import packets as builders

BALANCER = '10.0.0.1'
RTT_S = 0.002
COPIES_S = (0, 0.2, 0.6)
ATTEMPT_S = 1.4
# Requests that wait at the backend server before it answers 503.
SERVER_QUEUE = 4


class Kind(typing.NamedTuple):
    """Requests of one route: rate, work and terms."""

    port: int
    per_s: float
    work_s: float
    terms: request_class.RequestClass | None


# A server's share of the audio guides.
KINDS = {
    'streams': Kind(
        443, 14, 0.022, request_class.RequestClass(3, 3.164, 0.253, True)
    ),
    'lookups': Kind(
        444, 4.1, 0.029, request_class.RequestClass(1, 3.624, 0.302, False)
    ),
    'uploads': Kind(
        445, 1.2, 0.005, request_class.RequestClass(2, 9.451, 0.945, False)
    ),
}


class AgentReplay:
    """An agent, its backend server with one slot, and its callers.

    Attributes:
        outcomes: What callers got, by kind.
        returned: Reasons of returned opening packets.
    """

    def __init__(self, kinds, seed=1):
        self.now = 1000.0
        self.kinds = kinds
        self.outcomes = collections.defaultdict(collections.Counter)
        self.returned = collections.Counter()
        self.reached_server = []
        self.rng = random.Random(seed)
        self._events = []
        self._order = itertools.count()
        self._calls = {}
        self._work = collections.deque()
        self._is_working = False
        self.start_agent()

    def start_agent(self):
        """Start an agent that knows nothing of an earlier one."""
        with self.clock():
            self._start_agent()

    def clock(self):
        """Return a context in which the replay's time is the current one."""
        return mock.patch('kumquatport.helpers.clock.now', lambda: self.now)

    def _start_agent(self):
        self.configuration = known_configuration.KnownConfiguration('side-1')
        settings = builders.settings()
        connected = mesh.Mesh(settings, members.KIND_AGENT, self.configuration)
        connected.connect(
            peers.Transport(
                self._send, lambda call: None, lambda *_: None, lambda *_: None
            )
        )
        self.agent = agent_datapath.AgentDatapath(
            settings,
            builders.CODEC,
            self.configuration,
            connected,
            self._on_delivered,
        )
        self.agent.openings.call_later = self.later
        self.apply_routes(1)
        self._tick(self.agent, 1)

    def apply_routes(self, version):
        address = builders.number(builders.SERVICE[0])
        share = routes.WeightedService('store', 1.0)
        table = builders.table(version)._replace(
            routes={
                (address, kind.port): routes.Route(
                    address, kind.port, routes.with_terms((share,), kind.terms)
                )
                for kind in self.kinds.values()
            }
        )
        self.configuration.update_routes(routes.encode(table), 'test')

    def report(self, sequence, **fields):
        self.agent.handle_report(
            builders.report(slots=1, sequence=sequence, **fields)
        )

    def _tick(self, agent, sequence):
        """Do what a running agent does periodically."""
        if agent is self.agent:
            self.report(sequence)
            agent._mesh.pause_recovery.is_unconfirmed()
            agent.load()
            self.later(0.3, lambda: self._tick(agent, sequence + 1))

    def later(self, delay_s, call):
        heapq.heappush(
            self._events, (self.now + delay_s, next(self._order), call)
        )

    def run(self, until):
        with self.clock():
            while self._events and self._events[0][0] <= until:
                self.now, _, call = heapq.heappop(self._events)
                call()
        self.now = until

    def load(self, seconds, **factors):
        """Schedule the calls of all kinds, some at a multiple of their rate."""
        for name, kind in self.kinds.items():
            at = 0.0
            while True:
                at += self.rng.expovariate(kind.per_s * factors.get(name, 1))
                if at > seconds:
                    break
                self.later(at, lambda name=name: self.call(name))

    def call(self, name):
        """Open a flow and send one request."""
        flow = builders.flow(
            10000 + len(self._calls),
            (builders.SERVICE[0], self.kinds[name].port),
        )
        self._calls[flow] = {'kind': name, 'at': self.now, 'state': 'opening'}
        for copy, delay_s in enumerate(COPIES_S):
            self.later(delay_s, lambda copy=copy: self._open(flow, copy))
        self.later(ATTEMPT_S, lambda: self._end(flow, 'unanswered', 'opening'))

    def _open(self, flow, copy):
        if self._calls[flow]['state'] == 'opening':
            self._forward(
                builders.datagram(flow, builders.SYN, acknowledged=copy)
            )

    def _forward(self, datagram):
        self.agent.on_frame(
            frame.pack(frame.KIND_FORWARD, 0, 1, datagram), BALANCER
        )

    def _end(self, flow, outcome, state):
        call = self._calls[flow]
        if call['state'] == state:
            call['state'] = 'ended'
            self.outcomes[call['kind']][outcome] += 1

    def _send(self, datagram, endpoint):
        """Take what the agent sends to the balancer or to a caller."""
        if datagram[0] == frame.KIND_RETURN and endpoint[0] == BALANCER:
            message = frame.unpack(datagram)
            packet = builders.CODEC.parse_client_packet(message.datagram)
            self.returned[frame.REASON_NAMES[message.detail]] += 1
            is_early = self.now - self._calls[packet.flow]['at'] < 0.001
            self._end(
                packet.flow,
                'rejected early' if is_early else 'rejected late',
                'opening',
            )
        return True

    def _on_delivered(self, datagram):
        packet = builders.CODEC.parse_client_packet(datagram)
        if packet.is_opening:
            self.reached_server.append((self.now, packet.flow))
            self.later(RTT_S / 2, lambda: self._accept(packet.flow))
        elif packet.length:
            self._on_request(packet.flow)

    def _accept(self, flow):
        self._outbound(flow, builders.SYN | builders.ACK, sequence=500)
        if self._calls[flow]['state'] == 'opening':
            self._calls[flow]['state'] = 'open'
            request = builders.datagram(flow, acknowledged=501, data=b'x')
            self.later(RTT_S, lambda: self._forward(request))

    def _on_request(self, flow):
        if len(self._work) > SERVER_QUEUE:
            self._outbound(flow, data=b'503')
            self._end(flow, 'refused by the server', 'open')
            return
        self._work.append(flow)
        if not self._is_working:
            self._work_on_next()

    def _work_on_next(self):
        self._is_working = bool(self._work)
        if not self._work:
            return
        kind = self.kinds[self._calls[self._work[0]]['kind']]
        slow = 7 if self.rng.random() < 0.03 else 1
        self.later(kind.work_s * slow, self._finish)

    def _finish(self):
        flow = self._work.popleft()
        call = self._calls[flow]
        kind = KINDS[call['kind']]
        is_in_time = self.now - call['at'] <= kind.terms.objective_s
        self._outbound(flow, data=b'y')
        self._end(flow, 'in time' if is_in_time else 'late', 'open')
        self._work_on_next()

    def _outbound(self, flow, flags=builders.ACK, **fields):
        self.agent.on_outbound(
            builders.answer(flow, flags, **fields), ('10.0.0.2', 4)
        )


def replay(kind, factor, seconds, seed, *, has_terms=True):
    """Return what callers get during and after a burst of one kind."""
    kinds = {
        name: each if has_terms else each._replace(terms=None)
        for name, each in KINDS.items()
    }
    played = AgentReplay(kinds, seed)
    played.load(10)
    played.run(1010.0)
    played.outcomes.clear()
    played.load(seconds, **{kind: factor})
    played.run(1010.0 + seconds)
    played.load(3)
    played.run(1030.0)
    return played


BURSTS = (
    ('streams', 1.6, 7),
    ('streams', 2.5, 5),
    ('lookups', 2.5, 3),
    ('uploads', 2.5, 7),
)


def totals(*, has_terms):
    """Return what callers got over all bursts, as shares by kind."""
    counted = collections.defaultdict(collections.Counter)
    for (kind, factor, seconds), seed in itertools.product(BURSTS, range(6)):
        played = replay(kind, factor, seconds, seed, has_terms=has_terms)
        for name, outcomes in played.outcomes.items():
            counted[name] += outcomes
    return {
        name: collections.Counter(
            {each: n / outcomes.total() for each, n in outcomes.items()}
        )
        for name, outcomes in counted.items()
    }


def waited(counts):
    """Return the opening packets of streams admitted from the queue."""
    return counts.get('store/3/admitted_after_wait', 0)


class BurstTest(unittest.TestCase):
    """Bursts of one kind on a backend server that is half busy."""

    def test_bursts_cost_the_least_important_requests(self):
        """Without terms, the backend server refuses all kinds alike."""
        with mock.patch.object(agent_datapath, '_LOGGER'):
            before = totals(has_terms=False)
            after = totals(has_terms=True)
        for name in ('lookups', 'uploads'):
            lost_before = 1 - before[name]['in time']
            self.assertLess(1 - after[name]['in time'], 0.7 * lost_before)
        for name in KINDS:
            refused_before = before[name]['refused by the server']
            self.assertLess(
                after[name]['refused by the server'], 0.5 * refused_before
            )
            self.assertNotIn('unanswered', after[name])


class QueueTest(unittest.TestCase):
    """What becomes of opening packets that wait."""

    def setUp(self):
        patch = mock.patch.object(agent_datapath, '_LOGGER')
        self.logger = patch.start()
        self.addCleanup(patch.stop)
        self.make(KINDS)

    def make(self, kinds):
        self.played = AgentReplay(kinds)
        self.played.load(15)
        self.played.run(1020.0)
        self.played.outcomes.clear()
        self.played.returned.clear()
        self.played.reached_server.clear()

    def call(self, *names):
        for name in names:
            self.played.later(0, lambda name=name: self.played.call(name))
        self.played.run(self.played.now)

    def reached(self):
        """Return the kinds whose opening packets reached the server."""
        return [
            self.played._calls[flow]['kind']
            for _, flow in self.played.reached_server
        ]

    def run_for(self, seconds):
        self.played.run(self.played.now + seconds)

    @property
    def queued(self):
        return len(self.played.agent.openings)

    def test_nothing_is_queued_with_a_free_slot_or_without_terms(self):
        self.call('streams')
        self.assertEqual((self.queued, self.reached()), (0, ['streams']))
        self.make(
            {name: each._replace(terms=None) for name, each in KINDS.items()}
        )
        self.call(*['streams'] * 30)
        self.assertEqual((self.queued, len(self.reached())), (0, 30))

    def test_nothing_is_queued_unless_the_settings_ask_for_it(self):
        """Guards against new decisions in deployments that do not want them."""
        agent = self.played.agent
        agent.apply_settings(builders.settings(schedules_by_class=False))
        self.call(*['streams'] * 30)
        self.assertEqual((self.queued, len(self.reached())), (0, 30))
        with self.played.clock():
            self.assertIsNone(agent.capacity())

    def test_work_that_is_unknown_is_admitted(self):
        self.played.start_agent()
        self.call(*['streams'] * 9)
        self.assertEqual((self.queued, len(self.reached())), (0, 9))
        self.assertIsNone(self.played.agent.mean_work_s())

    def test_order_and_starvation(self):
        """Lower priorities would wait for ever under a steady load."""
        self.call(*['streams'] * 4, 'uploads', 'lookups')
        self.assertEqual(self.queued, 4)
        self.run_for(0.17)
        self.assertEqual(self.reached()[2:4], ['lookups', 'uploads'])
        self.make(KINDS)
        self.call('lookups', 'lookups', 'streams')
        self.run_for(0.005)
        self.call(*['lookups'] * 12)
        self.run_for(0.165)
        self.assertIn('streams', self.reached())

    def test_expected_wait(self):
        def wait_s(priority):
            with self.played.clock():
                return self.played.agent.expected_wait_s(priority)

        self.assertEqual([wait_s(each) for each in (0, 3)], [0, 0])
        self.call(*['streams'] * 4)
        self.assertAlmostEqual(wait_s(0), 0.05, delta=0.02)
        self.assertAlmostEqual(wait_s(3), 0.1, delta=0.04)

    def test_rejections_are_explained_and_counted(self):
        """Operators cannot see why a caller was rejected otherwise."""
        waits = []
        self.played.agent.openings.observe_wait = lambda *each: waits.append(
            each
        )
        self.logger.info.reset_mock()
        before = dict(self.played.agent.admissions)
        self.call(*['streams'] * 21)
        (rejected, *others) = [
            line.kwargs
            for line in self.logger.info.call_args_list
            if line.args == ('opening rejected',)
        ]
        self.assertEqual(len(others), 2)
        self.assertEqual(
            {each: rejected[each] for each in ('reason', 'priority', 'queue')},
            {'reason': 'full', 'priority': 3, 'queue': 16},
        )
        self.assertGreater(rejected['work_age_s'], 0)
        counts = {
            key: number - before.get(key, 0)
            for key, number in self.played.agent.admissions.items()
        }
        self.assertEqual(counts['store/3/full'], 3)
        self.assertEqual(counts['store/3/queued'] - waited(counts), 16 + 3)
        self.run_for(0.2)
        self.assertEqual({label for label, _ in waits}, {'3'})
        self.assertLess(max(seconds for _, seconds in waits), 0.2)

    def test_opening_of_a_stopped_balancer_is_dropped(self):
        """A client's next copy comes through another balancer."""
        record = builders.record(
            'front-1', kind=members.KIND_BALANCER, address=BALANCER
        )
        registry = self.played.agent._mesh.registry
        with self.played.clock():
            registry.merge(record)
        self.call(*['streams'] * 4)
        self.assertEqual(self.queued, 2)
        before = len(self.reached())
        with self.played.clock():
            registry.merge(
                record._replace(state=members_const.STATE_GONE, sequence=2)
            )
        self.run_for(0.19)
        self.assertEqual((self.queued, len(self.reached())), (0, before))
        counts = self.played.agent.admissions
        self.assertEqual(counts['store/3/balancer_stopped'], 2)

    def test_full_queue_rejects_the_least_important(self):
        self.call(*['streams'] * 20, 'lookups')
        self.assertEqual(self.queued, 16)
        self.assertEqual(self.played.returned, {'full': 3})
        self.assertEqual(self.played.outcomes['lookups'], {})

    def test_unanswerable_is_rejected_at_once(self):
        """A request that is answered after its deadline is wasted work."""
        terms = KINDS['streams'].terms._replace(deadline_s=0.05)
        self.make({**KINDS, 'streams': KINDS['streams']._replace(terms=terms)})
        self.call(*['streams'] * 8)
        self.assertLessEqual(len(self.reached()) + self.queued, 3)
        self.assertEqual(
            self.played.outcomes['streams']['rejected early'],
            self.played.returned['deadline'],
        )

    def test_copy_replaces_the_queued_packet(self):
        """An opening packet that is queued twice is delivered twice."""
        self.call(*['streams'] * 4)
        flow = list(self.played._calls)[-1]
        self.assertEqual(self.queued, 2)
        with self.played.clock():
            self.played._open(flow, 1)
        self.assertEqual(self.queued, 2)
        self.run_for(3)
        delivered = [flow for _, flow in self.played.reached_server]
        self.assertEqual(len(delivered), len(set(delivered)))

    def test_waits_no_longer_than_until_the_next_copy(self):
        self.call(*['streams'] * 17)
        queued_at = self.played.now
        self.run_for(3)
        last = max(at for at, _ in self.played.reached_server)
        self.assertLess(last - queued_at, 0.2)

    def test_opened_elsewhere_is_dropped(self):
        self.call(*['streams'] * 4)
        flow = list(self.played._calls)[-1]
        with self.played.clock():
            self.played._forward(builders.datagram(flow, acknowledged=9))
        self.assertEqual(self.queued, 1)

    def test_requests_that_are_never_answered_do_not_block(self):
        """All later openings would wait until the flows have expired."""
        self.played._work_on_next = lambda: None
        self.call('streams', 'streams')
        self.run_for(0.05)
        self.call('lookups')
        self.assertEqual(self.queued, 1)
        self.run_for(2.0)
        already_reached = len(self.reached())
        self.call('lookups')
        self.assertEqual(self.queued, 0)
        self.assertEqual(self.reached()[already_reached:], ['lookups'])

    def test_end_of_the_wait_at_a_busy_server_goes_elsewhere(self):
        """Guards against flows that wait a second time, in the server's queue."""
        self.played._work_on_next = lambda: None
        self.call('streams', 'streams')
        self.run_for(0.05)
        self.played.returned.clear()
        self.call('lookups')
        self.run_for(0.19)
        self.assertEqual(self.queued, 0)
        self.assertEqual(self.played.returned, collections.Counter({'full': 1}))

    def test_upload_in_transfer_occupies_no_slot(self):
        """Guards against openings refused while a server waits for data."""
        self.played._on_request = lambda _flow: None
        flow = builders.flow(
            30000, (builders.SERVICE[0], KINDS['uploads'].port)
        )
        with self.played.clock():
            agent = self.played.agent
            self.played._forward(builders.datagram(flow, builders.SYN))
            agent.on_outbound(
                builders.answer(flow, builders.SYN | builders.ACK, sequence=5),
                ('10.0.0.2', 4),
            )
            for number in range(3):
                self.played._forward(
                    builders.datagram(
                        flow,
                        acknowledged=6,
                        sequence=1 + 1200 * number,
                        data=bytes(1200),
                    )
                )
            self.assertEqual(agent.busy, 1)
            self.assertEqual(agent.expected_wait_s(0), 0)
        self.call('lookups')
        self.assertEqual(self.queued, 0)

    def test_killed_agent_loses_only_the_wait(self):
        """The next copies are admitted by an agent that knows nothing."""
        self.call(*['streams'] * 4)
        self.assertEqual(self.queued, 2)
        waiting = list(self.played._calls)[-2:]
        self.played.start_agent()
        self.run_for(1.0)
        for flow in waiting:
            self.assertIn(flow, dict(map(reversed, self.played.reached_server)))

    def test_closed_agent_returns_what_waits(self):
        """Openings must not reach a server that drains or is taken out."""

        def drain():
            self.played.report(100, is_draining=True)

        def leave():
            self.played.agent.is_leaving = True

        def evacuate():
            self.played.configuration.update_domains(9, ('a',), 'test')

        def remove_route():
            self.played.kinds = {'lookups': KINDS['lookups']}
            self.played.apply_routes(2)

        for change, reason in (
            (drain, 'not_accepting'),
            (leave, 'not_accepting'),
            (evacuate, 'not_accepting'),
            (remove_route, 'route_unknown'),
        ):
            with self.subTest(change=change.__name__):
                self.make(dict(KINDS))
                self.call(*['streams'] * 10)
                before = len(self.reached())
                self.assertEqual(self.queued, 8)
                with self.played.clock():
                    change()
                self.played.kinds = KINDS
                self.run_for(0.011)
                self.assertEqual(self.queued, 0)
                self.assertEqual(self.played.returned, {reason: 8})
                self.assertEqual(len(self.reached()), before)

    def test_pause_of_the_process_admits_no_outdated_opening(self):
        """Its client has given up, and the server may be closed by now."""
        self.call(*['streams'] * 10)
        before = len(self.reached())
        self.played.now += 5.0
        with self.played.clock():
            self.played.agent.openings.release()
            self.played.agent.openings._check()
        self.assertEqual(self.queued, 0)
        self.assertEqual(len(self.reached()), before)


if __name__ == '__main__':
    unittest.main()
