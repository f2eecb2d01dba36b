"""Tests of registrars: their choice, registration of flows, and queries."""

import collections
import random
import unittest
from unittest import mock

from kumquatport.connection.packets import (
    flow_directory,
    flow_table,
    frame,
    registrars,
    registration,
)
from kumquatport.process.packets import (
    const,
    flow_lookup,
    lookup_questions,
    messages,
)
from kumquatport.version import members
from kumquatport.version.members import const as members_const
from kumquatport.version.replication import ranking
from tests.builders import balancers
from tests.builders import packets as builders

BALANCERS = {f'front-{number}': f'10.0.0.{number}' for number in range(1, 5)}
AGENTS = {'side-1': '10.0.0.11', 'side-2': '10.0.0.12'}
LASTING_FLOW = flow_table.FlowState(0.0)


class RegistrarsTest(unittest.TestCase):
    """All instances choose the same two; a new balancer changes few."""

    def setUp(self):
        self.flows = [builders.flow(port) for port in range(2000)]

    def chosen(self, names):
        chosen_registrars = registrars.Registrars()
        chosen_registrars.update(names)
        return [chosen_registrars.of_flow(flow) for flow in self.flows]

    def test_choice_of_two_does_not_depend_on_the_order(self):
        names = list(BALANCERS)
        self.assertEqual(self.chosen(names), self.chosen(names[::-1]))
        self.assertTrue(all(len(set(pair)) == 2 for pair in self.chosen(names)))

    def test_flows_are_distributed_evenly(self):
        names = [f'front-{number}' for number in range(20)]
        count = collections.Counter(
            name for pair in self.chosen(names) for name in pair
        )
        mean = 2 * len(self.flows) / len(names)
        self.assertLess(max(count.values()), 2.0 * mean)

    def test_new_balancer_takes_only_its_share(self):
        names = [f'front-{number}' for number in range(20)]
        pairs = zip(
            self.chosen(names), self.chosen([*names, 'front-x']), strict=True
        )
        changed = [(old, new) for old, new in pairs if old != new]
        self.assertTrue(all('front-x' in new for _, new in changed))
        self.assertLess(len(changed), 0.2 * len(self.flows))

    def test_incremental_updates_equal_a_fresh_choice(self):
        rng = random.Random(6)
        names = [f'front-{number}' for number in range(30)]
        followed = registrars.Registrars()
        for _ in range(80):
            present = rng.sample(names, rng.randint(0, len(names)))
            followed.update(present)
            self.assertEqual(
                [followed.of_flow(flow) for flow in self.flows[:200]],
                self.chosen(present)[:200],
            )

    def test_rolling_restart_considers_few_names_per_group(self):
        """Rolling restart of many balancers, one after the other."""
        names = [f'front-{number}' for number in range(60)]
        chosen_registrars = registrars.Registrars()
        chosen_registrars.update(names)
        for flow in self.flows:
            chosen_registrars.of_flow(flow)
        considered = 0
        real = ranking.rank

        def ranked(key, chosen):
            nonlocal considered
            listed = list(chosen)
            considered += len(listed)
            return real(key, listed)

        changes = 2 * len(names)
        with mock.patch.object(registrars.ranking, 'rank', ranked):
            for name in names:
                chosen_registrars.update(
                    [other for other in names if other != name]
                )
                for flow in self.flows:
                    chosen_registrars.of_flow(flow)
                chosen_registrars.update(names)
        bound = (
            (registrars.REGISTRARS_PER_FLOW + 1)
            * registrars.FLOW_GROUPS
            * changes
        )
        self.assertLess(considered, bound)

    def test_one_balancer_and_none(self):
        self.assertEqual(set(self.chosen(['front-1'])), {('front-1',)})
        self.assertEqual(set(self.chosen([])), {()})


class RegistrationTest(unittest.TestCase):
    """Lasting flows are registered once, and again with a new registrar."""

    def setUp(self):
        self.chosen = registrars.Registrars()
        self.chosen.update(['front-1', 'front-2'])
        self.registration = registration.FlowRegistration()
        self.flow = builders.flow()

    def changes(self, *flows, before=1.0):
        return self.registration.collect_changes(flows, self.chosen, before)

    def test_flow_is_registered_once_with_both(self):
        changes = self.changes((self.flow, LASTING_FLOW))
        self.assertEqual(set(changes.held), {'front-1', 'front-2'})
        self.assertEqual(self.changes((self.flow, LASTING_FLOW)).held, {})

    def test_young_flow_is_not_registered(self):
        self.assertEqual(
            self.changes((self.flow, flow_table.FlowState(2.0))).held, {}
        )

    def test_ended_flow_is_unregistered(self):
        self.changes((self.flow, LASTING_FLOW))
        self.assertEqual(set(self.changes().ended), {'front-1', 'front-2'})
        self.assertEqual(self.changes().ended, {})

    def test_restarted_registrar_gets_the_flow_again(self):
        self.changes((self.flow, LASTING_FLOW))
        self.registration.forget_registrar('front-2')
        changes = self.changes((self.flow, LASTING_FLOW))
        self.assertEqual(changes.held, {'front-2': [self.flow]})

    def test_new_registrar_gets_the_flow(self):
        self.changes((self.flow, LASTING_FLOW))
        self.chosen.update(['front-1', 'front-3'])
        changes = self.changes((self.flow, LASTING_FLOW))
        self.assertEqual(changes.held, {'front-3': [self.flow]})


