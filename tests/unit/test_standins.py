"""Tests the platform and backend server stand-ins in this process."""

import asyncio
import unittest

import aiohttp

from tests import network
from tests.standins import backend_server, capacity, platform, pull, runner

NET = network.claim_network('stand-ins').prefix
PLATFORM = (f'{NET}.1', 9000)
SERVER = (f'{NET}.2', 8000)
FAST_PROFILE = capacity.Profile(service_s=0.02, spread=0.0)


class StandInTest(unittest.IsolatedAsyncioTestCase):
    """Serves an application and opens a client session."""

    endpoint = PLATFORM

    async def async_serve_application(self, app):
        served = runner.async_serve(
            app, self.endpoint, handler_cancellation=True
        )
        app_runner = await self.enterAsyncContext(served)
        address, port = self.endpoint
        session = aiohttp.ClientSession(f'http://{address}:{port}')
        self.client = await self.enterAsyncContext(session)
        # By default aiohttp retries idempotent methods on a closed connection.
        self.client._retry_connection = False
        return app_runner


class PlatformTest(StandInTest):
    """Tests the object API."""

    async def asyncSetUp(self):
        self.platform = platform.Platform()
        await self.async_serve_application(self.platform.application())

    async def async_send(self, method, path, spec=None, revision=None):
        meta = {'Name': 'b'}
        if revision is not None:
            meta['Revision'] = revision
        async with self.client.request(
            method, path, json={'meta': meta, 'spec': spec}
        ) as answer:
            if answer.content_type != 'application/json':
                return answer.status, None
            shown = await answer.json()
            return answer.status, shown['meta']['Revision']

    async def test_revisions_and_conditions(self):
        self.assertEqual(
            await self.async_send('POST', '/objects/a', 1), (200, 2)
        )
        self.assertEqual(
            await self.async_send('POST', '/objects/a', 2), (409, 2)
        )
        one = '/objects/a/b'
        self.assertEqual(await self.async_send('PUT', one, 2, 2), (200, 3))
        self.assertEqual(await self.async_send('PUT', one, 3, 2), (409, 3))
        self.assertEqual(await self.async_send('PUT', one, 2, 3), (200, 3))
        async with self.client.delete(f'{one}?Revision=2') as answer:
            self.assertEqual(answer.status, 409)
        async with self.client.delete(f'{one}?Revision=3') as answer:
            self.assertEqual(answer.status, 200)
        async with self.client.get(one) as answer:
            self.assertEqual(answer.status, 404)
        self.assertEqual((await self.async_send('PUT', one, 4))[0], 404)
        self.assertEqual(
            (await self.async_send('POST', '/objects/a', 4))[0], 200
        )
        long = 'x' * (2 * platform.MAX_VALUE_BYTES + 1)
        self.assertEqual((await self.async_send('PUT', one, long))[0], 413)

    async def test_watch_waits_for_the_next_write(self):
        watch = asyncio.create_task(self.async_watch(1, 5000))
        await asyncio.sleep(0.05)
        await self.async_send('POST', '/objects/a', 'new')
        status, listing = await watch
        self.assertEqual(status, 200)
        self.assertEqual(listing['StoreRevision'], 2)
        self.assertEqual(listing['events'][0]['Object']['spec'], 'new')
        empty = await self.async_watch(2, 50)
        self.assertEqual(empty, (200, {'StoreRevision': 2, 'events': []}))
        self.assertEqual(self.platform.counts['watch'], 2)

    async def test_forgotten_history_is_said(self):
        await self.async_send('POST', '/objects/a', 1)
        self.platform.control({'forget': True})
        self.assertEqual((await self.async_watch(1, 50))[0], 410)

    async def test_pages_go_on_after_a_name(self):
        for number in range(platform.PAGE_ENTRIES + 2):
            self.platform.store.write('a', f'{number:04}', number)
        async with self.client.get('/objects/a') as answer:
            first = await answer.json()
        self.assertTrue(first['HasMore'])
        last = first['items'][-1]['meta']['Name']
        async with self.client.get(f'/objects/a?after={last}') as answer:
            second = await answer.json()
        self.assertEqual(len(second['items']), 2)
        self.assertFalse(second['HasMore'])

    async def async_watch(self, since, wait_ms):
        params = {'Watch': since, 'WaitMs': wait_ms}
        async with self.client.get('/objects/a', params=params) as answer:
            if answer.status != 200:
                return answer.status, None
            return answer.status, await answer.json()

    async def test_lost_answer_has_taken_effect(self):
        self.platform.control({'lose_answers': 1})
        with self.assertRaises(aiohttp.ClientError):
            await self.async_send('POST', '/objects/a', 1)
        self.assertEqual(self.platform.store.live('a', 'b').spec, 1)
        self.assertEqual(
            await self.async_send('PUT', '/objects/a/b', 2), (200, 3)
        )

    async def test_down_drops_waiting_watches(self):
        watch = asyncio.create_task(self.async_watch(1, 5000))
        await asyncio.sleep(0.05)
        self.platform.control({'mode': 'down'})
        with self.assertRaises(aiohttp.ClientError):
            await watch
        with self.assertRaises(aiohttp.ClientError):
            await self.async_send('POST', '/objects/a', 1)
        self.platform.control({'mode': 'up'})
        self.assertEqual(
            await self.async_send('POST', '/objects/a', 1), (200, 2)
        )


