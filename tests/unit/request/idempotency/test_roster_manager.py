"""Tests of roster proposals and of roster changes on the platform."""

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
    """Objects in memory; counts writes per second."""

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
        stored = self.objects.get(key)
        version = stored.version if stored else 0
        if expected != version:
            raise exceptions.VersionConflictError(key)
        self.writes[int(time.monotonic())] += 1
        self.objects[key] = objects.StoredObject(key, version + 1, value, False)
        return version + 1

    def _check(self):
        if self.down:
            raise exceptions.PlatformUnavailableError('down')


class ProposalTest(unittest.TestCase):
    """Only replicas that are known to be gone are replaced."""

    def setUp(self):
        self.candidates = [
            roster.Candidate(
                roster.ReplicaId(f'agent-{number}', 1, ''), DOMAINS[number % 3]
            )
            for number in range(9)
        ]
        requirements = roster.Requirements(
            self.candidates, 0, False, frozenset()
        )
        self.roster = roster.propose(roster.NO_ROSTER, 'desk', requirements)

    def test_unknown_replicas_stay(self):
        seen = self.candidates[3:]
        unknown = frozenset(one.replica for one in self.candidates[:3])
        requirements = roster.Requirements(seen, 0, True, frozenset(), unknown)
        self.assertIsNone(roster.propose(self.roster, 'desk', requirements))

    def test_departed_replicas_are_replaced(self):
        requirements = roster.Requirements(
            self.candidates[3:], 0, True, frozenset()
        )
        proposed = roster.propose(self.roster, 'desk', requirements)
        gone = {one.replica for one in self.candidates[:3]}
        for generations in proposed.slots:
            self.assertFalse(gone & set(generations[0].replicas))

    def test_leaving_replicas_hand_over_and_lose_nothing(self):
        current = self.roster.slots[0][0].replicas
        stay = [
            one for one in self.candidates if one.replica not in current[:2]
        ]
        leaving = frozenset(current[:2])
        requirements = roster.Requirements(
            stay, 5, False, frozenset(), frozenset(), leaving
        )
        latest = roster.propose(self.roster, 'desk', requirements).slots[0][0]
        self.assertFalse(leaving & set(latest.replicas))
        self.assertEqual(latest.lost_at, 0)


class RosterManagerTest(unittest.IsolatedAsyncioTestCase):
    """Rosters follow the members without a burst of writes."""

    async def asyncSetUp(self):
        self.platform = Platform()
        self.domains_out = set()
        self.records = {}
        self.managers = [
            self.make_manager(f'service-{number}') for number in range(SERVICES)
        ]
        jitter = mock.patch.object(const, 'ROSTER_ROUTINE_JITTER_S', JITTER_S)
        jitter.start()
        self.addCleanup(jitter.stop)
        for manager in self.managers:
            await manager.start()
        await self.wait_until(
            lambda: all(manager.current.slots for manager in self.managers)
        )

    async def asyncTearDown(self):
        for manager in self.managers:
            await manager.stop()

    def make_manager(self, service):
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
                self.find_record,
                lambda: self.domains_out,
                self.platform,
                mock.AsyncMock(side_effect=exceptions.PeerUnavailableError),
            ),
            local,
        )

    def find_record(self, instance):
        service = instance.rsplit('-', 1)[0]
        for record in self.records[service]:
            if record.instance == instance:
                return record
        return None

    async def wait_until(self, is_done, timeout_s=15):
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
            replica.instance not in names
            for manager in self.managers
            for generations in manager.current.slots
            for replica in generations[0].replicas
        )

    async def test_domain_taken_out_spreads_writes(self):
        self.platform.writes.clear()
        self.domains_out.add('saginaw')
        await self.wait_until(lambda: self.is_clear_of('saginaw'))
        self.assertEqual(sum(self.platform.writes.values()), SERVICES)
        # An even spread would be 10 writes per second.
        self.assertLess(max(self.platform.writes.values()), SERVICES / 2)

    async def test_roster_is_changed_after_an_outage(self):
        self.platform.down = True
        self.domains_out.add('saginaw')
        await asyncio.sleep(2)
        self.assertFalse(self.is_clear_of('saginaw'))
        self.platform.down = False
        await self.wait_until(lambda: self.is_clear_of('saginaw'), 40)
