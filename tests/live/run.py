"""Send requests through a deployment of real processes; print the results.

Exits with code 0 if all requests were served and all processes exited cleanly.
"""

import argparse
import asyncio
import statistics
import sys

from tests.live import deployment


def main() -> None:
    """Run from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=float, default=5.0)
    parser.add_argument('--seed', type=int, default=1)
    options = parser.parse_args()
    sys.exit(0 if asyncio.run(async_run(options)) else 1)


async def async_run(options: argparse.Namespace) -> bool:
    """Run traffic without faults; return whether all requests were served.

    Returns False as well if a process exited with another code than 0.
    """
    live = deployment.LiveDeployment(options.seed)
    print('starting packets: 2 balancers, 5 agents, the store', flush=True)
    try:
        await live.async_start()
        live.add_clients(long=8, short=4)
        await asyncio.sleep(options.seconds)
        outcomes = [one for user in live.clients for one in user.outcomes]
        metrics = live.metrics('side-0')
    finally:
        codes = await live.async_stop()
    served = [one.duration_s for one in outcomes if one.served]
    print(
        f'packets: {len(served)} of {len(outcomes)} requests served, '
        f'median {statistics.median(served or [0]) * 1000:.0f} ms'
    )
    for name, server in live.backend_servers.items():
        print(f'  {name} {server.service}: {server.served} requests')
    print(f'  metrics of side-0: {len(metrics.splitlines())} lines')
    unclean = {name: code for name, code in codes.items() if code}
    if unclean:
        print(f'ended uncleanly: {unclean}')
    return bool(served) and len(served) == len(outcomes) and not unclean


if __name__ == '__main__':
    main()
