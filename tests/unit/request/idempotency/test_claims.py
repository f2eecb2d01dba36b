"""Tests of claims under restarts, handovers and lost messages."""

import asyncio
import collections
import contextlib
import itertools
import random
import time
import unittest
from unittest import mock

from kumquatport import exceptions
from kumquatport.helpers import clock
from kumquatport.request import claims
from kumquatport.request.idempotency import const, coordinator
from tests import clocks
from tests.builders import claims as builders

RECEIPT = claims.Answer(201, (), b'receipt')
ANSWERED = claims.Settlement(claims.SETTLED_ANSWERED, RECEIPT)
EPOCH_S = 1_800_000_000
NOT_RUN = claims.Settlement(claims.SETTLED_NOT_RUN, None)
SEED = 20261204
SEEDS = 10


def _without_sockets():
    return clocks.SimulatedLoop(packet_wait_s=0)


@contextlib.contextmanager
def _clocks_of(loop):
    """Patch all clocks of this process to follow a simulated loop."""
    with (
        mock.patch('time.clock_gettime', lambda _which: loop.time()),
        mock.patch('time.monotonic', loop.time),
        mock.patch('time.time', lambda: EPOCH_S + loop.time()),
    ):
        yield


class ClaimsTest(unittest.IsolatedAsyncioTestCase):
    """A request with a key runs at most once, on whichever agent."""

    async def asyncSetUp(self):
        self.service = builders.Service(initial_agents=5, seed=SEED)
        await self.service.async_start()
        self.service.change_roster()
        self.service.distribute_roster()
        await asyncio.sleep(0.05)

    async def asyncTearDown(self):
        await self.service.async_stop()

    async def test_repeat_elsewhere_gets_stored_answer(self):
        verdict = await self.service.async_claim('agent-0', 'key')
        self.assertIsNone(verdict.answer)
        await verdict.async_settle(ANSWERED)
        repeat = await self.service.async_claim('agent-3', 'key')
        self.assertEqual(repeat.answer, RECEIPT)

    async def test_repeat_during_first_run_is_refused(self):
        await self.service.async_claim('agent-0', 'key')
        with self.assertRaises(coordinator.KeyInUseError):
            await self.service.async_claim('agent-1', 'key')

    async def test_request_that_did_not_run_may_run_elsewhere(self):
        verdict = await self.service.async_claim('agent-0', 'key')
        await verdict.async_settle(NOT_RUN)
        again = await self.service.async_claim('agent-1', 'key')
        self.assertIsNone(again.answer)

    async def test_caller_that_left_during_claim_holds_no_key(self):
        for number in range(20):
            key = f'key-{number}'
            cancelled = asyncio.create_task(
                self.service.async_claim('agent-0', key)
            )
            await asyncio.sleep(0.0021)
            if cancelled.done():
                # On a busy host it may be granted before it is cancelled.
                continue
            cancelled.cancel()
            await asyncio.sleep(0.5)
            verdict = await self.service.async_claim('agent-1', key)
            self.assertIsNone(verdict.answer)
            return
        self.fail('every claim was granted before it was cancelled')

    async def test_key_of_another_request_is_refused(self):
        verdict = await self.service.async_claim('agent-0', 'key')
        await verdict.async_settle(ANSWERED)
        member = self.service.agents['agent-1']
        deadline_at = asyncio.get_running_loop().time() + 1
        with self.assertRaises(coordinator.KeyReusedError):
            await member.coordinator.async_claim(
                builders.head('key', '/other'),
                deadline_at,
            )

    async def test_claims_survive_crash_of_any_one_replica(self):
        verdict = await self.service.async_claim('agent-0', 'key')
        await verdict.async_settle(ANSWERED)
        for name in ('agent-1', 'agent-2', 'agent-3', 'agent-4'):
            await self.service.async_kill(name)
            await self.service.async_join(name)
            self.assertTrue(self.service.change_roster())
            self.service.distribute_roster()
            await self.service.async_wait_handover()
        repeat = await self.service.async_claim('agent-2', 'key')
        self.assertEqual(repeat.answer, RECEIPT)

    async def test_key_lost_with_majority_is_refused(self):
        await self.service.async_claim('agent-0', 'key')
        for name in ('agent-1', 'agent-2', 'agent-3', 'agent-4'):
            await self.service.async_kill(name)
            await self.service.async_join(name)
        self.service.change_roster()
        self.service.distribute_roster()
        await asyncio.sleep(0.1)
        with self.assertRaises(exceptions.KumquatportError):
            await self.service.async_claim('agent-1', 'key')

    async def test_suspended_replica_grants_nothing_until_confirmed(self):
        for member in self.service.agents.values():
            member.replica._last_tick_at -= const.MAX_TICK_GAP_S + 1
        with self.assertRaises(coordinator.ClaimsUnavailableError):
            await self.service.async_claim('agent-0', 'key')
        for member in self.service.agents.values():
            member.replica.confirm_roster()
        verdict = await self.service.async_claim('agent-0', 'key')
        self.assertIsNone(verdict.answer)

    async def test_suspended_host_grants_nothing(self):
        later = time.clock_gettime(time.CLOCK_BOOTTIME) + const.MAX_TICK_GAP_S
        with mock.patch('time.clock_gettime', return_value=later + 1):
            with self.assertRaises(coordinator.ClaimsUnavailableError):
                await self.service.async_claim('agent-0', 'key')

    async def test_host_suspended_in_each_round_uses_no_grant(self):
        # The replicas already hold their clock; this patches the claimant's.
        jumps = itertools.count(0, const.MAX_ROUND_S + 1)
        with mock.patch.object(clock, 'now', side_effect=jumps):
            with self.assertRaises(coordinator.ClaimsUnavailableError):
                await self.service.async_claim('agent-0', 'key')


class RandomFaultsTest(unittest.TestCase):
    """Random restarts, roster changes and lost messages, many callers.

    Time is simulated: in real time, on a busy host, hardly any claim would
    be granted between two faults.
    """

    def test_no_key_runs_twice(self):
        for seed in range(SEED, SEED + SEEDS):
            with self.subTest(seed=seed):
                with asyncio.Runner(loop_factory=_without_sockets) as runner:
                    with _clocks_of(runner.get_loop()):
                        runner.run(self._async_one(seed))

    async def _async_one(self, seed):
        self.service = builders.Service(initial_agents=7, seed=seed, loss=0.05)
        await self.service.async_start()
        self.service.change_roster()
        self.service.distribute_roster()
        await asyncio.sleep(0.05)
        self.runs = collections.Counter()
        self.random = random.Random(seed)
        callers = [self._async_caller(number) for number in range(40)]
        self.is_over = False
        faults = asyncio.create_task(self._async_faults())
        await asyncio.gather(*callers)
        # The task ends by the flag: stopping a service may swallow a
        # cancellation, and a later fault would kill members being stopped.
        self.is_over = True
        await faults
        await self.service.async_stop()
        duplicated = [key for key, count in self.runs.items() if count > 1]
        self.assertEqual(duplicated, [])
        self.assertGreater(len(self.runs), 20)

    async def _async_caller(self, number):
        for order in range(6):
            key = f'{number // 2}-{order}'
            for _ in range(3):
                await self._async_try(key)

    async def _async_try(self, key):
        name = self.random.choice(tuple(self.service.agents))
        try:
            verdict = await self.service.async_claim(name, key)
        except exceptions.KumquatportError:
            return
        if verdict.answer is not None:
            return
        await asyncio.sleep(self.random.random() / 100)
        if self.random.random() < 0.2:
            await verdict.async_settle(NOT_RUN)
            return
        self.runs[key] += 1
        await verdict.async_settle(ANSWERED)

    async def _async_faults(self):
        while not self.is_over:
            name = self.random.choice(tuple(self.service.agents))
            await self.service.async_kill(name)
            await self.service.async_join(name)
            self.service.change_roster(
                may_lose_claims=self.random.random() < 0.1
            )
            self.service.distribute_roster(self.random.random())
            await asyncio.sleep(self.random.random() / 2)
