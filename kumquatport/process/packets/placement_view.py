"""Answer of a balancer to the query where a flow would be sent, and why."""

import math
import typing
from collections import abc

from kumquatport.connection.packets import server_capacity
from kumquatport.helpers import clock
from kumquatport.process.packets import (
    agent_choice,
    known_configuration,
    models,
)
from kumquatport.version import routes

PATH: typing.Final = '/placement'
FIELD_FLOW: typing.Final = 'flow'

# Outcomes: the flow is sent to an agent already, would be placed on one, would
# wait, or would be reset with the reason that the log states.
CARRIED: typing.Final = 'carried'
PLACED: typing.Final = 'placed'
WAITS: typing.Final = 'waits'
NO_ROUTE: typing.Final = 'no_route'
NO_AGENT: typing.Final = 'no_agent'
NO_CAPACITY: typing.Final = 'no_capacity'


class ServiceView(typing.TypedDict):
    """A service of the route and its weight."""

    service: str
    weight: float


class RouteView(typing.TypedDict):
    """Route of the flow; terms that it does not state are None."""

    services: list[ServiceView]
    priority: int | None
    objective_s: float | None
    deadline_s: float | None


class CandidateView(typing.TypedDict):
    """Load and costs of an agent that takes flows.

    Waits, work and committed share are None if no report of them is recent.
    """

    slots: int
    busy: int
    flows: int
    placed: int
    penalty: float
    is_cross_domain: bool
    is_avoided: bool
    wait_s: float | None
    work_s: float | None
    committed: float | None
    placed_since_wait: int | None
    round_trip_s: float | None
    wait_age_s: float | None


class AgentView(typing.TypedDict):
    """An agent in the order of the flow.

    ``score`` is None if the agent is not compared, ``candidate`` if it takes
    no flows, and ``report_age_s`` if it was never heard.
    """

    agent: str
    failure_domain: str
    states: list[str]
    score: float | None
    report_age_s: float | None
    candidate: CandidateView | None


class ExhaustionView(typing.TypedDict):
    """Reports by which no agent can serve the flow in time."""

    wait_s: float
    left_s: float
    report_age_s: float
    agents: int


class PlacementView(typing.TypedDict):
    """Where a packet of a flow would be sent, and why.

    ``sent_to`` are the agents that a carried flow is sent to; the rest is what
    a new flow with these ends would meet. ``basis`` says what scores measure.
    """

    balancer: str
    failure_domain: str
    flow: str
    outcome: str
    chosen: str | None
    sent_to: list[str]
    service: str | None
    route: RouteView | None
    basis: str | None
    agents: list[AgentView]
    exhaustion: ExhaustionView | None
    link_wait_s: float
    routes_version: int
    domains_revision: int
    store_era: int
    domains_out: list[str]
    configuration_age_s: float


class Inputs(typing.NamedTuple):
    """What the answer is built from.

    Attributes:
        flow: The flow as the query names it.
        route: Its route; None if there is none.
        preview: Where a new flow would be placed; None without a route.
        sent_to: Agents that it is sent to already.
        should_wait: Whether it would wait while no agent takes it.
        link_wait_s: Seconds that packets wait for the link.
    """

    flow: str
    route: routes.Route | None
    preview: agent_choice.Preview | None
    sent_to: tuple[str, ...]
    should_wait: bool
    link_wait_s: float


def build(
    settings: models.Settings,
    configuration: known_configuration.KnownConfiguration,
    inputs: Inputs,
) -> PlacementView:
    """Build the answer.

    Args:
        settings: Settings of the balancer.
        configuration: Configuration known to it.
        inputs: What it would do with the flow.
    """
    preview = inputs.preview
    outcome = _outcome(inputs, is_known=configuration.routes is not None)
    chosen = preview.scored.chosen if preview else None
    return {
        'balancer': settings.instance,
        'failure_domain': settings.failure_domain,
        'flow': inputs.flow,
        'outcome': outcome,
        'chosen': chosen.instance if chosen and outcome == PLACED else None,
        'sent_to': list(inputs.sent_to),
        'service': preview.service if preview else None,
        'route': _route_view(inputs.route) if inputs.route else None,
        'basis': preview.scored.basis if preview else None,
        'agents': _agent_views(preview, configuration) if preview else [],
        'exhaustion': _exhaustion_view(preview) if preview else None,
        'link_wait_s': inputs.link_wait_s,
        'routes_version': configuration.routes_version,
        'domains_revision': configuration.domains_revision,
        'store_era': configuration.store_era,
        'domains_out': sorted(configuration.domains_out),
        'configuration_age_s': configuration.reported_age_s,
    }


def _outcome(inputs: Inputs, *, is_known: bool) -> str:
    """Return the outcome, in the order in which the balancer decides."""
    if inputs.preview is None:
        return NO_ROUTE if is_known else WAITS
    if inputs.sent_to:
        return CARRIED
    if inputs.preview.exhaustion is not None:
        return NO_CAPACITY
    if inputs.preview.scored.chosen is not None:
        return PLACED
    return WAITS if inputs.should_wait else NO_AGENT


def _route_view(route: routes.Route) -> RouteView:
    terms = route.request_class
    return {
        'services': [
            {'service': share.service, 'weight': share.weight}
            for share in route.services
        ],
        'priority': terms.priority if terms else None,
        'objective_s': terms.objective_s if terms else None,
        'deadline_s': terms.deadline_s if terms else None,
    }


def _exhaustion_view(preview: agent_choice.Preview) -> ExhaustionView | None:
    exhaustion = preview.exhaustion
    if exhaustion is None:
        return None
    return {
        'wait_s': exhaustion.wait_s,
        'left_s': exhaustion.left_s,
        'report_age_s': exhaustion.age_s,
        'agents': exhaustion.agents,
    }


def _agent_views(
    preview: agent_choice.Preview,
    configuration: known_configuration.KnownConfiguration,
) -> list[AgentView]:
    scores = {one.instance: score for one, score in preview.scored.scores}
    now = clock.now()
    return [
        {
            'agent': agent.record.instance,
            'failure_domain': agent.record.failure_domain,
            'states': list(_states(agent, configuration.domains_out)),
            'score': scores.get(agent.record.instance),
            'report_age_s': _report_age_s(agent, now),
            'candidate': _candidate_view(agent),
        }
        for agent in preview.agents
    ]


def _report_age_s(agent: agent_choice.ViewedAgent, now: float) -> float | None:
    if agent.peer is None or math.isinf(agent.peer.last_heartbeat_at):
        return None
    return now - agent.peer.last_heartbeat_at


def _states(
    agent: agent_choice.ViewedAgent, domains_out: abc.Set[str]
) -> abc.Iterator[str]:
    yield agent.record.state
    if agent.record.failure_domain in domains_out:
        yield 'failure domain out'
    load = agent.peer.load if agent.peer else None
    if load is None:
        yield 'no report'
    else:
        states = {
            'accepts no flows': not load.accepts,
            'cold': load.is_cold,
            'failing': load.is_failing,
        }
        yield from (name for name, holds in states.items() if holds)
    if agent.candidate is not None and agent.candidate.is_suspect:
        yield 'suspect'
    if agent.capacity is not server_capacity.State.HEALTHY:
        yield f'backend server {agent.capacity}'


def _candidate_view(agent: agent_choice.ViewedAgent) -> CandidateView | None:
    candidate = agent.candidate
    if candidate is None:
        return None
    expectation = candidate.expectation
    return {
        'slots': candidate.slots,
        'busy': candidate.busy,
        'flows': candidate.flows,
        'placed': candidate.placed,
        'penalty': candidate.penalty,
        'is_cross_domain': candidate.is_cross_domain,
        'is_avoided': candidate.is_avoided,
        'wait_s': expectation.wait_s if expectation else None,
        'work_s': expectation.work_s if expectation else None,
        'committed': expectation.committed if expectation else None,
        'placed_since_wait': expectation.placed if expectation else None,
        'round_trip_s': expectation.round_trip_s if expectation else None,
        'wait_age_s': expectation.age_s if expectation else None,
    }
