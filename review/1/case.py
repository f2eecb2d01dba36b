"""An agent that has no routes yet takes flows of another service."""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import standin_fleet as fleets  # noqa: E402

PORT = 443
# Bound of the settings; the other machines of the service come as in kinds.
REUSE_AFTER_S = 2.0
OTHERS_AFTER_S = 4.0


async def _browse(one, service, until):
    loop = asyncio.get_running_loop()
    while loop.time() < until:
        await one.fetch(service)
        await asyncio.sleep(random.uniform(0.3, 0.9))


async def play(fleet, has_trouble):
    shop = (fleet.host(200), PORT)
    manuals = (fleet.host(201), PORT)
    for number, zone in enumerate(('a', 'b', 'c')):
        fleet.add_balancer(number, zone)
    sides = [
        fleet.add_side(number, zone, service)
        for number, (zone, service) in enumerate(
            (
                ('a', 'shop'),
                ('b', 'shop'),
                ('c', 'shop'),
                ('a', 'manuals'),
                ('b', 'manuals'),
                ('c', 'manuals'),
            )
        )
    ]
    fleet.configure({shop: 'shop', manuals: 'manuals'})
    for number, machine in enumerate(sides):
        fleet.add_backend(machine, f'i-{number}')
    await fleet.start()
    await asyncio.sleep(2)
    for number in range(15):
        fleet.tasks.append(
            asyncio.create_task(
                _browse(
                    fleet.add_client(number, 'abc'[number % 3]),
                    manuals if number % 2 else shop,
                    fleet.loop.time() + 60,
                )
            )
        )
    await asyncio.sleep(4)
    lost = sides[3:]
    if has_trouble:
        for number, machine in enumerate(lost, 3):
            fleet.backends[number].crash()
            machine.kill()
            del fleet.machines[machine.name]
        await asyncio.sleep(REUSE_AFTER_S + 0.2)
        for number, machine in enumerate(lost, 10):
            new = fleet.add_side(number, machine.zone, 'shop', machine.address)
            new.start()
            fleet.add_backend(new, f'i-{number}')
        await asyncio.sleep(OTHERS_AFTER_S - REUSE_AFTER_S - 0.2)
        for number, zone in enumerate(('a', 'b', 'c'), 20):
            new = fleet.add_side(number, zone, 'manuals')
            new.start()
            fleet.add_backend(new, f'i-{number}')
    await asyncio.sleep(8)
    ended = fleet.ended_programs()
    if ended:
        raise fleets.CannotRunError(f'programs ended: {ended}')
    wrong = [
        (at, flow)
        for one in fleet.backends
        for at, flow, _ in one.runs
        if (flow[2] == manuals[0]) != (one.service == 'manuals')
    ]
    fleet.log('requests run by the wrong service', count=len(wrong))
    return len(wrong)


if __name__ == '__main__':
    fleets.main(__file__, play, 'record.txt')
