"""Passing on while the document is, and is not, confirmed."""

import collections
import socket
import unittest

from kumquatport.connection.forward import header
from kumquatport.helpers import tags
from kumquatport.process.agent import opening_forwarder
from kumquatport.version import members, table
from tests import network
from tests.builders import members as builders

NET = network.held('passing').prefix
OWN = f'{NET}.60'
OTHER = f'{NET}.61'
PORT = 7100


class PassingTest(unittest.IsolatedAsyncioTestCase):
    """One agent, and one other to pass on to."""

    async def asyncSetUp(self):
        self.fresh = True
        self.events = collections.Counter()
        registry = members.Registry()
        registry.merge(builders.agent(instance='agent-1', address=OWN))
        registry.merge(builders.agent(instance='agent-2', address=OTHER))
        self.passing = opening_forwarder.OpeningForwarder(
            'storefront',
            (OWN, PORT),
            b'k' * 32,
            table.TableCache(registry),
            lambda event: self.events.update((event,)),
            lambda: self.fresh,
        )
        self.stop = self.passing.async_setup(OWN)
        self.other = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(self.other.close)
        self.other.bind((OTHER, PORT))
        self.other.settimeout(1)

    async def asyncTearDown(self):
        self.stop()

    def pass_one(self):
        tag = tags.service_tag('storefront')
        forward = header.Forward(0, tag, (f'{NET}.250', 4000), b'opening')
        return self.passing.pass_on(forward)

    async def test_passed_on_while_confirmed(self):
        self.assertTrue(self.pass_one())
        self.assertTrue(self.other.recv(2000).endswith(b'opening'))

    async def test_dropped_while_not_confirmed(self):
        self.fresh = False
        self.assertTrue(self.pass_one())
        self.other.settimeout(0.2)
        with self.assertRaises(TimeoutError):
            self.other.recv(2000)
        self.assertEqual(self.events['dropped.not_fresh'], 1)
