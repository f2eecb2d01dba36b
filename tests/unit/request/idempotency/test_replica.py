"""Tests of replicas after a loss of claims, and of full replicas."""

import asyncio
import time
import unittest

from kumquatport.request.idempotency import const
from tests.builders import claims as builders


class ReplicaTest(unittest.IsolatedAsyncioTestCase):
    """Successive generations of one hash slot."""

    async def asyncSetUp(self):
        self.replicas = builders.Replicas('first', 'second', 'third')
        self.first = self.replicas.generation(1, 'first')
        self.lost = self.replicas.generation(2, 'second', lost_at=time.time())

    async def asyncTearDown(self):
        await self.replicas.async_stop()

    async def test_lost_claims_stay_lost_in_the_next_generation(self):
        third = self.replicas.generation(3, 'third')
        self.replicas.adopt('second', self.lost, self.first)
        await asyncio.sleep(0.01)
        self.replicas.adopt('third', third, self.lost, self.first)
        await asyncio.sleep(0.01)
        verdict = await self.replicas.async_claim('third', 3)
        self.assertEqual(verdict, const.LOST)

    async def test_generation_declared_lost_grants_nothing(self):
        self.replicas.adopt('first', self.first)
        await asyncio.sleep(0.01)
        before = await self.replicas.async_claim('first', 1)
        self.replicas.adopt('first', self.lost, self.first)
        after = await self.replicas.async_claim('first', 1, b'two')
        verdicts = (before, after)
        self.assertEqual(verdicts, (const.GRANTED, const.STALE))

    async def test_full_replica_still_knows_its_keys(self):
        self.replicas.adopt('first', self.first)
        await asyncio.sleep(0.01)
        await self.replicas.async_claim('first', 1)
        await self.replicas.async_fill('first', 1)
        repeat = await self.replicas.async_claim('first', 1, b'two')
        self.assertEqual(repeat, const.HELD)
