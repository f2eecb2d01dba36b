"""Acceptance under every mix of faults: what is told is what is true."""

import asyncio
import collections
import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies

from kumquatport import exceptions
from kumquatport.version import acceptance, document
from kumquatport.version.acceptance import accept, audit, const
from tests.builders import documents
from tests.standins import memory_platform

PATIENCE_S = 0.01
PAUSE_S = 0.0005


def _draft(base_version: int = 0) -> document.Document:
    entry = documents.document(
        'accra',
        ('accra-a', 'accra-b'),
        [documents.service('storefront', '127.30.0.1:4433', 20001)],
    )
    parsed = document.parse(documents.encode(entry))
    return document.draft(parsed, base_version)


def _other(version: int, value: bytes) -> bytes:
    """Return another operator's document on top of a version."""
    held = document.parse(value) if value else document.empty()
    in_force = acceptance.DocumentInForce(version, held, value)
    changed = document.with_submission(held, 'kofi', '')
    return document.encode(accept.prepare(in_force, changed))


async def _async_told(
    platform: memory_platform.MemoryPlatform, identifier: str
) -> str:
    """Accept one document and return what was told."""
    try:
        accepted = await acceptance.async_accept(
            platform, _draft(), acceptance.async_skip_check, identifier
        )
    except acceptance.AcceptanceConflictError:
        return 'conflict'
    except acceptance.AcceptanceUnknownError:
        return 'unknown'
    except exceptions.PlatformUnavailableError:
        return 'unavailable'
    return f'accepted {accepted.version}'


def _truth(
    platform: memory_platform.MemoryPlatform, identifier: str
) -> list[int]:
    """Return the versions that the attempt got."""
    return [
        version
        for value, version in platform.effective.items()
        if document.parse(value)['identifier'] == identifier
    ]


class FaultsTest(unittest.TestCase):
    """Scripts of faults, drawn by hypothesis."""

    def setUp(self):
        for name, short in (
            ('READ_RETRY_WINDOW_S', PATIENCE_S),
            ('RESOLVE_RETRY_WINDOW_S', PATIENCE_S),
            ('FIRST_RETRY_DELAY_S', PAUSE_S),
            ('MAX_RETRY_DELAY_S', PAUSE_S),
        ):
            patch = mock.patch.object(const, name, short)
            patch.start()
            self.addCleanup(patch.stop)

    def test_told_is_true(self):
        told_counts = collections.Counter()

        @hypothesis.settings(
            max_examples=400, deadline=None, database=None, derandomize=True
        )
        @hypothesis.given(
            strategies.lists(
                strategies.sampled_from(memory_platform.FAULTS), max_size=8
            )
        )
        def check(script):
            platform = memory_platform.MemoryPlatform(script, _other)
            told = asyncio.run(_async_told(platform, 'attempt'))
            for _ in range(2):
                platform.deliver_late()
                platform.put_other()
            truth = _truth(platform, 'attempt')
            told_counts[told.split(' ')[0]] += 1
            self.assertLessEqual(len(truth), 1)
            if told.startswith('accepted'):
                self.assertEqual(told, f'accepted {truth[0]}')
            elif told == 'conflict':
                self.assertEqual(truth, [])

        check()
        self.assertEqual({'accepted', 'conflict', 'unknown'}, set(told_counts))

    def test_fresh_attempt_unsent(self):
        script = (memory_platform.DONE, memory_platform.UNSENT)
        platform = memory_platform.MemoryPlatform(script)
        told = asyncio.run(_async_told(platform, ''))
        self.assertEqual(told, 'unavailable')
        self.assertEqual(platform.effective, {})

    def test_unreadable_document_on_top(self):
        platform = memory_platform.MemoryPlatform(
            (memory_platform.DONE, memory_platform.OTHER_AFTER),
            lambda _version, _value: b'{}',
        )
        told = asyncio.run(_async_told(platform, ''))
        self.assertEqual(told, 'unknown')

    def test_repeated_attempt_takes_effect_once(self):
        platform = memory_platform.MemoryPlatform((), _other)
        first = asyncio.run(_async_told(platform, 'attempt'))
        platform.put_other()
        second = asyncio.run(_async_told(platform, 'attempt'))
        self.assertEqual((first, second), ('accepted 1', 'accepted 1'))
        self.assertEqual(_truth(platform, 'attempt'), [1])


class AskTest(unittest.IsolatedAsyncioTestCase):
    """Questions about attempts of the past."""

    async def asyncSetUp(self):
        self.platform = memory_platform.MemoryPlatform((), _other)
        accepted = await acceptance.async_accept(
            self.platform, _draft(), acceptance.async_skip_check, 'attempt'
        )
        self.accepted = accepted

    async def test_still_at_base(self):
        with self.assertRaises(acceptance.AcceptanceUnknownError):
            await acceptance.async_read_outcome(self.platform, 'next', 1)

    async def test_other_on_base(self):
        self.platform.put_other()
        with self.assertRaises(acceptance.AcceptanceConflictError):
            await acceptance.async_read_outcome(self.platform, 'next', 1)

    async def test_beyond_lineage(self):
        await acceptance.async_record(self.platform, self.accepted)
        for _ in range(40):
            self.platform.put_other()
        found = await acceptance.async_read_outcome(self.platform, 'attempt', 0)
        self.assertEqual((found.version, found.latest_version), (1, 41))
        with self.assertRaises(acceptance.AcceptanceConflictError):
            await acceptance.async_read_outcome(self.platform, 'other', 0)

    async def test_beyond_lineage_without_audit(self):
        for _ in range(40):
            self.platform.put_other()
        with self.assertRaises(acceptance.AcceptanceUnknownError):
            await acceptance.async_read_outcome(self.platform, 'attempt', 0)


class AuditTest(unittest.IsolatedAsyncioTestCase):
    """Entries of acceptances."""

    async def test_missing_entry_filled_in(self):
        platform = memory_platform.MemoryPlatform()
        first = await acceptance.async_accept(
            platform, _draft(), acceptance.async_skip_check
        )
        second = await acceptance.async_accept(
            platform, _draft(1), acceptance.async_skip_check
        )
        await acceptance.async_record(platform, second)
        entry = await audit.async_read_entry(platform, 1)
        self.assertEqual(entry['identifier'], first.identifier)
        self.assertIsNone(entry['changes'])
        await acceptance.async_record(platform, first)
        entry = await audit.async_read_entry(platform, 1)
        self.assertTrue(entry['changes'])

    async def test_history(self):
        platform = memory_platform.MemoryPlatform()
        for base in range(3):
            accepted = await acceptance.async_accept(
                platform, _draft(base), acceptance.async_skip_check
            )
        await acceptance.async_record(platform, accepted)
        in_force = await acceptance.async_read_in_force(platform)
        found = await acceptance.async_read_history(platform, in_force)
        self.assertEqual([entry['version'] for entry in found], [3, 2])
