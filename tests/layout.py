"""Names, addresses and network paths of a deployment."""

import typing

from tests import fault_paths, network
from tests.builders import documents, plans, settings


class Options(typing.NamedTuple):
    """Differences from the default deployment.

    Attributes:
        seed: Seed of the stand-ins' random choices.
        backend: Additional options of each backend server.
        seeds: Whether settings list the balancers as seeds.
        log_level: Log level of the programs.
        faults: Patterns of paths routed through the fault proxy; see
            ``fault_paths.FaultPaths``.
    """

    seed: int = 0
    backend: tuple[str, ...] = ()
    seeds: bool = True
    log_level: str = 'info'
    faults: tuple[str, ...] = ()


class Layout:
    """Assigns names and addresses in a deployment.

    Names: ``platform``, ``statsd``, ``fabric``, ``faults``, ``balancer-N``,
    ``SERVICE-N`` (agent) and ``SERVICE-N-server`` (backend server), N from 1.
    """

    def __init__(self, plan: plans.Plan, options: Options) -> None:
        """Claim addresses.

        Args:
            plan: Initial sizes; instances may be added.
            options: Differences from the default deployment.
        """
        self.plan = plan
        self.options = options
        self.network = network.Network()
        self.paths = fault_paths.FaultPaths(self.network.faults, options.faults)
        self._balancers: list[str] = []
        self._added_agents: list[str] = []

    @property
    def caller_address(self) -> str:
        """Address that callers may bind."""
        return self.network.caller

    @property
    def platform_url(self) -> str:
        return format_url(self.network.platform)

    @property
    def balancers(self) -> tuple[str, ...]:
        return tuple(self._balancers)

    @property
    def agents(self) -> tuple[str, ...]:
        return (*self.plan.agents, *self._added_agents)

    @property
    def servers(self) -> tuple[str, ...]:
        return tuple(f'{agent}-server' for agent in self.agents)

    def service_endpoint(self, name: str) -> network.Endpoint:
        """Return the address and port of a service for callers."""
        direct = self.network.service(self.plan.service_names.index(name))
        return self.paths.resolve(f'callers->{name}', 'udp', direct)

    def address(self, name: str) -> str:
        """Return the IP address of a balancer, agent or backend server."""
        if name.startswith('balancer-'):
            return self.network.balancer(int(name.split('-')[1]) - 1)
        index = self.agents.index(name.removesuffix('-server'))
        return self.network.agent(index)

    def advertised_address(self, name: str) -> str:
        """Return the address where others reach a balancer or agent."""
        address = self.address(name)
        if self.paths.matches(f'peers->{name}'):
            return self.network.proxy_address(address)
        return address

    def entry_port(self, service: str) -> int:
        """Return the entry port of a service on the balancers."""
        index = self.plan.service_names.index(service)
        return documents.FIRST_ENTRY_PORT + index

    def document(self, **changes: typing.Any) -> documents.Entry:
        """Build the document of this deployment; see ``documents.document``."""
        services = []
        for index, name in enumerate(self.plan.service_names):
            address, port = self.network.service(index)
            entry_port = self.entry_port(name)
            services.append(
                documents.service(name, f'{address}:{port}', entry_port)
            )
        return documents.document(
            self.plan.region, self.plan.failure_domains, services, **changes
        )

    def entry_address(self, balancer: str) -> str:
        """Return the address where the fabric sends packets for a balancer."""
        address = self.address(balancer)
        proxy_address = self.network.proxy_address(address)
        entry = address
        for service in self.plan.service_names:
            port = self.entry_port(service)
            entry, _ = self.paths.resolve(
                f'fabric->{balancer}/{service}',
                'udp',
                (address, port),
                (proxy_address, port),
            )
        return entry

    def common(self, instance: str) -> settings.Common:
        """Build the settings shared by all instances."""
        platform = self.paths.resolve(
            f'{instance}->platform', 'tcp', self.network.platform
        )
        return settings.Common(
            self.plan.region,
            format_url(platform),
            self.network.statsd,
            self._seeds() if self.options.seeds else (),
            self.options.log_level,
        )

    def _seeds(self) -> tuple[str, ...]:
        numbers = range(1, self.plan.balancers + 1)
        balancers = [f'balancer-{number}' for number in numbers]
        return tuple(
            f'{self.advertised_address(name)}:{settings.CONTROL_PORT}'
            for name in balancers
        )


def format_endpoint(endpoint: network.Endpoint) -> str:
    """Format as ``ADDRESS:PORT``."""
    return f'{endpoint[0]}:{endpoint[1]}'


def format_url(endpoint: network.Endpoint) -> str:
    """Format as ``http://ADDRESS:PORT``."""
    return f'http://{format_endpoint(endpoint)}'
