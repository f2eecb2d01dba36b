"""Tests of the handover of registered flows between balancers."""

import unittest
from unittest import mock

import xxhash

from kumquatport import exceptions
from kumquatport.connection.packets import (
    flow_directory,
    flow_handover,
    frame,
    registrars,
)
from kumquatport.process.packets import (
    balancer,
    const,
    forwarder,
    handover,
    models,
)
from kumquatport.version import members, routes
from kumquatport.version.members import const as members_const
from tests.builders import meshes
from tests.builders import packets as builders

BALANCERS = {f'front-{number}': f'10.0.0.{number}' for number in range(1, 6)}
AGENTS = {f'side-{number}': f'10.0.1.{number}' for number in range(1, 4)}
ROUND_S = 0.3


def digest_of(flow):
    return xxhash.xxh64_intdigest(flow)


class FramesTest(unittest.TestCase):
    """Frames are bounded and tell all flows."""

    def frames(self, count, agents):
        work = flow_handover.batches(
            range(count),
            lambda digest: f'side-{digest % agents}',
            lambda digest: ('front-1', 'front-2')[: 1 + digest % 2],
        )
        return [batch for batch in work if batch is not None]

    def test_all_flows_are_told_in_small_frames(self):
        for agents in (1, 50, 5000):
            with self.subTest(agents=agents):
                found = {'front-1': {}, 'front-2': {}}
                for batch in self.frames(20_000, agents):
                    self.assertLess(len(batch.message), 1_400)
                    for agent, digests in flow_handover.unpack(batch.message):
                        found[batch.receiver] |= dict.fromkeys(digests, agent)
                self.assertEqual(
                    found['front-1'],
                    {n: f'side-{n % agents}' for n in range(20_000)},
                )
                self.assertEqual(
                    set(found['front-2']), set(range(1, 20_000, 2))
                )

    def test_work_pauses(self):
        """Packets of clients wait meanwhile."""
        count = 3 * flow_handover.SLICE_FLOWS
        work = flow_handover.batches(range(count), lambda _: '', lambda _: ())
        self.assertEqual(list(work), [None] * 3)

    def test_malformed_frames_are_refused(self):
        (batch,) = self.frames(1, 1)
        for body in (b'', b'\xff', b'\x91\x91\xa1a', b'\x91\x92\x01\xc4\x00'):
            with self.assertRaises(exceptions.FramePayloadError):
                list(flow_handover.unpack(batch.message[:1] + body))

    def test_truncated_digest_is_ignored(self):
        message = bytes((frame.KIND_HANDOVER,)) + b'\x91\x92\xa1a\xc4\x09'
        ((agent, digests),) = flow_handover.unpack(message + b'\x01' * 9)
        self.assertEqual((agent, len(digests)), ('a', 1))


class AdoptedFlowsTest(unittest.TestCase):
    """What agents have registered counts more than what is handed over."""

    def setUp(self):
        self.now = 1000.0
        patch = mock.patch('kumquatport.helpers.clock.now', lambda: self.now)
        patch.start()
        self.addCleanup(patch.stop)
        self.directory = flow_directory.FlowDirectory()
        self.flows = [builders.flow(port) for port in range(6)]
        self.digests = [digest_of(flow) for flow in self.flows]

    def holders(self):
        return [self.directory.find(flow) for flow in self.flows]

    def test_registered_flow_is_not_replaced(self):
        self.directory.register(self.flows[:1], 'side-1')
        self.assertEqual(
            self.directory.adopt(self.digests[:2], 'side-2'), self.digests[1:2]
        )
        self.assertEqual(self.holders()[:2], ['side-1', 'side-2'])

    def test_registered_flows_are_not_evicted(self):
        with mock.patch.object(flow_directory, 'MAX_FLOWS', 3):
            self.directory.register(self.flows[:2], 'side-1')
            self.directory.adopt(self.digests[2:], 'side-2')
            self.assertEqual(len(self.directory), 3)
            self.directory.register(self.flows[3:], 'side-1')
            self.assertEqual(self.holders(), [''] * 3 + ['side-1'] * 3)
        self.now += flow_directory.ADOPTED_S + 1
        self.directory.expire()
        self.assertEqual(len(self.directory), 3)

    def test_flows_that_nobody_registers_expire(self):
        """Agents do not unregister them here when they end."""
        self.directory.adopt(self.digests[:3], 'side-1')
        self.now += flow_directory.ADOPTED_S / 2
        self.directory.adopt(self.digests, 'side-1')
        self.directory.register(self.flows[:1], 'side-1')
        self.directory.unregister(self.flows[3:4], 'side-1')
        self.now += flow_directory.ADOPTED_S / 2 + 1
        self.directory.expire()
        held = ['side-1', '', '', '', 'side-1', 'side-1']
        self.assertEqual(self.holders(), held)
        self.now += flow_directory.ADOPTED_S / 2
        self.directory.expire()
        self.assertEqual(self.holders(), ['side-1'] + [''] * 5)


