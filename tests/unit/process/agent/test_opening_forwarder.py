"""Tests of forwarding opening packets to another agent.

Guards against an agent that forwards by outdated tables: after a pause they may
list agents of a failure domain that was taken out meanwhile.
"""

import collections
import socket
import unittest

from kumquatport.connection.forward import header
from kumquatport.helpers import tags
from kumquatport.process.agent import opening_forwarder
from kumquatport.version import members, table
from tests import network
from tests.builders import members as builders

NET = network.claim_network('passing').prefix
OWN = f'{NET}.60'
OTHER_AGENT = f'{NET}.61'
PORT = 7100


class OpeningForwarderTest(unittest.IsolatedAsyncioTestCase):
    """An opening packet is forwarded only while the document is confirmed."""

    async def asyncSetUp(self):
        self.is_fresh = True
        self.events = collections.Counter()
        registry = members.Registry()
        registry.merge(builders.agent(instance='agent-1', address=OWN))
        registry.merge(builders.agent(instance='agent-2', address=OTHER_AGENT))
        self.forwarder = opening_forwarder.OpeningForwarder(
            'storefront',
            (OWN, PORT),
            b'k' * 32,
            table.TableCache(registry),
            lambda event: self.events.update((event,)),
            lambda: self.is_fresh,
        )
        self.close_forwarder = self.forwarder.async_setup(OWN)
        self.other_agent = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(self.other_agent.close)
        self.other_agent.bind((OTHER_AGENT, PORT))
        self.other_agent.settimeout(1)

    async def asyncTearDown(self):
        self.close_forwarder()

    def pass_on_opening(self):
        tag = tags.service_tag('storefront')
        forward = header.Forward(0, tag, (f'{NET}.250', 4000), b'opening')
        return self.forwarder.pass_on(forward)

    async def test_forwarded_while_confirmed(self):
        self.assertTrue(self.pass_on_opening())
        self.assertTrue(self.other_agent.recv(2000).endswith(b'opening'))

    async def test_dropped_while_not_confirmed(self):
        self.is_fresh = False
        self.assertTrue(self.pass_on_opening())
        self.other_agent.settimeout(0.2)
        with self.assertRaises(TimeoutError):
            self.other_agent.recv(2000)
        self.assertEqual(self.events['dropped.not_fresh'], 1)
