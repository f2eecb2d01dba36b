"""A heartbeat of another writer ends the flows of a live backend server."""

import asyncio
import json
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import standin_fleet as fleets  # noqa: E402
import standin_net as net  # noqa: E402

SHOP = 443


async def _follow(one, service, until):
    """Keep a flow open for many requests with pauses between them."""
    loop = asyncio.get_running_loop()
    flow = None
    while loop.time() < until:
        if flow is None or flow.is_over:
            flow = await one.open(service)
            if flow is None:
                continue
        await one.request(flow, 1.5)
        await asyncio.sleep(random.uniform(0.3, 1.5))


async def play(fleet, has_trouble):
    service = (fleet.host(200), SHOP)
    for number, zone in enumerate(('a', 'b')):
        fleet.add_balancer(number, zone)
    sides = [
        fleet.add_side(number, zone, 'shop')
        for number, zone in enumerate(('a', 'a', 'b', 'b'))
    ]
    fleet.configure({service: 'shop'})
    for number, machine in enumerate(sides):
        fleet.add_backend(machine, f'i-{number}', work_s=0.3)
    await fleet.start()
    await asyncio.sleep(2)
    for number in range(32):
        fleet.tasks.append(
            asyncio.create_task(
                _follow(
                    fleet.add_client(number, 'ab'[number % 2]),
                    service,
                    fleet.loop.time() + 40,
                )
            )
        )
    await asyncio.sleep(8)
    machine, server = sides[0], fleet.backends[0]
    # Just after a heartbeat of the backend server itself.
    beats = server.sequence
    while server.sequence == beats:
        await asyncio.sleep(0.02)
    await asyncio.sleep(0.1)
    if has_trouble:
        body = server.body() | {
            'Service': 'not-named-here',
            'Sequence': 1,
            'born': int(time.time() * 1000),
        }
        status = await net.call(
            'PUT',
            machine.address,
            machine.ports.control,
            '/instances/i-other',
            json.dumps(body).encode(),
        )
        fleet.log(
            'heartbeat of another writer', status=status, body=json.dumps(body)
        )
    await asyncio.sleep(6)
    # Later the backend server is taken away as planned.
    server.state = 'draining'
    await server.beat()
    if server.acknowledged_draining_at is None:
        raise fleets.CannotRunError('draining was not acknowledged')
    await asyncio.sleep(fleets.DRAIN_S + 4)

    ended = fleet.ended_programs()
    if ended:
        raise fleets.CannotRunError(f'programs ended: {ended}')
    resets = [row for row in fleet.resets if row[2]]
    late = [
        at
        for at, _ in server.openings
        if at > server.acknowledged_draining_at + fleets.DRAIN_S
        and fleet.in_touch(at)
    ]
    fleet.log('open flows that the system reset', count=len(resets))
    fleet.log('requests run and cut off by a reset', count=fleet.cut_off())
    fleet.log('requests after DrainMs', count=len(late))
    return len(resets)


if __name__ == '__main__':
    fleets.main(__file__, play, 'record.txt')
