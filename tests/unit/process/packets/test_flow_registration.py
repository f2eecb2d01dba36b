"""Registrars of flows: who they are, what they are told, who asks them."""

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
    messages,
)
from kumquatport.version import members
from kumquatport.version.members import const as members_const
from kumquatport.version.replication import ranking
from tests.builders import balancers
from tests.builders import packets as builders

FRONTS = {f'front-{number}': f'10.0.0.{number}' for number in range(1, 5)}
SIDES = {'side-1': '10.0.0.11', 'side-2': '10.0.0.12'}
AGED = flow_table.FlowState(0.0)


class RegistrarsTest(unittest.TestCase):
    """All name the same two, and few change when a balancer comes."""

    def setUp(self):
        self.flows = [builders.flow(port) for port in range(2000)]

    def chosen(self, names):
        found = registrars.Registrars()
        found.update(names)
        return [found.of_flow(flow) for flow in self.flows]

    def test_two_that_do_not_depend_on_the_order(self):
        names = list(FRONTS)
        self.assertEqual(self.chosen(names), self.chosen(names[::-1]))
        self.assertTrue(all(len(set(one)) == 2 for one in self.chosen(names)))

    def test_the_flows_are_shared_out(self):
        names = [f'front-{number}' for number in range(20)]
        count = collections.Counter(
            name for one in self.chosen(names) for name in one
        )
        mean = 2 * len(self.flows) / len(names)
        self.assertLess(max(count.values()), 2.0 * mean)

    def test_a_balancer_that_comes_moves_its_share(self):
        names = [f'front-{number}' for number in range(20)]
        pairs = zip(
            self.chosen(names), self.chosen([*names, 'front-x']), strict=True
        )
        changed = [(old, new) for old, new in pairs if old != new]
        self.assertTrue(all('front-x' in new for _, new in changed))
        self.assertLess(len(changed), 0.2 * len(self.flows))

    def test_following_changes_gives_what_choosing_at_once_gives(self):
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

    def test_a_rolling_stop_costs_each_group_a_few_names(self):
        """Many balancers go and come back, one after the other."""
        names = [f'front-{number}' for number in range(60)]
        found = registrars.Registrars()
        found.update(names)
        for flow in self.flows:
            found.of_flow(flow)
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
                found.update([one for one in names if one != name])
                for flow in self.flows:
                    found.of_flow(flow)
                found.update(names)
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
    """What is told: flows that last, once, and again to who has lost it."""

    def setUp(self):
        self.chosen = registrars.Registrars()
        self.chosen.update(['front-1', 'front-2'])
        self.registration = registration.FlowRegistration()
        self.flow = builders.flow()

    def news(self, *flows, before=1.0):
        return self.registration.collect_changes(flows, self.chosen, before)

    def test_a_flow_is_told_once_to_both(self):
        news = self.news((self.flow, AGED))
        self.assertEqual(set(news.held), {'front-1', 'front-2'})
        self.assertEqual(self.news((self.flow, AGED)).held, {})

    def test_a_young_flow_is_left_out(self):
        self.assertEqual(
            self.news((self.flow, flow_table.FlowState(2.0))).held, {}
        )

    def test_an_ended_flow_is_told(self):
        self.news((self.flow, AGED))
        self.assertEqual(set(self.news().ended), {'front-1', 'front-2'})
        self.assertEqual(self.news().ended, {})

    def test_a_registrar_that_started_again_is_told_again(self):
        self.news((self.flow, AGED))
        self.registration.forget_registrar('front-2')
        news = self.news((self.flow, AGED))
        self.assertEqual(news.held, {'front-2': [self.flow]})

    def test_a_new_registrar_is_told(self):
        self.news((self.flow, AGED))
        self.chosen.update(['front-1', 'front-3'])
        news = self.news((self.flow, AGED))
        self.assertEqual(news.held, {'front-3': [self.flow]})


class DirectoryTest(unittest.TestCase):
    """The part that one registrar keeps."""

    def test_the_latest_holder_counts(self):
        kept = flow_directory.FlowDirectory()
        flow = builders.flow()
        kept.register([flow], 'side-1')
        kept.register([flow], 'side-2')
        kept.unregister([flow], 'side-1')
        self.assertEqual(kept.find(flow), 'side-2')
        kept.unregister([flow], 'side-2')
        self.assertEqual(kept.find(flow), '')

    def test_the_oldest_is_dropped_when_it_is_full(self):
        kept = flow_directory.FlowDirectory()
        flows = [builders.flow(port) for port in range(4)]
        with mock.patch.object(flow_directory, 'MAX_FLOWS', 3):
            kept.register(flows, 'side-1')
        self.assertEqual(len(kept), 3)
        self.assertEqual(kept.find(flows[0]), '')
        self.assertEqual(kept.find(flows[3]), 'side-1')