class BackendServerTest(StandInTest):
    """Tests slots, cold start, cancellation and reports."""

    endpoint = SERVER

    async def asyncSetUp(self):
        self.server = backend_server.BackendServer(
            backend_server.Identity('server-1', 'storefront'), FAST_PROFILE
        )
        app = self.server.application()
        self.server.runner = await self.async_serve_application(app)

    async def async_get(self, path, **headers):
        async with self.client.get(path, headers=headers) as answer:
            return answer.status, await answer.read()

    async def test_orders_are_counted_by_key(self):
        for _ in range(2):
            async with self.client.post(
                '/orders', headers={'Idempotency-Key': 'k1'}
            ) as answer:
                receipt = await answer.json()
        self.assertEqual(receipt, {'key': 'k1', 'run': 2, 'server': 'server-1'})
        self.assertEqual(self.server.report()['runs'], {'k1': 2})

    async def test_pull_bears_its_checksum(self):
        async with self.client.get('/pull/map?bytes=200000') as answer:
            body = await answer.read()
            self.assertEqual(
                answer.headers['X-Checksum'], pull.checksum('map', 200000)
            )
        self.assertEqual(body, b''.join(pull.chunks('map', 200000)))

    async def test_slots_and_shedding(self):
        answers = await asyncio.gather(
            *[self.async_get('/x') for _ in range(30)]
        )
        shed = [status for status, _ in answers if status == 503]
        self.assertEqual(
            len(shed), 30 - FAST_PROFILE.slots - FAST_PROFILE.backlog
        )
        self.assertEqual(self.server.report()['peak_concurrency'], 5)

    async def test_wrong_service_is_counted(self):
        headers = {'X-Kumquatport-Service': 'manuals'}
        status, _ = await self.async_get('/x', **headers)
        self.assertEqual(
            (status, self.server.counts['wrong_service']), (421, 1)
        )

    async def test_cancel_and_deadline_free_the_slot(self):
        self.server.control({'service_s': 5.0})
        status, _ = await self.async_get('/x', **{'X-Deadline': '0.05'})
        self.assertEqual(status, 504)
        request = asyncio.create_task(self.async_get('/x'))
        await asyncio.sleep(0.05)
        self.assertEqual(self.server.capacity.running, 1)
        request.cancel()
        await asyncio.sleep(0.05)
        report = self.server.report()
        self.assertEqual((report['running'], report['cancelled']), (0, 1))

    async def test_cold_server_collapses_under_full_load(self):
        self.server.control({'cold': True})
        self.assertEqual(self.server.report()['state'], 'ready')
        await asyncio.gather(*[self.async_send_requests() for _ in range(8)])
        self.assertGreaterEqual(self.server.capacity.collapses, 1)

    async def test_cold_server_serves_light_load(self):
        self.server.control({'cold': True, 'announced': True})
        self.assertEqual(self.server.report()['state'], 'cold')
        await self.async_send_requests()
        self.assertEqual(self.server.capacity.collapses, 0)

    async def async_send_requests(self):
        for _ in range(10):
            await self.async_get('/x')

    async def test_reports_may_mislead(self):
        self.server.control({'report': 'inverted'})
        _, body = await self.async_get('/health')
        self.assertEqual(body, b'{"state": "cold", "load": 1.0}')
