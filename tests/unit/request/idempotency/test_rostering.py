"""Tests of how services change their rosters on a shared platform."""

import asyncio
import collections
import time
import unittest
from unittest import mock

from kumquatport import exceptions, objects
from kumquatport.request.idempotency import (
    const,
    roster,
    roster_manager,
)
from tests.builders import members as builders

SERVICES = 60
DOMAINS = ('duluth', 'kenosha', 'saginaw')
JITTER_S = 6.0


class Platform:
    """Objects in memory; counts writes by second."""

    def __init__(self):
        self.objects = {}
        self.writes = collections.Counter()
        self.down = False

    async def async_get(self, key):
        self._check()
        if key not in self.objects:
            raise exceptions.ObjectMissingError(key)
        return self.objects[key]

    async def async_put(self, key, value, expected):
        self._check()
        held = self.objects.get(key)
        version = held.version if held else 0
        if expected != version:
            raise exceptions.VersionConflictError(key)
        self.writes[int(time.monotonic())] += 1
        self.objects[key] = objects.StoredObject(key, version + 1, value, False)
        return version + 1

    def _check(self):
        if self.down:
            raise exceptions.PlatformUnavailableError('down')


class ProposalTest(unittest.TestCase):
    """Only a departure that is known counts, not an absence."""

    def setUp(self):
        self.eligible = [
            roster.Candidate(
                roster.ReplicaId(f'agent-{number}', 1, ''), DOMAINS[number % 3]
            )
            for number in range(9)
        ]
        wanted = roster.Requirements(self.eligible, 0, False, frozenset())
        self.roster = roster.propose(roster.NO_ROSTER, 'desk', wanted)

    def test_unknown_replicas_stay(self):
        seen = self.eligible[3:]
        unknown = frozenset(one.replica for one in self.eligible[:3])
        wanted = roster.Requirements(seen, 0, True, frozenset(), unknown)
        self.assertIsNone(roster.propose(self.roster, 'desk', wanted))

    def test_departed_replicas_are_replaced(self):
        wanted = roster.Requirements(self.eligible[3:], 0, True, frozenset())
        proposed = roster.propose(self.roster, 'desk', wanted)
        gone = {one.replica for one in self.eligible[:3]}
        for generations in proposed.slots:
            self.assertFalse(gone & set(generations[0].replicas))

    def test_leaving_replicas_hand_over_and_lose_nothing(self):
        present = self.roster.slots[0][0].replicas
        stay = [one for one in self.eligible if one.replica not in present[:2]]
        leaving = frozenset(present[:2])
        wanted = roster.Requirements(
            stay, 5, False, frozenset(), frozenset(), leaving
        )
        latest = roster.propose(self.roster, 'desk', wanted).slots[0][0]
        self.assertFalse(leaving & set(latest.replicas))
        self.assertEqual(latest.lost_at, 0)


class RosteringTest(unittest.IsolatedAsyncioTestCase):
    """Rosters follow the members without a burst at the platform."""

    async def asyncSetUp(self):
        self.platform = Platform()
        self.out = set()
        self.records = {}
        self.rosters = [
            self.make(f'service-{number}') for number in range(SERVICES)
        ]
        jitter = mock.patch.object(const, 'ROSTER_ROUTINE_JITTER_S', JITTER_S)
        jitter.start()
        self.addCleanup(jitter.stop)
        for one in self.rosters:
            await one.start()
        await self.settle(
            lambda: all(one.current.slots for one in self.rosters)
        )

    async def asyncTearDown(self):
        for one in self.rosters:
            await one.stop()

    def make(self, service):
        self.records[service] = tuple(
            builders.agent(
                instance=f'{service}-{number}',
                service=service,
                failure_domain=DOMAINS[number % 3],
                state='ready',
            )
            for number in range(6)
        )
        first = self.records[service][0]
        own = roster.ReplicaId(
            first.instance,
            first.incarnation,
            f'{first.address}:{first.control_port}',
        )
        local = mock.Mock(
            replica_id=own, is_suspended=False, stalled_slots=frozenset()
        )
        return roster_manager.RosterManager(
            roster_manager.Dependencies(
                service,
                lambda: self.records[service],
                self.record_of,
                lambda: self.out,
                self.platform,
                mock.AsyncMock(side_effect=exceptions.PeerUnavailableError),
            ),
            local,
        )

    def record_of(self, instance):
        service = instance.rsplit('-', 1)[0]
        for record in self.records[service]:
            if record.instance == instance:
                return record
        return None

    async def settle(self, is_done, timeout_s=15):
        async with asyncio.timeout(timeout_s):
            while not is_done():
                await asyncio.sleep(0.05)

    def is_clear_of(self, domain):
        names = {
            record.instance
            for records in self.records.values()
            for record in records
            if record.failure_domain == domain
        }
        return all(
            kept.instance not in names
            for one in self.rosters
            for generations in one.current.slots
            for kept in generations[0].replicas
        )

    async def test_domain_taken_out_spreads_its_writes(self):
        self.platform.writes.clear()
        self.out.add('saginaw')
        await self.settle(lambda: self.is_clear_of('saginaw'))
        self.assertEqual(sum(self.platform.writes.values()), SERVICES)
        # Evenly it would be 10 in each second.
        self.assertLess(max(self.platform.writes.values()), SERVICES / 2)

    async def test_outage_is_waited_for_and_not_hammered(self):
        self.platform.down = True
        self.out.add('saginaw')
        await asyncio.sleep(2)
        self.assertFalse(self.is_clear_of('saginaw'))
        self.platform.down = False
        await self.settle(lambda: self.is_clear_of('saginaw'), 40)