class SearchTest(balancers.BalancerTestCase):
    """A balancer that meets an open flow asks its registrars first."""

    def setUp(self):
        super().setUp()
        for name, address in {**FRONTS, **SIDES}.items():
            if name != 'front-1':
                self.hear(name, address)
        chosen = registrars.Registrars()
        chosen.update(FRONTS)
        # A flow whose registrars are two other balancers, and one of its own.
        flows = [builders.flow(port) for port in range(100)]
        foreign = [one for one in flows if 'front-1' not in chosen.of_flow(one)]
        self.flow = foreign[0]
        self.first, self.second = chosen.of_flow(self.flow)
        self.packet = builders.datagram(self.flow, acknowledged=7)

    def hear(self, name, address, **fields):
        kind = members.KIND_BALANCER if name in FRONTS else members.KIND_AGENT
        service = '' if name in FRONTS else 'store'
        record = builders.record(
            name, address=address, kind=kind, service=service, **fields
        )
        beat = messages.Heartbeat(
            record,
            builders.load() if name in SIDES else None,
            messages.ConfigurationState(1, 0, (), 0.1, 'front-2'),
            wants_reply=False,
        )
        self.mesh.on_datagram(messages.encode(beat), (address, 7000))

    def client(self):
        self.sent.clear()
        self.forwarder.on_client(self.packet, (builders.CLIENT, 9000))

    def answer(self, registrar, agent):
        self.sent.clear()
        address = 0
        if agent:
            address = builders.number(SIDES[agent])
        message = frame.pack_location(address, self.packet)
        self.forwarder.on_frame(message, FRONTS[registrar])

    def kinds(self):
        """Return what was sent, by address, and its kind."""
        return [(endpoint[0], datagram[0]) for datagram, endpoint in self.sent]

    def test_a_registrar_is_asked_and_the_agent_it_names_gets_the_packet(self):
        self.client()
        where = (FRONTS[self.first], frame.KIND_LOCATE)
        self.assertEqual(self.kinds(), [where])
        self.answer(self.first, 'side-2')
        forwarded = (SIDES['side-2'], frame.KIND_FORWARD)
        self.assertEqual(self.kinds(), [forwarded])
        self.client()
        self.assertEqual(self.kinds(), [forwarded])

    def test_the_second_is_asked_and_then_the_agents(self):
        self.client()
        self.answer(self.first, '')
        where = (FRONTS[self.second], frame.KIND_LOCATE)
        self.assertEqual(self.kinds(), [where])
        self.answer(self.second, '')
        asked = [(address, frame.KIND_FORWARD) for address in SIDES.values()]
        self.assertEqual(self.kinds(), asked)

    def test_a_registrar_that_leaves_is_asked_last(self):
        """It ended before it answered (quiet-1 of abra-accra)."""
        self.hear(
            self.first,
            FRONTS[self.first],
            state=members_const.STATE_LEAVING,
            sequence=2,
        )
        self.client()
        where = (FRONTS[self.second], frame.KIND_LOCATE)
        self.assertEqual(self.kinds(), [where])

    def test_a_silent_registrar_is_passed_over(self):
        self.client()
        self.now += 0.2
        self.client()
        where = (FRONTS[self.second], frame.KIND_LOCATE)
        self.assertEqual(self.kinds(), [where])

    def test_an_agent_that_does_not_hold_it_is_not_asked_again(self):
        self.client()
        self.answer(self.first, 'side-2')
        self.sent.clear()
        back = frame.pack(
            frame.KIND_RETURN, frame.REASON_NOT_HELD, 1, self.packet
        )
        self.forwarder.on_frame(back, SIDES['side-2'])
        self.answer(self.first, 'side-2')
        self.answer(self.second, 'side-2')
        forwarded = (SIDES['side-1'], frame.KIND_FORWARD)
        self.assertEqual(self.kinds(), [forwarded])

    def test_what_was_registered_here_is_known(self):
        message = frame.pack_flows(frame.KIND_REGISTER, [self.flow])
        self.forwarder.on_frame(message, SIDES['side-1'])
        self.client()
        forwarded = (SIDES['side-1'], frame.KIND_FORWARD)
        self.assertEqual(self.kinds(), [forwarded])
        ended = frame.pack_flows(frame.KIND_UNREGISTER, [self.flow])
        self.forwarder.on_frame(ended, SIDES['side-1'])
        self.assertEqual(self.forwarder.gauges()['registered'], 0)

    def test_a_balancer_that_asks_is_answered(self):
        message = frame.pack_flows(frame.KIND_REGISTER, [self.flow])
        self.forwarder.on_frame(message, SIDES['side-1'])
        self.sent.clear()
        self.forwarder.on_frame(
            frame.pack_locate(self.packet), FRONTS['front-3']
        )
        ((answer, (address, _)),) = self.sent
        self.assertEqual(address, FRONTS['front-3'])
        found = frame.unpack_location(answer)
        self.assertEqual(found.address, builders.number(SIDES['side-1']))
        self.assertEqual(found.datagram, self.packet)

    def test_cut_frames_change_nothing(self):
        self.sent.clear()
        for kind in (
            frame.KIND_LOCATE,
            frame.KIND_LOCATION,
            frame.KIND_REGISTER,
        ):
            for length in range(5):
                self.forwarder.on_frame(
                    bytes((kind,)) + bytes(length), SIDES['side-1']
                )
        self.assertEqual(len(self.sent), 0)


class CostTest(unittest.TestCase):
    """The constants fit the size that is designed for."""

    def test_registering(self):
        # 870,000 new flows a second at 100,000 agents, a tenth of them long.
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
