"""Fault-injecting proxy for TCP and UDP with any number of links.

``POST /control`` accepts JSON with any of

* ``links``: ``{NAME: {"protocol", "listen": "IP:PORT", "target": "IP:PORT"}}``
  opens links;
* ``rules``: ``{PATTERN: {"forward" | "backward" | "both": {...}}}`` replaces
  the rules of all links whose names match the shell pattern; an empty entry
  removes their faults;
* ``reset``: ``[PATTERN]`` resets the open TCP connections of matching links.
"""

import argparse
import contextlib
import fnmatch
import json
import pathlib
from collections import abc

from tests.standins import fault_links, runner


class FaultProxy:
    """The links of the proxy, by name."""

    def __init__(self, seed: int) -> None:
        self._seed = seed
        self._links: dict[str, fault_links.Link] = {}

    def control(self, command: dict) -> None:
        """Open links, replace rules and reset connections."""
        for name, entry in command.get('links', {}).items():
            self._open_link(name, entry)
        for pattern, changes in command.get('rules', {}).items():
            for link in self._matching_links(pattern):
                link.set_rules(changes)
        for pattern in command.get('reset', ()):
            for link in self._matching_links(pattern):
                link.reset()

    def report(self) -> dict:
        return {name: link.report() for name, link in self._links.items()}

    def stop(self) -> None:
        for link in self._links.values():
            link.stop()

    def _open_link(self, name: str, entry: dict) -> None:
        spec = fault_links.Spec(
            name,
            entry['protocol'],
            runner.parse_endpoint(entry['listen']),
            runner.parse_endpoint(entry['target']),
        )
        self._links[name] = fault_links.open_link(spec, self._seed)

    def _matching_links(self, pattern: str) -> list[fault_links.Link]:
        links = [
            link
            for name, link in self._links.items()
            if fnmatch.fnmatchcase(name, pattern)
        ]
        if not links:
            raise ValueError(f'no link matches {pattern}')
        return links


def main() -> None:
    """Run the proxy from the command line."""
    parser = argparse.ArgumentParser(
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        '--control',
        type=runner.parse_endpoint,
        default=('127.0.0.1', 9200),
        help='ADDRESS:PORT of /control over HTTP',
    )
    parser.add_argument(
        '--config', type=pathlib.Path, help='JSON with an initial command'
    )
    parser.add_argument('--seed', type=int, default=0)
    options = parser.parse_args()

    @contextlib.asynccontextmanager
    async def _async_main() -> abc.AsyncIterator[None]:
        proxy = FaultProxy(options.seed)
        if options.config is not None:
            proxy.control(json.loads(options.config.read_text()))
        app = runner.control_app(proxy.control, proxy.report)
        async with runner.async_serve(app, options.control):
            yield
        proxy.stop()

    runner.run(_async_main)


if __name__ == '__main__':
    main()
