"""Tests of fetching routes from a peer over TCP."""

import asyncio
import unittest

from kumquatport.process.packets import known_configuration, mesh, peer_link
from kumquatport.version import members, routes
from tests.builders import packets as builders

PORT = 7411
BALANCER = '127.0.66.1'
AGENT = '127.0.66.2'
TIMEOUT_S = 5.0
POLL_S = 0.01
# Longer than a greeting, its reply and a fetch take on one host.
SETTLE_S = 0.3


class RoutesFetchTest(unittest.IsolatedAsyncioTestCase):
    """A process opens no connection while it still imports modules."""

    async def asyncSetUp(self):
        balancer_configuration, _, balancer_link = await self._async_link(
            'front-1', BALANCER
        )
        balancer_configuration.update_routes(
            routes.encode(builders.table(3)), 'x'
        )
        balancer_link.allow_fetches()
        self.configuration, self.mesh, self.link = await self._async_link(
            'side-1', AGENT
        )
        self.mesh.greet((BALANCER,))

    async def _async_link(self, instance, address):
        configuration = known_configuration.KnownConfiguration(instance)
        is_balancer = address == BALANCER
        kind = members.KIND_BALANCER if is_balancer else members.KIND_AGENT
        settings = builders.settings(
            instance=instance, address=address, peer_port=PORT
        )
        connected = mesh.Mesh(settings, kind, configuration)
        link = peer_link.PeerLink(settings, configuration, connected)
        await link.start()
        self.addAsyncCleanup(link.stop)
        return configuration, connected, link

    async def test_a_fetch_waits_until_it_is_allowed(self):
        await asyncio.sleep(SETTLE_S)
        self.assertIsNotNone(self.mesh.peer('front-1'))
        self.assertEqual(self.configuration.routes_version, 0)
        self.link.allow_fetches()
        async with asyncio.timeout(TIMEOUT_S):
            while self.configuration.routes_version != 3:
                await asyncio.sleep(POLL_S)


if __name__ == '__main__':
    unittest.main()
