"""TLS material: checks, replacement, no key in any text."""

import asyncio
import datetime
import pathlib
import ssl
import tempfile
import unittest
from unittest import mock

from cryptography.hazmat.primitives import serialization

from kumquatport import exceptions
from kumquatport.process.settings import models
from kumquatport.process.tls import const as tls_const
from kumquatport.process.tls import context, material, source, watcher
from tests.builders import certificates

REASONS = exceptions.TlsReason


class MaterialCase(unittest.IsolatedAsyncioTestCase):
    """Has a pair in files."""

    def setUp(self):
        held = tempfile.TemporaryDirectory()
        self.addCleanup(held.cleanup)
        folder = pathlib.Path(held.name)
        self.certificate = folder / 'cert.pem'
        self.key = folder / 'key.pem'
        self.settings = models.TlsSettings(str(self.certificate), str(self.key))
        self.pair = self.write()

    def write(self):
        pair = certificates.self_signed()
        self.certificate.write_bytes(_certificate_pem(pair))
        self.key.write_bytes(_key_pem(pair))
        return pair

    def refuse(self):
        with self.assertRaises(exceptions.TlsMaterialError) as caught:
            source.load_from_files(self.settings)
        self.assertNotIn('BEGIN', str(caught.exception))
        return caught.exception.reason


class CheckTest(MaterialCase):
    """What is refused and why."""

    def test_good(self):
        loaded = source.load_from_files(self.settings)
        self.assertEqual(loaded.certificate, self.pair.certificate)
        self.assertNotIn('BEGIN', repr(loaded))

    def test_missing(self):
        self.key.unlink()
        self.assertEqual(self.refuse(), REASONS.UNREADABLE)

    def test_malformed(self):
        good = self.certificate.read_bytes()
        for text in (b'', b'x', good[:200], self.key.read_bytes()):
            self.certificate.write_bytes(text)
            self.assertEqual(self.refuse(), REASONS.MALFORMED)
        self.certificate.write_bytes(good)
        self.key.write_bytes(good)
        self.assertEqual(self.refuse(), REASONS.MALFORMED)

    def test_encrypted_key(self):
        pem = self.pair.private_key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.BestAvailableEncryption(b'secret'),
        )
        self.key.write_bytes(pem)
        self.assertEqual(self.refuse(), REASONS.MALFORMED)

    def test_mismatch(self):
        self.key.write_bytes(_key_pem(certificates.self_signed()))
        self.assertEqual(self.refuse(), REASONS.MISMATCH)

    def test_dates(self):
        pem = material.Pem(
            self.certificate.read_bytes(),
            models.Secret(self.key.read_bytes()),
        )
        now = datetime.datetime.now(datetime.UTC)
        for days, reason in (
            (-2, REASONS.NOT_YET_VALID),
            (2, REASONS.EXPIRED),
        ):
            with self.assertRaises(exceptions.TlsMaterialError) as caught:
                material.parse(
                    pem, self.settings, now + datetime.timedelta(days=days)
                )
            self.assertEqual(caught.exception.reason, reason)

    async def test_platform_objects(self):
        objects = {
            'tls/cert': self.certificate.read_bytes(),
            'tls/key': self.key.read_bytes(),
        }
        settings = models.TlsSettings('platform:tls/cert', 'platform:tls/key')

        async def async_read(key):
            if key not in objects:
                raise exceptions.ObjectMissingError(key)
            return objects[key]

        self.assertIsNone(source.load_from_files(settings))
        loaded = await source.async_load(settings, async_read)
        self.assertEqual(loaded.certificate, self.pair.certificate)
        del objects['tls/key']
        with self.assertRaises(exceptions.TlsMaterialError):
            await source.async_load(settings, async_read)


class WatcherTest(MaterialCase):
    """Replacement while running."""

    async def asyncSetUp(self):
        self.loaded = asyncio.Queue()
        self.watcher = watcher.Watcher(
            self.settings, self.loaded.put_nowait, poll_s=0.02
        )

    async def test_replacement_is_told_and_bad_material_is_not(self):
        await self.watcher.start()
        self.addAsyncCleanup(self.watcher.stop)
        first = await self.loaded.get()
        self.assertEqual(first.certificate, self.pair.certificate)
        self.key.write_bytes(b'half-written')
        await asyncio.sleep(0.1)
        self.assertTrue(self.loaded.empty())
        pair = self.write()
        second = await asyncio.wait_for(self.loaded.get(), 5)
        self.assertEqual(second.certificate, pair.certificate)
        self.assertFalse(self.watcher.crashed)

    async def test_bad_material_at_start(self):
        self.key.unlink()
        with self.assertRaises(exceptions.TlsMaterialError):
            await self.watcher.start()


class PlatformWatcherTest(MaterialCase):
    """Material on the platform, which is down at first."""

    async def test_waits_for_the_platform(self):
        outages = 3

        async def async_read(key):
            nonlocal outages
            if outages:
                outages -= 1
                raise exceptions.PlatformUnavailableError('down')
            return (self.certificate if key == 'c' else self.key).read_bytes()

        loaded = asyncio.Queue()
        settings = models.TlsSettings('platform:c', 'platform:k')
        watching = watcher.Watcher(
            settings, loaded.put_nowait, read_object=async_read
        )
        with mock.patch.object(tls_const, 'FIRST_RETRY_S', 0.01):
            await asyncio.wait_for(watching.start(), 5)
        self.addAsyncCleanup(watching.stop)
        self.assertEqual(outages, 0)
        found = loaded.get_nowait()
        self.assertEqual(found.certificate, self.pair.certificate)

    async def test_missing_object_at_start(self):
        async def async_read(key):
            raise exceptions.ObjectMissingError(key)

        settings = models.TlsSettings('platform:c', 'platform:k')
        watching = watcher.Watcher(
            settings, lambda _: None, read_object=async_read
        )
        with self.assertRaises(exceptions.TlsMaterialError):
            await watching.start()


class ContextTest(MaterialCase):
    """Contexts of the ssl module."""

    def test_make_and_replace(self):
        loaded = source.load_from_files(self.settings)
        made = context.create_server_context(loaded)
        self.assertEqual(made.minimum_version, ssl.TLSVersion.TLSv1_2)
        self.write()
        context.load_certificate(made, source.load_from_files(self.settings))


def _certificate_pem(pair):
    return pair.certificate.public_bytes(serialization.Encoding.PEM)


def _key_pem(pair):
    return pair.private_key.private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )
