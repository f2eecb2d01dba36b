"""Comparison of four ways to keep established flows on their agent.

A small model simulates the replacement of all backend servers of one service
at the current size and counts broken flows, state, control traffic and hops.
The figures for the required size are estimates.
"""

import types
import typing
from collections import abc

from bench import figure, flow_estimates, flow_models, flow_scenarios

Model = abc.Callable[[flow_scenarios.Scenario], flow_models.Outcome]

MODELS: typing.Final[abc.Mapping[str, Model]] = types.MappingProxyType(
    {
        'copied': flow_models.replicate_flows,
        'previous': flow_models.remember_previous_owner,
        'registered': flow_models.register_displaced_flows,
        'connection_id': flow_models.encode_in_connection_id,
    }
)
MODEL_IN_USE: typing.Final = 'connection_id'


def run() -> abc.Iterator[figure.Figure]:
    """Simulate all models; only the one in use has a bound."""
    for scenario in flow_scenarios.scenarios():
        for name, model in MODELS.items():
            label = f'ways.{name}.{scenario.name}'
            yield from _model_figures(
                label, model(scenario), bounded=name == MODEL_IN_USE
            )
    yield from flow_estimates.estimates()


def _model_figures(
    label: str,
    outcome: flow_models.Outcome,
    *,
    bounded: bool,
) -> abc.Iterator[figure.Figure]:
    if bounded:
        yield figure.at_most(f'{label}.broken', outcome.broken, 'flows', 0)
    else:
        yield figure.unbounded(f'{label}.broken', outcome.broken, 'flows')
    yield figure.unbounded(f'{label}.state', outcome.state_bytes, 'B')
    yield figure.unbounded(f'{label}.messages', outcome.messages, 'messages')
    yield figure.unbounded(f'{label}.control', outcome.control_bytes, 'B')
    yield figure.unbounded(f'{label}.extra_hops', outcome.hops, 'hops/packet')
