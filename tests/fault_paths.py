"""Selects the network paths that are routed through the fault proxy."""

import fnmatch
import typing
from collections import abc

Endpoint = tuple[str, int]
FIRST_PORT = 30000


class FaultPaths:
    """Collects the links of the proxy while settings are written.

    Names of paths: ``INSTANCE->platform``, ``AGENT->server``,
    ``fabric->BALANCER/SERVICE`` and ``callers->SERVICE``. ``peers->INSTANCE``
    covers all traffic of other instances to it; its links are
    ``peers->INSTANCE/control`` and, of an agent, ``peers->AGENT/data``.
    """

    def __init__(self, address: str, patterns: abc.Sequence[str]) -> None:
        """Select the paths to route through the proxy.

        Args:
            address: Address of the proxy for links without a fixed endpoint.
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
        """Return the endpoint that reaches ``target``, of the proxy if selected.

        Args:
            name: Name of the path.
            protocol: ``tcp`` or ``udp``.
            target: Final destination.
            listen: Endpoint of the proxy; None to assign a port.
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
        """Add a link once, even if not selected; see ``resolve``."""
        if name in self._listen_endpoints:
            return self._listen_endpoints[name]
        proxy_endpoint = listen or (self._address, FIRST_PORT + len(self.links))
        self._listen_endpoints[name] = proxy_endpoint
        self.links[name] = {
            'protocol': protocol,
            'listen': _format_endpoint(proxy_endpoint),
            'target': _format_endpoint(target),
        }
        return proxy_endpoint


def _format_endpoint(endpoint: Endpoint) -> str:
    return f'{endpoint[0]}:{endpoint[1]}'
