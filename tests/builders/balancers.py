"""A balancer without sockets, configured with the routes of the builders."""

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
Schedule = abc.Callable[[float, abc.Callable[[], None]], object]


class Balancer(typing.NamedTuple):
    """Components of one balancer."""

    configuration: known_configuration.KnownConfiguration
    mesh: mesh.Mesh
    forwarder: forwarder.Forwarder


def make(send: Send, call_later: Schedule = lambda *_: None) -> Balancer:
    """Build the balancer ``front-1``.

    Args:
        send: Called with each datagram and its destination endpoint.
        call_later: Calls a function after some seconds.
    """
    settings = packets.settings(
        instance='front-1', address='10.0.0.1', service='', outbound=None
    )
    configuration = known_configuration.KnownConfiguration(settings.instance)
    peer_mesh = mesh.Mesh(settings, members.KIND_BALANCER, configuration)
    peer_mesh.connect(
        peers.Transport(send, lambda call: None, lambda *_: None, call_later)
    )
    built_forwarder = forwarder.Forwarder(
        settings, packets.CODEC, configuration, peer_mesh
    )
    configuration.update_routes(routes.encode(packets.table()), 'test')
    return Balancer(configuration, peer_mesh, built_forwarder)


class BalancerTestCase(unittest.TestCase):
    """Runs a balancer on a manual clock and records what it sends.

    Attributes:
        now: Monotonic seconds; advanced by the test.
        scheduled: Functions to call, with the time of each.
        sent: Datagrams with their destination endpoints.
        configuration: Configuration known to the balancer.
        mesh: Mesh of the balancer.
        forwarder: Forwarder of the balancer.
    """

    def setUp(self) -> None:
        """Build the balancer and patch the clock."""
        self.now = 1000.0
        patch = mock.patch('kumquatport.helpers.clock.now', lambda: self.now)
        patch.start()
        self.addCleanup(patch.stop)
        self.sent: list[tuple[bytes, tuple[str, int]]] = []
        self.scheduled: list[tuple[float, abc.Callable[[], None]]] = []
        self.configuration, self.mesh, self.forwarder = make(
            self._send, self._call_later
        )

    def run_until(self, moment: float) -> None:
        """Call what is scheduled until a moment, and advance the clock to it.

        Args:
            moment: Monotonic seconds.
        """
        while due := [row for row in self.scheduled if row[0] <= moment]:
            first = min(due, key=lambda row: row[0])
            self.scheduled.remove(first)
            self.now = max(self.now, first[0])
            first[1]()
        self.now = max(self.now, moment)

    def _call_later(self, delay_s: float, call: abc.Callable[[], None]) -> None:
        self.scheduled.append((self.now + delay_s, call))

    def _send(self, datagram: bytes, endpoint: tuple[str, int]) -> bool:
        self.sent.append((datagram, endpoint))
        return True
