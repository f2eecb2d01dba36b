"""Memberships of several instances over real sockets in one process."""

from kumquatport.connection.control import client, frame, traffic
from kumquatport.version import members
from kumquatport.version.replication import const, publish
from tests import network
from tests.builders import memberships
from tests.unit.version.replication import cluster

ELSEWHERE = network.claim_network('elsewhere').prefix


class MembershipTest(cluster.ClusterCase):
    """Replication of records and documents, and failure detection."""

    async def test_document_reaches_all_and_is_not_replaced_by_older(self):
        await self.platform.async_put(
            const.KEY_DOCUMENT, memberships.document(2, ['accra-a']), 1
        )
        await self.async_until(
            lambda: all(
                member.current.version == 2 for member in self.all_members()
            ),
            4,
        )
        for member in self.all_members():
            self.assertEqual(len(member.tables.table(cluster.SERVICE)), 0)
            self.assertFalse(member.current.update(1, memberships.document(1)))

    async def test_document_published_in_an_outage(self):
        self.platform.down = True
        key = frame.control_key(memberships.KEY)
        control_client = client.ControlClient(key, traffic.Traffic())
        await control_client.start()
        self.addAsyncCleanup(control_client.stop)
        held = await publish.async_publish(
            control_client, cluster.SEEDS, 9, memberships.document(9)
        )
        self.assertEqual(held, 1)
        await self.async_until(
            lambda: all(
                member.current.version == 9 for member in self.all_members()
            ),
            4,
        )

    async def test_stop_is_announced_immediately(self):
        await self.agents[0].stop()
        await self.async_until(lambda: self.states('agent-1') == {'gone'}, 1)

    async def test_crash_lapses_and_restart_refutes(self):
        await self.async_crash(self.agents[0])
        await self.async_until(lambda: self.states('agent-1') == {'lapsed'}, 6)
        restarted = memberships.agent(1, self.platform, cluster.SEEDS)
        await self.async_start_member(restarted)
        await self.async_until(lambda: self.states('agent-1') == {'ready'}, 3)
        # The incarnation is the same, so its record needs a higher sequence to
        # outrank the known one.
        self.assertGreater(restarted.announcer.own.sequence, 1)

    async def test_lapse_of_a_live_instance_is_refuted(self):
        held = self.balancers[0].registry.get('agent-1')
        self.balancers[0].registry.merge(held._replace(state='lapsed'))
        await self.async_until(
            lambda: all(
                member.registry.get('agent-1').sequence > held.sequence
                for member in self.balancers
            ),
            4,
        )
        self.assertEqual(self.states('agent-1'), {'ready'})

    async def test_agent_with_its_observers_gone_too_lapses(self):
        for member in (*self.balancers[:3], self.agents[0]):
            await self.async_crash(member)
        remaining = self.balancers[3].registry
        await self.async_until(
            lambda: remaining.get('agent-1').state == 'lapsed', 20
        )
        self.assertEqual(remaining.get('agent-2').state, 'ready')
        self.assertEqual(
            [record.instance for record in remaining.balancers()],
            [
                'balancer-4',
            ],
        )

    async def test_restart_in_an_outage_asks_peers(self):
        self.platform.down = True
        await self.balancers[1].stop()
        restarted = memberships.balancer(2, self.platform, cluster.SEEDS)
        self.assertIsNone(restarted.reported_version)
        await self.async_start_member(restarted)
        self.assertTrue(await restarted.async_wait_ready(4))
        self.assertEqual(restarted.reported_version, 1)
        self.assertEqual(len(restarted.registry.agents(cluster.SERVICE)), 3)

    async def test_all_balancers_restart_in_an_outage(self):
        self.platform.down = True
        for member in self.balancers:
            await self.async_crash(member)
        self.balancers = [
            memberships.balancer(number, self.platform, cluster.SEEDS)
            for number in range(1, 5)
        ]
        for member in self.balancers:
            await self.async_start_member(member)
        # Only the agents still have the document.
        await self.async_until(self.settled, 15)

    async def test_anti_entropy_repairs_missed_records(self):
        missed = members.InstanceRecord(
            *self.agents[0].announcer.own[:-1], sequence=50
        )._replace(instance='agent-9')
        first = self.balancers[0]
        first._record_broadcaster.merge_without_broadcast((missed,))
        await self.async_until(lambda: self.states('agent-9') == {'ready'}, 10)

    async def test_newer_process_with_the_same_name_supersedes(self):
        newer = memberships.agent(
            1, self.platform, cluster.SEEDS, net=ELSEWHERE
        )
        own = newer.announcer.own
        newer.announcer._own.publish(own._replace(incarnation=2))
        await self.async_start_member(newer)
        await self.async_until(lambda: self.agents[0].announcer.superseded, 4)
        held = self.balancers[0].registry.get('agent-1')
        self.assertEqual(held.address, f'{ELSEWHERE}.1')
