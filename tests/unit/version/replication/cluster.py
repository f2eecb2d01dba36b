"""Four balancers and three agents over real sockets in one process."""

import asyncio
import unittest

from kumquatport import exceptions
from kumquatport.helpers import clock
from kumquatport.version.replication import const
from tests.builders import memberships

SEEDS = (f'{memberships.BALANCERS}.1:7000',)
SERVICE = 'storefront'
CUT_LINK_DELAY_S = 0.1


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
        for member in self.all_members():
            await self.async_start_member(member)
        await self.async_until(self.settled, 8)

    def all_members(self):
        return [*self.balancers, *self.agents]

    async def async_start_member(self, member):
        await member.start()
        self.addAsyncCleanup(member.stop)
        member.announcer.update(state='ready')

    async def async_until(self, check, seconds):
        """Wait for a condition; fail after a timeout."""
        deadline = clock.now() + seconds
        while not check():
            self.assertLess(clock.now(), deadline, 'took too long')
            await asyncio.sleep(0.02)

    def settled(self):
        return all(
            len(member.tables.table(SERVICE)) == len(self.agents)
            and member.freshness.is_fresh()
            and member.current.version
            for member in self.all_members()
        )

    def states(self, instance):
        records = [member.registry.get(instance) for member in self.balancers]
        return {record and record.state for record in records}

    async def async_crash(self, member):
        """Stop without announcing it."""
        member.announcer._own.superseded = True
        await member.stop()

    def cut(self, first, second):
        """Cut the link between two processes in both directions."""
        self._cut_direction(first, second._context.endpoint)
        self._cut_direction(second, first._context.endpoint)

    def heal(self):
        """Restore the links between all processes."""
        for member in self.all_members():
            member._client.__dict__.pop('async_ask', None)

    def _cut_direction(self, membership, endpoint):
        real_ask = membership._client.async_ask

        async def async_ask(target, message, timeout):
            if target == endpoint:
                await asyncio.sleep(min(CUT_LINK_DELAY_S, timeout))
                raise exceptions.PeerUnavailableError(target)
            return await real_ask(target, message, timeout)

        membership._client.async_ask = async_ask