class DrainTest(unittest.IsolatedAsyncioTestCase):
    """A balancer process that is told to stop."""

    async def test_flows_are_handed_over_once_the_balancer_is_leaving(self):
        """Before that it would count itself among the successors."""
        settings = builders.settings(
            instance='front-1',
            service='',
            outbound=None,
            entry=models.Endpoint('10.0.0.1', 9),
        )
        settings = settings._replace(
            bounds=settings.bounds._replace(grace_s=0.0)
        )
        stopping = balancer.Balancer(
            settings, builders.CODEC, mock.Mock(), mock.Mock()
        )
        states = []

        def leave():
            states.append(stopping._mesh.own_record.current.state)

        with mock.patch.object(stopping._forwarder, 'leave', leave):
            await stopping.async_drain()
        self.assertEqual(states, [members_const.STATE_LEAVING])


class DeploymentTest(unittest.TestCase):
    """Five balancers and three agents, restarted as planned."""

    def setUp(self):
        self.now = 1000.0
        patch = mock.patch('kumquatport.helpers.clock.now', lambda: self.now)
        patch.start()
        self.addCleanup(patch.stop)
        self.network = meshes.Network()
        self.forwarders = {}
        self.flow = builders.flow()
        self.packet = builders.datagram(self.flow, acknowledged=7)
        for name in (*BALANCERS, *AGENTS):
            self.start(name)
        self.run_for(70)
        chosen = registrars.Registrars()
        chosen.update(BALANCERS)
        self.first, self.second = chosen.of_flow(self.flow)
        self.others = [
            name for name in BALANCERS if name not in {self.first, self.second}
        ]
        self.register(self.flow, 'side-1')

    def start(self, name, link_bytes_per_s=0):
        """Start an instance; an agent does not know its flows any more."""
        if name in AGENTS:
            started = self.network.start(name, AGENTS[name], members.KIND_AGENT)
            started.load = lambda: builders.load(knows_all_flows=False)
            self.network.run_round()
            return
        address = BALANCERS[name]

        def prepare(mesh):
            configuration = self.network.configurations[address]
            self.forwarders[name] = forwarder.Forwarder(
                builders.settings(
                    instance=name,
                    address=address,
                    link_bytes_per_s=link_bytes_per_s,
                ),
                builders.CODEC,
                configuration,
                mesh,
            )
            mesh.on_frame = self.forwarders[name].on_frame
            mesh.on_peer_started = self.forwarders[name].on_peer_started
            configuration.update_routes(routes.encode(builders.table()), 'test')

        self.network.start(name, address, members.KIND_BALANCER, prepare)
        self.run_for(1)

    def run_for(self, seconds):
        for _ in range(round(seconds / ROUND_S)):
            self.now += ROUND_S
            self.network.run_round()
            self.network.run_scheduled()
        self.network.deliver()

    def register(self, flow, agent):
        message = frame.pack_flows(frame.KIND_REGISTER, [flow])
        for name in (self.first, self.second):
            self.forwarders[name].on_frame(message, AGENTS[agent])

    def leave(self, name):
        self.mesh(name).own_record.update(members_const.STATE_LEAVING, None)
        self.network.deliver()
        self.forwarders[name].leave()
        self.run_for(const.BALANCER_DRAIN_S)

    def stop(self, name):
        self.leave(name)
        self.network.meshes.pop(BALANCERS[name])

    def mesh(self, name):
        return self.network.meshes[BALANCERS[name]]

    def forwarded(self, name):
        """Return the agents that get a packet of the flow from a balancer."""
        reached = []
        for address in AGENTS.values():
            if address in self.network.meshes:
                self.network.meshes[address].on_frame = (
                    lambda datagram, _, address=address: reached.append(address)
                )
        for _ in range(3):
            self.forwarders[name].on_client(
                self.packet, (builders.CLIENT, 9000)
            )
            self.network.run_scheduled()
            self.now += 0.11
        return set(reached)

    def test_both_registrars_stop_while_the_agent_restarts(self):
        """FLOW: nobody knew the flow, and other agents were probed."""
        self.start('side-1')
        self.stop(self.first)
        self.stop(self.second)
        for name in self.others:
            with self.subTest(balancer=name):
                self.assertEqual(self.forwarded(name), {AGENTS['side-1']})

    def test_registrars_restart_in_turn_while_the_agent_restarts(self):
        """FLOW: a registrar that had started knew none of its flows."""
        self.start('side-1')
        for name in (self.first, self.second, self.first):
            self.stop(name)
            self.run_for(2)
            self.start(name)
        for name in (self.first, self.second):
            self.assertEqual(self.forwarders[name].gauges()['registered'], 1)
        self.assertEqual(self.forwarded(self.others[0]), {AGENTS['side-1']})

    def test_all_balancers_restart_in_turn_while_the_agent_restarts(self):
        self.start('side-1')
        for name in BALANCERS:
            self.stop(name)
            self.start(name)
        for name in BALANCERS:
            with self.subTest(balancer=name):
                self.assertEqual(self.forwarded(name), {AGENTS['side-1']})

    def test_agent_that_is_away_when_the_registrars_stop(self):
        address = AGENTS['side-1']
        agent = self.network.meshes[address]
        agent.own_record.update(members_const.STATE_LEAVING, None)
        self.network.deliver()
        self.network.meshes.pop(address)
        self.stop(self.first)
        self.stop(self.second)
        self.start('side-1')
        self.assertEqual(self.forwarded(self.others[0]), {address})

    def test_flow_of_an_agent_that_runs_is_handed_to_the_successor_only(self):
        self.stop(self.first)
        holders = [
            name
            for name in self.others
            if self.forwarders[name].gauges()['registered']
        ]
        self.assertEqual(len(holders), 1)

    def test_flow_registered_while_the_balancer_stops_is_handed_over(self):
        self.leave(self.first)
        self.leave(self.second)
        self.flow = builders.flow(40002)
        self.packet = builders.datagram(self.flow, acknowledged=7)
        self.register(self.flow, 'side-2')
        self.run_for(1)
        for name in (self.first, self.second):
            self.network.meshes.pop(BALANCERS[name])
        self.assertEqual(self.forwarded(self.others[0]), {AGENTS['side-2']})

    def test_stopping_successor_passes_the_flows_on(self):
        """A balancer that does not know yet that its successor stops."""
        for name in self.others[:2]:
            self.leave(name)
        digest = digest_of(builders.flow(40003))
        (batch,) = flow_handover.batches(
            [digest], lambda _: 'side-2', lambda _: ['any']
        )
        for name in self.others[:2]:
            self.forwarders[name].on_frame(batch.message, BALANCERS[self.first])
        self.run_for(1)
        receivers = (self.first, self.second, self.others[2])
        counts = [
            self.forwarders[name].gauges()['registered'] for name in receivers
        ]
        # Of these, the former two keep the registered flow.
        self.assertGreaterEqual(sum(counts), 3)

    def test_flows_of_agents_without_flows_are_not_handed_over(self):
        for state in (members_const.STATE_VACANT, members_const.STATE_GONE):
            with self.subTest(state=state):
                self.setUp()
                agent = self.network.meshes[AGENTS['side-1']]
                agent.own_record.update(state, None)
                self.network.deliver()
                self.stop(self.first)
                for name in self.others:
                    registered = self.forwarders[name].gauges()['registered']
                    self.assertEqual(registered, 0)

    def test_carried_flow_of_an_agent_that_restarts_is_handed_over(self):
        """FLOW: it was too young to be registered when its agent stopped."""
        flow = builders.flow(40004)
        name = self.others[0]
        held = frame.pack_flows(frame.KIND_HELD, [flow])
        self.forwarders[name].on_frame(held, AGENTS['side-2'])
        self.start('side-2')
        self.stop(name)
        self.flow = flow
        self.packet = builders.datagram(flow, acknowledged=7)
        self.assertEqual(self.forwarded(self.others[1]), {AGENTS['side-2']})

    def test_wrong_hint_resets_nothing(self):
        """FLOW: the word of a registrar proves nothing."""
        name = self.others[0]
        self.flow = builders.flow(40005)
        (batch,) = flow_handover.batches(
            [digest_of(self.flow)], lambda _: 'unknown', lambda _: ['any']
        )
        for other in BALANCERS:
            self.forwarders[other].on_frame(
                batch.message, BALANCERS[self.first]
            )
        self.packet = builders.datagram(self.flow, acknowledged=7)
        with mock.patch.object(self.mesh(name), 'send_to_client') as reset:
            self.assertEqual(self.forwarded(name), set(AGENTS.values()))
        reset.assert_not_called()

    def test_handover_by_an_agent_is_ignored(self):
        (batch,) = flow_handover.batches(
            [1], lambda _: 'side-2', lambda _: ['any']
        )
        name = self.others[0]
        self.forwarders[name].on_frame(batch.message, AGENTS['side-1'])
        self.assertEqual(self.forwarders[name].gauges()['registered'], 0)

    def test_malformed_handover_is_refused(self):
        name = self.others[0]
        message = bytes((frame.KIND_HANDOVER,)) + b'\xff'
        self.mesh(name).on_datagram(message, (BALANCERS[self.first], 7000))
        self.assertEqual(self.forwarders[name].gauges()['registered'], 0)

    def test_rate_is_limited(self):
        """Packets of clients share the link."""
        flows = [builders.flow(port) for port in range(20_000)]
        for link, rate in ((0, handover.BYTES_PER_S), (400_000, 100_000)):
            with self.subTest(link=link):
                name = self.first
                self.start(name, link)
                for batch in frame.flow_batches(flows):
                    self.forwarders[name].on_frame(
                        frame.pack_flows(frame.KIND_REGISTER, batch),
                        AGENTS['side-1'],
                    )
                self.mesh(name).own_record.update('leaving', None)
                bursts = []
                with mock.patch.object(self.mesh(name), 'send') as send:
                    self.forwarders[name].leave()
                    while self.network.scheduled and len(bursts) < 2000:
                        bursts.append(
                            sum(
                                len(call.args[0])
                                for call in send.mock_calls
                                if call.args[0][0] == frame.KIND_HANDOVER
                            )
                        )
                        send.reset_mock()
                        self.network.run_scheduled()
                largest = rate * handover.TICK_S + 1_400
                self.assertGreater(sum(bursts), 30_000)
                self.assertLessEqual(max(bursts), largest)

    def test_many_balancers_that_start_are_served_in_turn(self):
        """Reading the directory for all at once would stop the process."""
        name = self.others[0]
        sender = self.forwarders[name]
        agent = AGENTS['side-1']
        self.start('side-1')
        sender.on_frame(
            frame.pack_flows(frame.KIND_REGISTER, [builders.flow(1)]), agent
        )
        with mock.patch.object(flow_handover, 'SLICE_FLOWS', 1):
            self.network.scheduled.clear()
            for number in range(30):
                sender.on_peer_started(
                    builders.record(
                        f'new-{number}',
                        kind=members.KIND_BALANCER,
                        service='',
                    )
                )
            self.assertEqual(len(self.network.scheduled), 1)
            for _ in range(200):
                self.assertLessEqual(len(self.network.scheduled), 1)
                self.network.run_scheduled()
            self.assertEqual(self.network.scheduled, [])
