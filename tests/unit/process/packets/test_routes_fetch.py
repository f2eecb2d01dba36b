"""Routes fetched from a peer over TCP, between two linked meshes."""

import asyncio
import unittest

from kumquatport.process.packets import known_configuration, mesh, peer_link
from kumquatport.version import members, routes
from tests.builders import packets as builders

PORT = 7411
FRONT = '127.0.66.1'
SIDE = '127.0.66.2'
TIMEOUT_S = 5.0
POLL_S = 0.01
# Longer than a greeting, its answer and a fetch take on one machine.
SETTLE_S = 0.3


class FetchingTest(unittest.IsolatedAsyncioTestCase):
    """A process that still loads modules makes no connection."""

    async def asyncSetUp(self):
        front_beliefs, _, front = await self._async_link('front-1', FRONT)
        front_beliefs.update_routes(routes.encode(builders.table(3)), 'x')
        front.allow_fetches()
        self.beliefs, self.mesh, self.link = await self._async_link(
            'side-1', SIDE
        )
        self.mesh.greet((FRONT,))

    async def _async_link(self, instance, address):
        held = known_configuration.KnownConfiguration(instance)
        is_front = address == FRONT
        kind = members.KIND_BALANCER if is_front else members.KIND_AGENT
        settings = builders.settings(
            instance=instance, address=address, peer_port=PORT
        )
        connected = mesh.Mesh(settings, kind, held)
        link = peer_link.PeerLink(settings, held, connected)
        await link.start()
        self.addAsyncCleanup(link.stop)
        return held, connected, link

    async def test_a_fetch_waits_until_it_is_allowed(self):
        await asyncio.sleep(SETTLE_S)
        self.assertIsNotNone(self.mesh.peer('front-1'))
        self.assertEqual(self.beliefs.routes_version, 0)
        self.link.allow_fetches()
        async with asyncio.timeout(TIMEOUT_S):
            while self.beliefs.routes_version != 3:
                await asyncio.sleep(POLL_S)


if __name__ == '__main__':
    unittest.main()
