"""Stand-in for a statsd server: stores counters, gauges and timers."""

import argparse
import asyncio
import collections
import contextlib
from collections import abc

from aiohttp import web

from tests.standins import runner

MAX_TIMINGS = 100000


class Receiver(asyncio.DatagramProtocol):
    """Receives statsd lines and stores their values by metric name."""

    def __init__(self) -> None:
        self.counters: collections.Counter[str] = collections.Counter()
        self.gauges: dict[str, float] = {}
        self.timers: dict[str, collections.deque[float]] = {}
        self.malformed = 0

    def datagram_received(self, data: bytes, addr: runner.Endpoint) -> None:
        for line in data.decode(errors='replace').splitlines():
            try:
                self._record_line(line)
            except (IndexError, ValueError):
                self.malformed += 1

    def application(self) -> web.Application:
        return runner.control_app(self.control, self.report)

    def control(self, command: dict) -> None:
        """Discard all metrics on ``{"reset_counts": true}``."""
        if command.get('reset_counts'):
            self.counters.clear()
            self.gauges.clear()
            self.timers.clear()
            self.malformed = 0

    def report(self) -> dict:
        return {
            'counters': dict(self.counters),
            'gauges': self.gauges,
            'timers': {
                name: summarize(timings)
                for name, timings in self.timers.items()
            },
            'malformed': self.malformed,
        }

    def _record_line(self, line: str) -> None:
        name, _, rest = line.rpartition(':')
        value, kind, *sampling = rest.split('|')
        rate = float(sampling[0].removeprefix('@')) if sampling else 1.0
        if kind == 'c':
            self.counters[name] += float(value) / rate
        elif kind == 'g':
            base = self.gauges.get(name, 0.0) if value[0] in '+-' else 0.0
            self.gauges[name] = base + float(value)
        elif kind == 'ms':
            empty = collections.deque(maxlen=MAX_TIMINGS)
            self.timers.setdefault(name, empty).append(float(value))
        else:
            raise ValueError(kind)


def summarize(timings: abc.Iterable[float]) -> dict[str, float]:
    """Return the count, p50, p99 and maximum of timings, in ms."""
    ranked = sorted(timings)
    last = len(ranked) - 1
    return {
        'count': len(ranked),
        'p50': ranked[last // 2],
        'p99': ranked[int(last * 0.99)],
        'max': ranked[last],
    }


def main() -> None:
    """Run the stand-in from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--listen',
        type=runner.parse_endpoint,
        default=('127.0.0.1', 8125),
        help='ADDRESS:PORT for statsd over UDP',
    )
    parser.add_argument(
        '--control',
        type=runner.parse_endpoint,
        default=('127.0.0.1', 8126),
        help='ADDRESS:PORT of /control over HTTP',
    )
    options = parser.parse_args()

    @contextlib.asynccontextmanager
    async def _async_main() -> abc.AsyncIterator[None]:
        receiver = Receiver()
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: receiver, local_addr=options.listen
        )
        async with runner.async_serve(receiver.application(), options.control):
            yield
        transport.close()

    runner.run(_async_main)


if __name__ == '__main__':
    main()
