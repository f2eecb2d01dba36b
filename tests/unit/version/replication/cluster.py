"""Four balancers and three agents over real sockets in one process."""

import asyncio
import unittest

from kumquatport import exceptions
from kumquatport.helpers import clock
from kumquatport.version.replication import const
from tests.builders import memberships

SEEDS = (f'{memberships.BALANCERS}.1:7000',)
SERVICE = 'storefront'
LOST_S = 0.1


class ClusterCase(unittest.IsolatedAsyncioTestCase):
    """Four balancers, three agents."""

    async def asyncSetUp(self):
        self.platform = memberships.MemoryPlatform()
        await self.platform.async_put(
            const.KEY_DOCUMENT, memberships.document(1), 0
        )
        self.balancers = [
            memberships.balancer(number, self.platform, SEEDS)
            for number in range(1, 5)
        ]
        self.agents = [
            memberships.agent(number, self.platform, SEEDS)
            for number in range(1, 4)
        ]
        for each in self.everyone():
            await self.async_begin(each)
        await self.async_until(self.settled, 8)

    def everyone(self):
        return [*self.balancers, *self.agents]

    async def async_begin(self, each):
        await each.start()
        self.addAsyncCleanup(each.stop)
        each.announcer.update(state='ready')

    async def async_until(self, check, seconds):
        """Wait for a condition; fail when it takes longer."""
        deadline = clock.now() + seconds
        while not check():
            self.assertLess(clock.now(), deadline, 'took too long')
            await asyncio.sleep(0.02)

    def settled(self):
        return all(
            len(each.tables.table(SERVICE)) == len(self.agents)
            and each.freshness.is_fresh()
            and each.current.version
            for each in self.everyone()
        )

    def states(self, instance):
        held = [each.registry.get(instance) for each in self.balancers]
        return {record and record.state for record in held}

    async def async_crash(self, each):
        """Stop without a word."""
        each.announcer._own.superseded = True
        await each.stop()

    def cut(self, one, other):
        """Have two processes no longer reach each other, both ways."""
        self._cut_way(one, other._context.endpoint)
        self._cut_way(other, one._context.endpoint)

    def heal(self):
        """Let everybody reach everybody again."""
        for each in self.everyone():
            each._client.__dict__.pop('async_ask', None)

    def _cut_way(self, asker, endpoint):
        real_ask = asker._client.async_ask

        async def async_ask(target, message, timeout):
            if target == endpoint:
                await asyncio.sleep(min(LOST_S, timeout))
                raise exceptions.PeerUnavailableError(target)
            return await real_ask(target, message, timeout)

        asker._client.async_ask = async_ask
