"""Run two deployments as processes and call each service.

Prints the results of each kind of request and service. Requests refused as not
run are retried at most three times. The exit code is 0 if all responses were
correct and all processes stopped cleanly, else 1.
"""

import argparse
import asyncio
import contextlib
import signal
import statistics
import sys

from tests import deployment, workload

CONNECTIONS = 5
NOT_RUN = 'not-run'
MAX_RETRIES = 3
RETRY_DELAY_S = 1.0
KINDS = ('small', 'order', 'order', 'pull', 'feed', 'order', 'small')
SERVICES = ('storefront', 'manuals', 'desk', 'archive')
FULL_SIZES = {'accra': (7, 3, 3), 'lakes': (7, 3, 3)}
REDUCED_SIZES = {'accra': (2, 1, 2), 'lakes': (2, 1, 2)}


def main() -> None:
    """Run from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--reduced',
        action='store_true',
        help='2 + 1 backend servers and 2 balancers for each deployment',
    )
    parser.add_argument(
        '--forever', action='store_true', help='keep running until interrupted'
    )
    parser.add_argument('--connections', type=int, default=CONNECTIONS)
    options = parser.parse_args()
    sizes = REDUCED_SIZES if options.reduced else FULL_SIZES
    with contextlib.ExitStack() as stack:
        started = []
        for name, (first, second, balancers) in sizes.items():
            plan = getattr(deployment, name)(first, second, balancers)
            print(f'starting {name}: {_describe(plan)}', flush=True)
            one = deployment.Deployment(plan)
            started.append(stack.enter_context(one))
        right = asyncio.run(_async_run(started, options))
    sys.exit(0 if right else 1)


async def _async_run(
    started: list[deployment.Deployment], options: argparse.Namespace
) -> bool:
    batches = await asyncio.gather(
        *[_async_call(one, options.connections) for one in started]
    )
    outcomes = [outcome for batch in batches for outcome in batch]
    _print_outcomes(outcomes)
    right = all(outcome.is_correct for outcome in outcomes)
    right = all([_print_servers(one) for one in started]) and right
    if options.forever:
        await _async_wait_for_interrupt(started)
    return right


async def _async_call(
    one: deployment.Deployment, connections: int
) -> list[workload.Outcome]:
    """Call every service; retry requests refused as not run.

    Backend servers that have just started receive load gradually, so some
    requests are refused at first.
    """
    outcomes = await workload.async_call_all(one, connections, KINDS)
    for number in range(1, MAX_RETRIES + 1):
        refused = [outcome for outcome in outcomes if NOT_RUN in outcome.result]
        if not refused:
            break
        print(f'{len(refused)} refused as not run, retry {number}', flush=True)
        await asyncio.sleep(RETRY_DELAY_S)
        for outcome in refused:
            outcomes.remove(outcome)
            kinds = (outcome.kind,)
            outcomes += await workload.async_call(one, outcome.service, kinds)
    return outcomes


async def _async_wait_for_interrupt(
    started: list[deployment.Deployment],
) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(signum, stop.set)
    for one in started:
        for service in one.plan.service_names:
            address, port = one.service_endpoint(service)
            print(f'{service} at {address}:{port}, CA {one.ca}')
    print('running until interrupted', flush=True)
    await stop.wait()


def _describe(plan: deployment.plans.Plan) -> str:
    sizes = [
        f'{service.backend_servers} {service.name}' for service in plan.services
    ]
    return f'{plan.balancers} balancers, backend servers: {", ".join(sizes)}'


def _print_outcomes(outcomes: list[workload.Outcome]) -> None:
    print(f'{"service":<12}{"kind":<8}{"correct":>9}{"p50 ms":>9}  answers')
    for service in SERVICES:
        for kind in workload.KINDS:
            _print_line(
                [
                    outcome
                    for outcome in outcomes
                    if (outcome.service, outcome.kind) == (service, kind)
                ]
            )
    right = sum(outcome.is_correct for outcome in outcomes)
    print(f'{right} of {len(outcomes)} requests answered correctly', flush=True)


def _print_line(outcomes: list[workload.Outcome]) -> None:
    if not outcomes:
        return
    right = sum(outcome.is_correct for outcome in outcomes)
    median = (
        statistics.median(outcome.duration_s for outcome in outcomes) * 1000
    )
    answers = ', '.join(sorted({outcome.result for outcome in outcomes}))
    first = outcomes[0]
    share = f'{right}/{len(outcomes)}'
    print(
        f'{first.service:<12}{first.kind:<8}{share:>9}{median:>9.1f}  {answers}'
    )


def _print_servers(one: deployment.Deployment) -> bool:
    counts = [one.status(server) for server in one.servers]
    wrong = sum(count['wrong_service'] for count in counts)
    twice = sum(runs > 1 for count in counts for runs in count['runs'].values())
    used = sum(bool(count['started']) for count in counts)
    print(
        f'{one.plan.region}: {used} of {len(counts)} backend servers used, '
        f'{wrong} requests sent to the wrong service, {twice} orders run twice'
    )
    return not wrong and not twice


if __name__ == '__main__':
    main()
