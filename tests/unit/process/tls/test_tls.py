"""TLS material: validation, replacement, and no key in errors or reprs."""

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
    """Provides a certificate and its key in files."""

    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        folder = pathlib.Path(directory.name)
        self.certificate = folder / 'cert.pem'
        self.key = folder / 'key.pem'
        self.settings = models.TlsSettings(str(self.certificate), str(self.key))
        self.pair = self.write()

    def write(self):
        pair = certificates.self_signed()
        self.certificate.write_bytes(_certificate_pem(pair))
        self.key.write_bytes(_key_pem(pair))
        return pair

    def load_invalid(self):
        with self.assertRaises(exceptions.TlsMaterialError) as caught:
            source.load_from_files(self.settings)
        self.assertNotIn('BEGIN', str(caught.exception))
        return caught.exception.reason


class ParseTest(MaterialCase):
    """Material that is rejected, with the reason."""

    def test_valid(self):
        loaded = source.load_from_files(self.settings)
        self.assertEqual(loaded.certificate, self.pair.certificate)
        self.assertNotIn('BEGIN', repr(loaded))

    def test_missing_key_file(self):
        self.key.unlink()
        self.assertEqual(self.load_invalid(), REASONS.UNREADABLE)

    def test_malformed(self):
        valid = self.certificate.read_bytes()
        for text in (b'', b'x', valid[:200], self.key.read_bytes()):
            self.certificate.write_bytes(text)
            self.assertEqual(self.load_invalid(), REASONS.MALFORMED)
        self.certificate.write_bytes(valid)
        self.key.write_bytes(valid)
        self.assertEqual(self.load_invalid(), REASONS.MALFORMED)

    def test_encrypted_key(self):
        pem = self.pair.private_key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.BestAvailableEncryption(b'secret'),
        )
        self.key.write_bytes(pem)
        self.assertEqual(self.load_invalid(), REASONS.MALFORMED)

    def test_mismatch(self):
        self.key.write_bytes(_key_pem(certificates.self_signed()))
        self.assertEqual(self.load_invalid(), REASONS.MISMATCH)

    def test_validity_period(self):
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
    """Replacement of files while the watcher runs."""

    async def asyncSetUp(self):
        self.loaded = asyncio.Queue()
        self.watcher = watcher.Watcher(
            self.settings, self.loaded.put_nowait, poll_s=0.02
        )

    async def test_replacement_is_reported_and_invalid_material_is_not(self):
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

    async def test_invalid_material_at_start(self):
        self.key.unlink()
        with self.assertRaises(exceptions.TlsMaterialError):
            await self.watcher.start()


class PlatformWatcherTest(MaterialCase):
    """Material on the platform, which may be unavailable or lack it."""

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
        platform_watcher = watcher.Watcher(
            settings, loaded.put_nowait, read_object=async_read
        )
        with mock.patch.object(tls_const, 'FIRST_RETRY_S', 0.01):
            await asyncio.wait_for(platform_watcher.start(), 5)
        self.addAsyncCleanup(platform_watcher.stop)
        self.assertEqual(outages, 0)
        first = loaded.get_nowait()
        self.assertEqual(first.certificate, self.pair.certificate)

    async def test_missing_object_at_start(self):
        async def async_read(key):
            raise exceptions.ObjectMissingError(key)

        settings = models.TlsSettings('platform:c', 'platform:k')
        platform_watcher = watcher.Watcher(
            settings, lambda _: None, read_object=async_read
        )
        with self.assertRaises(exceptions.TlsMaterialError):
            await platform_watcher.start()


class ContextTest(MaterialCase):
    """Server contexts of the ssl module."""

    def test_create_and_replace_certificate(self):
        loaded = source.load_from_files(self.settings)
        server_context = context.create_server_context(loaded)
        self.assertEqual(server_context.minimum_version, ssl.TLSVersion.TLSv1_2)
        self.write()
        context.load_certificate(
            server_context, source.load_from_files(self.settings)
        )


def _certificate_pem(pair):
    return pair.certificate.public_bytes(serialization.Encoding.PEM)


def _key_pem(pair):
    return pair.private_key.private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )
