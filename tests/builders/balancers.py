"""A balancer without sockets, which holds the routes of the builders."""

import typing
import unittest
from collections import abc
from unittest import mock

from kumquatport.process.packets import (
    forwarder,
    known_configuration,
    mesh,
    peers,
)
from kumquatport.version import members, routes
from tests.builders import packets

Send = abc.Callable[[bytes, tuple[str, int]], bool]


class Balancer(typing.NamedTuple):
    """The parts of one balancer."""

    configuration: known_configuration.KnownConfiguration
    mesh: mesh.Mesh
    forwarder: forwarder.Forwarder


def make(send: Send) -> Balancer:
    """Build the balancer ``front-1``.

    Args:
        send: Takes what it sends, with the endpoint.
    """
    settings = packets.settings(
        instance='front-1', address='10.0.0.1', service='', outbound=None
    )
    held = known_configuration.KnownConfiguration(settings.instance)
    peer_mesh = mesh.Mesh(settings, members.KIND_BALANCER, held)
    peer_mesh.connect(peers.Transport(send, lambda call: None, lambda *_: None))
    made = forwarder.Forwarder(settings, packets.CODEC, held, peer_mesh)
    held.update_routes(routes.encode(packets.table()), 'test')
    return Balancer(held, peer_mesh, made)


class BalancerTestCase(unittest.TestCase):
    """A balancer on a clock that stands still, and what it has sent.

    Attributes:
        now: Monotonic seconds; a test moves them on.
        sent: Datagrams, each with the endpoint it went to.
        beliefs: Of the balancer.
        mesh: Of the balancer.
        forwarder: Of the balancer.
    """

    def setUp(self) -> None:
        """Build the balancer."""
        self.now = 1000.0
        patch = mock.patch('kumquatport.helpers.clock.now', lambda: self.now)
        patch.start()
        self.addCleanup(patch.stop)
        self.sent: list[tuple[bytes, tuple[str, int]]] = []
        self.configuration, self.mesh, self.forwarder = make(self._send)

    def _send(self, datagram: bytes, endpoint: tuple[str, int]) -> bool:
        self.sent.append((datagram, endpoint))
        return True
