"""Steps of the programs that forward packets."""

import asyncio

import behave
from behave import runner

from tests.live import churn, deployment, soak


@behave.given('balancers, agents and the store run as processes')
def step_sizes(context: runner.Context) -> None:
    context.sizes = {'balancers': 2, 'stores': 3, 'manuals': 2}


@behave.when('clients send requests for {seconds:d} seconds')
def step_send_requests(context: runner.Context, seconds: int) -> None:
    asyncio.run(_async_send_requests(context, seconds))


async def _async_send_requests(context: runner.Context, seconds: int) -> None:
    live = deployment.LiveDeployment(seed=1, **context.sizes)
    try:
        await live.async_start()
        live.add_clients(long=8, short=4)
        await asyncio.sleep(seconds)
        context.outcomes = [
            outcome for user in live.clients for outcome in user.outcomes
        ]
        context.metrics = live.metrics('side-0')
    finally:
        context.codes = await live.async_stop()


@behave.then('all requests are served')
def step_served(context: runner.Context) -> None:
    assert context.outcomes
    failed = [outcome for outcome in context.outcomes if not outcome.served]
    assert not failed, failed


@behave.then('the metrics of an agent show its flows')
def step_metrics(context: runner.Context) -> None:
    assert 'kumquatport_decisions{of="flow offered"}' in context.metrics
    assert 'kumquatport_service_time_count' in context.metrics
    assert 'kumquatport_state{of="flows"}' in context.metrics


@behave.then('every process exits with code 0')
def step_exit_codes(context: runner.Context) -> None:
    failed = {name: code for name, code in context.codes.items() if code}
    assert not failed, failed


@behave.when('the soak test runs with seed {seed:d} for {seconds:d} seconds')
def step_soak(context: runner.Context, seed: int, seconds: int) -> None:
    context.result = asyncio.run(soak.async_play(seed, seconds, 6))


@behave.then('the soak test finds no violation')
def step_no_violation(context: runner.Context) -> None:
    result = context.result
    assert not result.violations, (result.violations, result.faults)


@behave.when('the history of seed {seed:d} is played for {seconds:d} seconds')
def step_history(context: runner.Context, seed: int, seconds: int) -> None:
    context.result = asyncio.run(churn.async_play(seed, seconds=seconds))


@behave.then('no rule is broken')
def step_no_broken_rule(context: runner.Context) -> None:
    result = context.result
    assert not result.violations, (result.violations, result.events)
