"""Routes fetched from a peer over TCP, between two real meshes."""

import asyncio
import unittest

from kumquatport.process.packets import beliefs, mesh
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
        self.front = await self._async_mesh('front-1', FRONT)
        self.front_beliefs.offer_routes(routes.encode(builders.table(3)), 'x')
        self.front.allow_fetches()
        self.side = await self._async_mesh('side-1', SIDE)
        self.side.hello((FRONT,))

    async def _async_mesh(self, instance, address):
        held = beliefs.Beliefs(instance)
        is_front = address == FRONT
        kind = members.KIND_BALANCER if is_front else members.KIND_AGENT
        if is_front:
            self.front_beliefs = held
        else:
            self.side_beliefs = held
        made = mesh.Mesh(
            builders.settings(
                instance=instance, address=address, peer_port=PORT
            ),
            kind,
            held,
        )
        await made.start()
        self.addAsyncCleanup(made.stop)
        return made

    async def test_a_fetch_waits_until_it_is_allowed(self):
        await asyncio.sleep(SETTLE_S)
        self.assertIsNotNone(self.side.peer('front-1'))
        self.assertEqual(self.side_beliefs.routes_version, 0)
        self.side.allow_fetches()
        async with asyncio.timeout(TIMEOUT_S):
            while self.side_beliefs.routes_version != 3:
                await asyncio.sleep(POLL_S)


if __name__ == '__main__':
    unittest.main()
