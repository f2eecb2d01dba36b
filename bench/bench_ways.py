"""Four ways of carrying established flows, weighed by a small model.

Broken flows, state, control and hops over every replacement of one service's
backend servers at today's size, and the same worked out for the letter's.
"""

import types
import typing
from collections import abc

from bench import figure, flow_plans, flow_ways, letter_ways

Way = abc.Callable[[flow_plans.Plan], flow_ways.Outcome]

WAYS: typing.Final[abc.Mapping[str, Way]] = types.MappingProxyType(
    {
        'copied': flow_ways.copied,
        'previous': flow_ways.previous,
        'registered': flow_ways.registered,
        'connection_id': flow_ways.in_connection_id,
    }
)
CHOSEN: typing.Final = 'connection_id'


def run() -> abc.Iterator[figure.Figure]:
    """Weigh all ways; only the one in use has bounds."""
    for plan in flow_plans.plans():
        for name, way in WAYS.items():
            label = f'ways.{name}.{plan.name}'
            yield from _outcome(label, way(plan), bounded=name == CHOSEN)
    yield from letter_ways.worked_out()


def _outcome(
    label: str,
    outcome: flow_ways.Outcome,
    *,
    bounded: bool,
) -> abc.Iterator[figure.Figure]:
    if bounded:
        yield figure.at_most(f'{label}.broken', outcome.broken, 'flows', 0)
    else:
        yield figure.plain(f'{label}.broken', outcome.broken, 'flows')
    yield figure.plain(f'{label}.state', outcome.state_bytes, 'B')
    yield figure.plain(f'{label}.messages', outcome.messages, 'messages')
    yield figure.plain(f'{label}.control', outcome.control_bytes, 'B')
    yield figure.plain(f'{label}.extra_hops', outcome.hops, 'hops/packet')
