"""Builders of deployment sizes."""

import typing


class ServicePlan(typing.NamedTuple):
    """A service and its number of backend servers."""

    name: str
    backend_servers: int


class Plan(typing.NamedTuple):
    """Sizes of a deployment."""

    region: str
    failure_domains: tuple[str, ...]
    services: tuple[ServicePlan, ...]
    balancers: int = 3

    @property
    def agents(self) -> tuple[str, ...]:
        """Names of the agents, ``SERVICE-N`` with N from 1."""
        return tuple(
            f'{service.name}-{number + 1}'
            for service in self.services
            for number in range(service.backend_servers)
        )

    @property
    def service_names(self) -> tuple[str, ...]:
        return tuple(service.name for service in self.services)

    def failure_domain(self, name: str) -> str:
        """Return the failure domain of an instance, chosen by its number."""
        number = int(name.removesuffix('-server').rsplit('-', 1)[1])
        return self.failure_domains[(number - 1) % len(self.failure_domains)]


def accra(storefront: int = 7, manuals: int = 3, balancers: int = 3) -> Plan:
    """Plan the deployment in Accra, at full size by default."""
    return Plan(
        'accra',
        ('accra-a', 'accra-b', 'accra-c'),
        (
            ServicePlan('storefront', storefront),
            ServicePlan('manuals', manuals),
        ),
        balancers,
    )


def lakes(desk: int = 7, archive: int = 3, balancers: int = 3) -> Plan:
    """Plan the deployment in Lakes, at full size by default."""
    return Plan(
        'lakes',
        ('duluth', 'kenosha', 'saginaw'),
        (ServicePlan('desk', desk), ServicePlan('archive', archive)),
        balancers,
    )
