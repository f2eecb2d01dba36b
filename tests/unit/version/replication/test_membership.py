"""Memberships of several processes, over real sockets in one process."""

from kumquatport.connection.control import client, frame, traffic
from kumquatport.version import members
from kumquatport.version.replication import const, publish
from tests import network
from tests.builders import memberships
from tests.unit.version.replication import cluster

ELSEWHERE = network.held('elsewhere').prefix


class MembershipTest(cluster.ClusterCase):
    """What happens to records and documents."""

    async def test_document_reaches_all_and_stays(self):
        await self.platform.async_put(
            const.KEY_DOCUMENT, memberships.document(2, ['accra-a']), 1
        )
        await self.async_until(
            lambda: all(each.current.version == 2 for each in self.everyone()),
            4,
        )
        for each in self.everyone():
            self.assertEqual(len(each.tables.table(cluster.SERVICE)), 0)
            self.assertFalse(each.current.update(1, memberships.document(1)))

    async def test_document_published_in_an_outage(self):
        self.platform.down = True
        key = frame.control_key(memberships.KEY)
        asker = client.ControlClient(key, traffic.Traffic())
        await asker.start()
        self.addAsyncCleanup(asker.stop)
        held = await publish.async_publish(
            asker, cluster.SEEDS, 9, memberships.document(9)
        )
        self.assertEqual(held, 1)
        await self.async_until(
            lambda: all(each.current.version == 9 for each in self.everyone()),
            4,
        )

    async def test_stop_is_told_at_once(self):
        await self.agents[0].stop()
        await self.async_until(lambda: self.states('agent-1') == {'gone'}, 1)

    async def test_crash_lapses_and_return_refutes(self):
        await self.async_crash(self.agents[0])
        await self.async_until(lambda: self.states('agent-1') == {'lapsed'}, 6)
        back = memberships.agent(1, self.platform, cluster.SEEDS)
        await self.async_begin(back)
        await self.async_until(lambda: self.states('agent-1') == {'ready'}, 3)
        # Its clock gave the same incarnation: it went above what was held.
        self.assertGreater(back.announcer.own.sequence, 1)

    async def test_lapse_of_a_live_instance_is_refuted(self):
        held = self.balancers[0].registry.get('agent-1')
        self.balancers[0].registry.merge(held._replace(state='lapsed'))
        await self.async_until(
            lambda: all(
                each.registry.get('agent-1').sequence > held.sequence
                for each in self.balancers
            ),
            4,
        )
        self.assertEqual(self.states('agent-1'), {'ready'})

    async def test_agent_with_its_observers_gone_too_lapses(self):
        for each in (*self.balancers[:3], self.agents[0]):
            await self.async_crash(each)
        left = self.balancers[3].registry
        await self.async_until(
            lambda: left.get('agent-1').state == 'lapsed', 20
        )
        self.assertEqual(left.get('agent-2').state, 'ready')
        self.assertEqual(
            [one.instance for one in left.balancers()],
            [
                'balancer-4',
            ],
        )

    async def test_restart_in_an_outage_asks_peers(self):
        self.platform.down = True
        await self.balancers[1].stop()
        back = memberships.balancer(2, self.platform, cluster.SEEDS)
        self.assertIsNone(back.reported_version)
        await self.async_begin(back)
        self.assertTrue(await back.async_wait_ready(4))
        self.assertEqual(back.reported_version, 1)
        self.assertEqual(len(back.registry.agents(cluster.SERVICE)), 3)

    async def test_all_balancers_restart_in_an_outage(self):
        self.platform.down = True
        for each in self.balancers:
            await self.async_crash(each)
        self.balancers = [
            memberships.balancer(number, self.platform, cluster.SEEDS)
            for number in range(1, 5)
        ]
        for each in self.balancers:
            await self.async_begin(each)
        # Only the agents still hold the document.
        await self.async_until(self.settled, 15)

    async def test_comparison_mends_what_was_missed(self):
        missed = members.InstanceRecord(
            *self.agents[0].announcer.own[:-1], sequence=50
        )._replace(instance='agent-9')
        first = self.balancers[0]
        first._records.merge_without_broadcast((missed,))
        await self.async_until(lambda: self.states('agent-9') == {'ready'}, 10)

    async def test_younger_process_of_the_same_name_wins(self):
        young = memberships.agent(
            1, self.platform, cluster.SEEDS, net=ELSEWHERE
        )
        own = young.announcer.own
        young.announcer._own.publish(own._replace(incarnation=2))
        await self.async_begin(young)
        await self.async_until(lambda: self.agents[0].announcer.superseded, 4)
        held = self.balancers[0].registry.get('agent-1')
        self.assertEqual(held.address, f'{ELSEWHERE}.1')
