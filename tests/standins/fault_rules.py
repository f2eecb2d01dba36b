"""Faults that the proxy injects into the traffic of one direction."""

import asyncio
import collections
import random
import typing
from collections import abc

FORWARD = 'forward'
BACKWARD = 'backward'
BOTH = 'both'
DIRECTIONS = (FORWARD, BACKWARD)
MAX_HELD_DATAGRAMS = 100000


class Rules(typing.NamedTuple):
    """Faults of one direction; probabilities from 0 to 1.

    Attributes:
        drop: Probability that a datagram is lost, or that a TCP connection
            is reset at a chunk.
        duplicate: Probability that a datagram arrives twice.
        delay_s: Delay added to each datagram or chunk.
        jitter_s: Upper bound of a uniform random delay added to each as well;
            reorders datagrams.
        cut: All datagrams are lost; TCP stalls.
        freeze: Datagrams and TCP are held until the freeze ends.
    """

    drop: float = 0.0
    duplicate: float = 0.0
    delay_s: float = 0.0
    jitter_s: float = 0.0
    cut: bool = False
    freeze: bool = False


class Direction:
    """Rules, counts and held datagrams of one direction of a link."""

    def __init__(self, seed: str) -> None:
        self.rules = Rules()
        self.counts: collections.Counter[str] = collections.Counter()
        self._random = random.Random(seed)
        self._held: collections.deque[abc.Callable[[], None]] = (
            collections.deque(maxlen=MAX_HELD_DATAGRAMS)
        )
        self._unblocked = asyncio.Event()
        self._unblocked.set()

    def set_rules(self, rules: Rules) -> None:
        """Replace the rules; the end of a freeze releases held datagrams."""
        self.rules = rules
        if rules.cut or rules.freeze:
            self._unblocked.clear()
        else:
            self._unblocked.set()
        while self._held and not rules.freeze:
            self._held.popleft()()

    def process_datagram(self, send: abc.Callable[[], None]) -> None:
        """Drop, hold, delay or duplicate a datagram according to the rules.

        Args:
            send: Sends the datagram; it may be called never, later or twice.
        """
        rules = self.rules
        if rules.freeze:
            self.counts['held'] += 1
            self._held.append(send)
            return
        if rules.cut or self._draw(rules.drop):
            self.counts['dropped'] += 1
            return
        self.counts['passed'] += 1
        self._send_later(send)
        if self._draw(rules.duplicate):
            self.counts['duplicated'] += 1
            self._send_later(send)

    async def async_wait_unblocked(self) -> None:
        """Wait while the direction is cut or frozen."""
        await self._unblocked.wait()

    def draw_reset(self) -> bool:
        """Draw whether to reset a TCP connection at this chunk."""
        broken = self._draw(self.rules.drop)
        self.counts['dropped' if broken else 'passed'] += 1
        return broken

    def draw_delay(self) -> float:
        """Draw a delay in seconds."""
        rules = self.rules
        return rules.delay_s + self._random.uniform(0, rules.jitter_s)

    def _draw(self, probability: float) -> bool:
        return probability > 0 and self._random.random() < probability

    def _send_later(self, send: abc.Callable[[], None]) -> None:
        delay = self.draw_delay()
        if delay <= 0:
            send()
            return
        asyncio.get_running_loop().call_later(delay, send)