class DirectoryTest(unittest.TestCase):
    """Flows stored by one registrar."""

    def test_latest_holder_is_returned(self):
        directory = flow_directory.FlowDirectory()
        flow = builders.flow()
        directory.register([flow], 'side-1')
        directory.register([flow], 'side-2')
        directory.unregister([flow], 'side-1')
        self.assertEqual(directory.find(flow), 'side-2')
        directory.unregister([flow], 'side-2')
        self.assertEqual(directory.find(flow), '')

    def test_the_oldest_is_dropped_when_it_is_full(self):
        directory = flow_directory.FlowDirectory()
        flows = [builders.flow(port) for port in range(4)]
        with mock.patch.object(flow_directory, 'MAX_FLOWS', 3):
            directory.register(flows, 'side-1')
        self.assertEqual(len(directory), 3)
        self.assertEqual(directory.find(flows[0]), '')
        self.assertEqual(directory.find(flows[3]), 'side-1')


class LookupTest(balancers.BalancerTestCase):
    """A balancer queries the registrars of an unknown open flow first."""

    def setUp(self):
        super().setUp()
        for name, address in {**BALANCERS, **AGENTS}.items():
            if name != 'front-1':
                self.send_heartbeat(name, address)
        chosen = registrars.Registrars()
        chosen.update(BALANCERS)
        # A flow whose registrars are two other balancers.
        flows = [builders.flow(port) for port in range(100)]
        foreign_flows = [
            flow for flow in flows if 'front-1' not in chosen.of_flow(flow)
        ]
        self.flow = foreign_flows[0]
        self.first, self.second = chosen.of_flow(self.flow)
        self.packet = builders.datagram(self.flow, acknowledged=7)

    def send_heartbeat(self, name, address, **fields):
        kind = (
            members.KIND_BALANCER if name in BALANCERS else members.KIND_AGENT
        )
        service = '' if name in BALANCERS else 'store'
        record = builders.record(
            name, address=address, kind=kind, service=service, **fields
        )
        heartbeat = messages.Heartbeat(
            record,
            builders.load() if name in AGENTS else None,
            messages.ConfigurationState(1, 0, (), 0.1, 'front-2'),
            wants_reply=False,
        )
        self.mesh.on_datagram(messages.encode(heartbeat), (address, 7000))

    def client(self):
        self.sent.clear()
        self.forwarder.on_client(self.packet, (builders.CLIENT, 9000))
        self.run_until(self.now)

    def answer(self, registrar, agent):
        self.sent.clear()
        address = 0
        if agent:
            address = builders.number(AGENTS[agent])
        message = frame.pack_found([frame.FoundFlow(address, self.flow)])
        self.forwarder.on_frame(message, BALANCERS[registrar])
        self.run_until(self.now)

    def kinds(self):
        """Return the address and frame kind of each sent datagram."""
        return [(endpoint[0], datagram[0]) for datagram, endpoint in self.sent]

    def test_registrar_is_queried_and_the_agent_gets_the_packet(self):
        self.client()
        query = (BALANCERS[self.first], frame.KIND_FIND)
        self.assertEqual(self.kinds(), [query])
        self.answer(self.first, 'side-2')
        forwarded = (AGENTS['side-2'], frame.KIND_FORWARD)
        self.assertEqual(self.kinds(), [forwarded])
        self.client()
        self.assertEqual(self.kinds(), [forwarded])

    def test_kept_packets_go_to_the_named_agent_at_once_and_in_order(self):
        """FLOW: a planned move must not cost a retransmission."""
        for sequence in (1, 2401, 1201):
            self.packet = builders.datagram(
                self.flow, sequence=sequence, acknowledged=7, data=b'x'
            )
            self.client()
        self.answer(self.first, 'side-2')
        forwarded = [frame.unpack(datagram) for datagram, _ in self.sent]
        parse = builders.CODEC.parse_client_packet
        self.assertEqual(
            [(parse(one.datagram).sequence, one.detail) for one in forwarded],
            [
                (1, frame.FORWARD_QUERY | frame.FORWARD_PROBE),
                (1201, 0),
                (2401, 0),
            ],
        )

    def test_silent_registrars_are_passed_over_without_another_packet(self):
        """FLOW: the client's next packet may come only 1.6 s later."""
        self.client()
        self.sent.clear()
        self.run_until(self.now + 0.11)
        query = (BALANCERS[self.second], frame.KIND_FIND)
        self.assertEqual(self.kinds(), [query])
        self.sent.clear()
        self.run_until(self.now + 0.11)
        asked = [(address, frame.KIND_HOLDS) for address in AGENTS.values()]
        self.assertEqual(self.kinds(), asked)

    def test_second_registrar_and_then_the_agents_are_queried(self):
        self.client()
        self.answer(self.first, '')
        query = (BALANCERS[self.second], frame.KIND_FIND)
        self.assertEqual(self.kinds(), [query])
        self.answer(self.second, '')
        asked = [(address, frame.KIND_HOLDS) for address in AGENTS.values()]
        self.assertEqual(self.kinds(), asked)

    def test_stopping_registrar_is_queried_last(self):
        """A stopping registrar may exit before it answers."""
        self.send_heartbeat(
            self.first,
            BALANCERS[self.first],
            state=members_const.STATE_LEAVING,
            sequence=2,
        )
        self.client()
        query = (BALANCERS[self.second], frame.KIND_FIND)
        self.assertEqual(self.kinds(), [query])

    def test_silent_registrar_is_skipped(self):
        self.client()
        self.now += 0.2
        self.client()
        query = (BALANCERS[self.second], frame.KIND_FIND)
        self.assertEqual(self.kinds(), [query])

    def test_agent_that_does_not_hold_the_flow_is_not_queried_again(self):
        self.client()
        self.answer(self.first, 'side-2')
        self.sent.clear()
        back = frame.pack(
            frame.KIND_RETURN, frame.REASON_NOT_HELD, 1, self.packet
        )
        self.forwarder.on_frame(back, AGENTS['side-2'])
        self.answer(self.first, 'side-2')
        self.answer(self.second, 'side-2')
        asked = (AGENTS['side-1'], frame.KIND_HOLDS)
        self.assertEqual(self.kinds(), [asked])

    def test_registrar_that_ignores_questions_is_sent_the_packet(self):
        """A former build: moved flows would be asked for at all agents."""
        for _ in range(lookup_questions.MAX_UNANSWERED):
            for name in (self.first, self.second):
                self.forwarder._lookup.questions.note_unanswered(name)
        self.client()
        query = (BALANCERS[self.first], frame.KIND_LOCATE)
        self.assertEqual(self.kinds(), [query])
        self.sent.clear()
        location = frame.pack_location(
            builders.number(AGENTS['side-2']), self.packet
        )
        self.forwarder.on_frame(location, BALANCERS[self.first])
        forwarded = (AGENTS['side-2'], frame.KIND_FORWARD)
        self.assertEqual(self.kinds(), [forwarded])

    def test_question_of_a_balancer_is_answered_in_bounded_frames(self):
        flows = [builders.flow(port) for port in range(100)]
        self.forwarder.on_frame(
            frame.pack_flows(frame.KIND_REGISTER, flows[:1]), AGENTS['side-1']
        )
        self.sent.clear()
        self.forwarder.on_frame(
            frame.pack_flows(frame.KIND_FIND, flows), BALANCERS['front-3']
        )
        answers = [message for message, _ in self.sent]
        self.assertTrue(all(len(message) < 1400 for message in answers))
        found = [
            row for message in answers for row in frame.unpack_found(message)
        ]
        self.assertEqual([row.flow for row in found], flows)
        held = builders.number(AGENTS['side-1'])
        self.assertEqual([row.address for row in found], [held] + [0] * 99)

    def restart(self):
        """Restart the balancer; the store lists all members but side-2."""
        made = balancers.make(self._send, self._call_later)
        self.configuration, self.mesh, self.forwarder = made
        members_listed = {**BALANCERS, 'side-1': AGENTS['side-1']}
        for name, address in members_listed.items():
            if name != 'front-1':
                self.send_heartbeat(name, address)
        self.mesh.note_members_listed(members_listed)

    def not_held(self, agent):
        self.sent.clear()
        back = frame.pack(
            frame.KIND_RETURN, frame.REASON_NOT_HELD, 1, self.packet
        )
        self.forwarder.on_frame(back, AGENTS[agent])

    def resets(self):
        return [
            datagram
            for datagram, endpoint in self.sent
            if endpoint == (builders.CLIENT, 9000)
        ]

    def probe_count(self):
        return sum(
            bool(frame.unpack(datagram).detail & frame.FORWARD_PROBE)
            for datagram, _ in self.sent
            if datagram[0] == frame.KIND_FORWARD
        )

    def test_no_reset_while_a_named_holder_is_unknown(self):
        """FLOW: a live agent is missing in the store's listing."""
        self.restart()
        self.client()
        self.answer(self.first, 'side-2')
        greeting = (AGENTS['side-2'], frame.KIND_CONTROL)
        self.assertIn(greeting, self.kinds())
        self.answer(self.second, 'side-2')
        self.not_held('side-1')
        self.assertEqual(self.resets(), [])
        self.now += 0.2
        self.client()
        self.answer(self.first, 'side-2')
        self.assertIn(greeting, self.kinds())
        self.assertEqual(self.resets(), [])
        self.send_heartbeat('side-2', AGENTS['side-2'])
        self.now += 0.2
        self.client()
        self.answer(self.first, 'side-2')
        forwarded = (AGENTS['side-2'], frame.KIND_FORWARD)
        self.assertEqual(self.kinds(), [forwarded])

    def test_few_probes_while_a_named_holder_is_unknown(self):
        """They reach only other backend servers."""
        self.restart()
        self.mesh.peer('side-1').load = builders.load(knows_all_flows=False)
        self.client()
        self.answer(self.first, 'side-2')
        self.answer(self.second, 'side-2')
        probes = self.probe_count()
        for _ in range(2 * flow_lookup.MAX_PROBES):
            self.now += 0.2
            self.client()
            probes += self.probe_count()
        self.assertEqual(probes, flow_lookup.MAX_PROBES)

    def test_flow_is_reset_once_its_registrars_name_no_holder(self):
        self.restart()
        self.client()
        self.answer(self.first, 'side-2')
        self.answer(self.second, 'side-2')
        self.not_held('side-1')
        self.assertEqual(self.resets(), [])
        self.now += 0.2
        self.client()
        for registrar in (self.first, self.second):
            query = (BALANCERS[registrar], frame.KIND_FIND)
            self.assertEqual(self.kinds(), [query])
            self.answer(registrar, '')
        self.assertEqual(len(self.resets()), 1)

    def test_flow_registered_here_is_known(self):
        message = frame.pack_flows(frame.KIND_REGISTER, [self.flow])
        self.forwarder.on_frame(message, AGENTS['side-1'])
        self.client()
        forwarded = (AGENTS['side-1'], frame.KIND_FORWARD)
        self.assertEqual(self.kinds(), [forwarded])
        ended = frame.pack_flows(frame.KIND_UNREGISTER, [self.flow])
        self.forwarder.on_frame(ended, AGENTS['side-1'])
        self.assertEqual(self.forwarder.gauges()['registered'], 0)

    def test_query_of_a_balancer_is_answered(self):
        message = frame.pack_flows(frame.KIND_REGISTER, [self.flow])
        self.forwarder.on_frame(message, AGENTS['side-1'])
        self.sent.clear()
        self.forwarder.on_frame(
            frame.pack_locate(self.packet), BALANCERS['front-3']
        )
        ((answer, (address, _)),) = self.sent
        self.assertEqual(address, BALANCERS['front-3'])
        location = frame.unpack_location(answer)
        self.assertEqual(location.address, builders.number(AGENTS['side-1']))
        self.assertEqual(location.datagram, self.packet)

    def test_truncated_frames_are_ignored(self):
        self.sent.clear()
        for kind in (
            frame.KIND_LOCATE,
            frame.KIND_LOCATION,
            frame.KIND_REGISTER,
            frame.KIND_FIND,
            frame.KIND_FOUND,
            frame.KIND_NOT_HELD,
        ):
            for length in range(5):
                self.forwarder.on_frame(
                    bytes((kind,)) + bytes(length), AGENTS['side-1']
                )
        self.assertEqual(len(self.sent), 0)


class CostTest(unittest.TestCase):
    """The constants fit the deployment size of the design."""

    def test_registration_traffic(self):
        # 870,000 new flows per second at 100,000 agents; a tenth of them last.
        per_agent_s = 870_000 / 100_000 * 0.1
        rounds_s = 1 / const.REGISTER_INTERVAL_S
        message = len(frame.pack_flows(frame.KIND_REGISTER, [bytes(12)])) + 28
        per_s = (
            min(per_agent_s, rounds_s)
            * registrars.REGISTRARS_PER_FLOW
            * message
            * 2
        )
        self.assertLess(per_s, 25_000 / 20)
