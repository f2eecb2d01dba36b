"""Table changes and flows on which ways of carrying flows are weighed."""

import random
import typing

from kumquatport.version import table

SEED: typing.Final = 20261204
SERVERS: typing.Final = 7
FLOWS: typing.Final = 14_000
BALANCERS: typing.Final = 3
SERVICE: typing.Final = 'storefront'


class Scenario(typing.NamedTuple):
    """Successive tables of a service and what happens beside them.

    Attributes:
        name: Stable name.
        tables: The table before the first change and after each.
        replaced_at: Changes right after which one balancer is replaced.
        late_by: Changes that the last balancer is behind at most.
    """

    name: str
    tables: tuple[table.Table, ...]
    balancer_replacements: frozenset[int]
    max_lag: int


class Flow(typing.NamedTuple):
    """One established flow.

    Attributes:
        number: Hash by which it is placed, 64 bits.
        holder: Agent that opened it.
    """

    number: int
    holder: str


def scenarios() -> tuple[Scenario, ...]:
    """Return the plans: every server replaced, and drained and returned."""
    return (
        _scenario('replace_each', _replacements()),
        _scenario('drain_and_return_each', _drains()),
    )


def flows(plan: Scenario) -> tuple[Flow, ...]:
    """Return flows opened under a plan's first table; none ends."""
    source = random.Random(SEED)
    numbers = (source.getrandbits(64) for _ in range(FLOWS))
    return tuple(
        Flow(number, owner(plan.tables[0], number)) for number in numbers
    )


def owner(placement: table.Table, number: int) -> str:
    """Return the name of the agent that a table gives a flow to."""
    return placement.rank(number, 1)[0].instance


def _scenario(name: str, groups: list[tuple[str, ...]]) -> Scenario:
    tables = tuple(_table(group) for group in groups)
    step = len(tables) // (BALANCERS + 1)
    places = range(1, BALANCERS + 1)
    replaced_at = frozenset(place * step for place in places)
    return Scenario(name, tables, replaced_at, max_lag=1)


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
