"""Which paths of a deployment lead through the fault-injecting proxy."""

import fnmatch
import typing
from collections import abc

Endpoint = tuple[str, int]
FIRST_PORT = 30000


class FaultPaths:
    """Collects the proxy's links while settings are written.

    Names of paths: ``INSTANCE->platform``, ``AGENT->server``,
    ``fabric->BALANCER/SERVICE`` and ``callers->SERVICE``. ``peers->INSTANCE``
    stands for all that other instances send to it; its links are
    ``peers->INSTANCE/control`` and, of an agent, ``peers->AGENT/data``.
    """

    def __init__(self, address: str, patterns: abc.Sequence[str]) -> None:
        """Keep which paths are wanted.

        Args:
            address: Where the proxy listens when any port will do.
            patterns: Shell patterns of the names of paths.
        """
        self.links: dict[str, dict[str, typing.Any]] = {}
        self._listen_endpoints: dict[str, Endpoint] = {}
        self._address = address
        self._patterns = tuple(patterns)

    @property
    def is_enabled(self) -> bool:
        return bool(self._patterns)

    def matches(self, name: str) -> bool:
        return any(
            fnmatch.fnmatchcase(name, pattern) for pattern in self._patterns
        )

    def resolve(
        self,
        name: str,
        protocol: str,
        target: Endpoint,
        listen: Endpoint | None = None,
    ) -> Endpoint:
        """Tell where to send what is meant for ``target``.

        Args:
            name: Name of the path.
            protocol: ``tcp`` or ``udp``.
            target: Where it goes in the end.
            listen: Where the proxy listens; None for a port of its choice.
        """
        if not self.matches(name):
            return target
        return self.add_link(name, protocol, target, listen)

    def add_link(
        self,
        name: str,
        protocol: str,
        target: Endpoint,
        listen: Endpoint | None = None,
    ) -> Endpoint:
        """Open a path once, wanted or not; see ``through``."""
        if name in self._listen_endpoints:
            return self._listen_endpoints[name]
        here = listen or (self._address, FIRST_PORT + len(self.links))
        self._listen_endpoints[name] = here
        self.links[name] = {
            'protocol': protocol,
            'listen': _format_endpoint(here),
            'target': _format_endpoint(target),
        }
        return here


def _format_endpoint(endpoint: Endpoint) -> str:
    return f'{endpoint[0]}:{endpoint[1]}'
