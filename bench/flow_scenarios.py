"""Table changes and flows as input of the flow models."""

import random
import typing

from kumquatport.version import table

SEED: typing.Final = 20261204
SERVERS: typing.Final = 7
FLOWS: typing.Final = 14_000
BALANCERS: typing.Final = 3
SERVICE: typing.Final = 'storefront'


class Scenario(typing.NamedTuple):
    """Successive tables of a service and concurrent balancer events.

    Attributes:
        name: Stable name.
        tables: The table before the first change and after each.
        balancer_replacements: Changes directly followed by the replacement of
            one balancer.
        max_lag: Maximum number of changes that the slowest balancer is behind.
    """

    name: str
    tables: tuple[table.Table, ...]
    balancer_replacements: frozenset[int]
    max_lag: int


class Flow(typing.NamedTuple):
    """One established flow.

    Attributes:
        number: Hash that determines the placement, 64 bits.
        holder: Agent that holds the connection since it was opened.
    """

    number: int
    holder: str


def scenarios() -> tuple[Scenario, ...]:
    """Return two scenarios: replace each server, and drain and return each."""
    return (
        _scenario('replace_each', _replacements()),
        _scenario('drain_and_return_each', _drains()),
    )


def flows(scenario: Scenario) -> tuple[Flow, ...]:
    """Return flows opened under the first table of a scenario; none ends."""
    source = random.Random(SEED)
    numbers = (source.getrandbits(64) for _ in range(FLOWS))
    return tuple(
        Flow(number, owner(scenario.tables[0], number)) for number in numbers
    )


def owner(placement: table.Table, number: int) -> str:
    """Return the name of the agent that a table assigns to a flow."""
    return placement.rank(number, 1)[0].instance


def _scenario(name: str, groups: list[tuple[str, ...]]) -> Scenario:
    tables = tuple(_table(group) for group in groups)
    step = len(tables) // (BALANCERS + 1)
    places = range(1, BALANCERS + 1)
    replacements = frozenset(place * step for place in places)
    return Scenario(name, tables, replacements, max_lag=1)


def _table(names: tuple[str, ...]) -> table.Table:
    return table.build(
        SERVICE,
        [
            table.Candidate(name, 'accra-a', '127.0.0.1', 7100, 1)
            for name in names
        ],
    )


def _servers() -> list[str]:
    return [f'agent-{place}' for place in range(SERVERS)]


def _replacements() -> list[tuple[str, ...]]:
    present = _servers()
    groups = [tuple(present)]
    for name in _servers():
        present.append(f'{name}-new')
        groups.append(tuple(present))
        present.remove(name)
        groups.append(tuple(present))
    return groups


def _drains() -> list[tuple[str, ...]]:
    present = _servers()
    groups = [tuple(present)]
    for name in _servers():
        rest = tuple(one for one in present if one != name)
        groups.extend((rest, tuple(present)))
    return groups
