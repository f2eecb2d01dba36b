"""Discrete-event simulation of time, a network and its faults."""

import collections
import contextlib
import heapq
import itertools
import random
import typing
from collections import abc
from unittest import mock

LATENCY_S = 0.0007
JITTER_S = 0.0006
LOSS_PROBABILITY = 0.0005
IP_UDP_HEADER_BYTES = 28
EPOCH_MS = 1_800_000_000_000

Handler = abc.Callable[[bytes, tuple[str, int]], None]


class Node:
    """A simulated host that can be down, frozen or partitioned."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.is_up = True
        self.frozen_until = 0.0
        self.incarnation = 0
        self.handlers: dict[int, Handler] = {}


class Simulation:
    """Runs events in the order of simulated time."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.time = 1000.0
        self.nodes: dict[str, Node] = {}
        self.blocked_links: set[tuple[str, str]] = set()
        self.sent = 0
        self.sent_bytes: collections.Counter[str] = collections.Counter()
        self._events: list[tuple[float, int, abc.Callable[[], None]]] = []
        self._event_numbers = itertools.count()

    def now(self) -> float:
        return self.time

    def unix_ms(self) -> int:
        return EPOCH_MS + int(self.time * 1000)

    @contextlib.contextmanager
    def patch_clock(self) -> abc.Iterator[None]:
        """Patch the clock of the load balancer to simulated time."""
        with (
            mock.patch('kumquatport.helpers.clock.now', self.now),
            mock.patch('kumquatport.helpers.clock.unix_ms', self.unix_ms),
        ):
            yield

    def node(self, address: str) -> Node:
        return self.nodes.setdefault(address, Node(address))

    def call_later(self, delay_s: float, call: abc.Callable[[], None]) -> None:
        event = (self.time + delay_s, next(self._event_numbers), call)
        heapq.heappush(self._events, event)

    def call_later_on(
        self, node: Node, delay_s: float, call: abc.Callable[[], None]
    ) -> None:
        """Call later unless the node was killed; a freeze delays the call."""
        incarnation = node.incarnation

        def run() -> None:
            if not node.is_up or node.incarnation != incarnation:
                return
            if node.frozen_until > self.time:
                self.call_later(node.frozen_until - self.time, run)
                return
            call()

        self.call_later(delay_s, run)

    def call_every(
        self, node: Node, period_s: float, call: abc.Callable[[], None]
    ) -> None:
        """Call periodically until the node is killed."""

        def run() -> None:
            call()
            self.call_later_on(node, period_s * self.rng.uniform(0.9, 1.1), run)

        self.call_later_on(node, period_s * self.rng.random(), run)

    def listen(self, address: str, port: int, handler: Handler) -> None:
        self.node(address).handlers[port] = handler

    def send(
        self, datagram: bytes, source: str, target: tuple[str, int]
    ) -> bool:
        """Send a datagram, which is lost with a small probability.

        A node that is down drops it; a frozen node receives it after the
        freeze.
        """
        self.sent += 1
        self.sent_bytes[source] += len(datagram) + IP_UDP_HEADER_BYTES
        address, port = target
        is_local = source == address
        if (source, address) in self.blocked_links:
            return True
        if not is_local and self.rng.random() < LOSS_PROBABILITY:
            return True
        delay_s = 0.00002 if is_local else LATENCY_S
        delay_s += self.rng.random() * (0 if is_local else JITTER_S)
        node = self.node(address)

        def arrive() -> None:
            if not node.is_up:
                return
            if node.frozen_until > self.time:
                self.call_later(node.frozen_until - self.time, arrive)
                return
            handler = node.handlers.get(port)
            if handler is not None:
                handler(datagram, (source, port))

        self.call_later(delay_s, arrive)
        return True

    def partition(
        self, address: str, others: abc.Iterable[str], both: bool
    ) -> None:
        """Drop what a node sends to others and, if both, what they send."""
        for other in others:
            self.blocked_links.add((address, other))
            if both:
                self.blocked_links.add((other, address))

    def heal(self, address: str) -> None:
        self.blocked_links = {
            pair for pair in self.blocked_links if address not in pair
        }

    def freeze(self, address: str, seconds: float) -> None:
        self.node(address).frozen_until = self.time + seconds

    def kill(self, address: str) -> None:
        node = self.node(address)
        node.is_up = False
        node.incarnation += 1
        node.handlers.clear()

    def start(self, address: str) -> Node:
        node = self.node(address)
        node.is_up = True
        node.frozen_until = 0.0
        return node

    def run(self, until: float) -> None:
        while self._events and self._events[0][0] <= until:
            self.time, _, call = heapq.heappop(self._events)
            call()
        self.time = until


class Violation(typing.NamedTuple):
    """A violated guarantee.

    Attributes:
        guarantee: Code of the guarantee.
        at_s: Seconds since the start of the checks.
        detail: Observed event.
    """

    guarantee: str
    at_s: float
    detail: str
