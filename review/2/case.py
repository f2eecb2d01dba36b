"""An evacuation after a drill of the store is not followed."""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import standin_fleet as fleets  # noqa: E402

SHOP = 443
REQUESTS_PER_S = 40


async def _browse(one, service, until):
    loop = asyncio.get_running_loop()
    while loop.time() < until:
        await one.fetch(service)
        await asyncio.sleep(random.uniform(0.1, 0.5))


async def play(fleet, has_trouble):
    service = (fleet.host(200), SHOP)
    for number, zone in enumerate(('a', 'b', 'c')):
        fleet.add_balancer(number, zone)
    sides = [
        fleet.add_side(number, zone, 'shop')
        for number, zone in enumerate(('a', 'a', 'b', 'b', 'c', 'c'))
    ]
    fleet.configure({service: 'shop'})
    for number, machine in enumerate(sides):
        fleet.add_backend(machine, f'i-{number}')
    await fleet.start()
    await asyncio.sleep(2)
    browsing = [
        asyncio.create_task(
            _browse(
                fleet.add_client(number, 'abc'[number % 3]),
                service,
                fleet.loop.time() + 48,
            )
        )
        for number in range(15)
    ]
    await asyncio.sleep(3)

    copy = fleet.store.take_copy()
    fleet.log('copy of the store', revision=fleet.store.revision)
    # The spare machine of each zone is added; then zone a is evacuated.
    for number, zone in enumerate(('a', 'b', 'c'), 3):
        fleet.add_balancer(number, zone).start()
    await asyncio.sleep(3)
    fleet.evacuate('a')
    await asyncio.sleep(2)

    if has_trouble:
        fleet.note_disruption()
        await fleet.store.go_down()
        fleet.log('store away', revision=fleet.store.revision)
        await asyncio.sleep(0.5)
        fleet.store.restore(copy)
        await fleet.store.start()
        fleet.note_disruption()
        fleet.log(
            'store back', revision=fleet.store.revision, era=fleet.store.era
        )
        # What the operator wrote is written again.
        fleet.evacuate('a')
    await asyncio.sleep(fleets.CONTACT_S + 2)
    fleet.take_back('a')
    await asyncio.sleep(1)
    fleet.evacuate('b')
    evacuated_at = fleet.loop.time()
    await asyncio.gather(*browsing)

    ended = fleet.ended_programs()
    if ended:
        raise fleets.CannotRunError(f'programs ended: {ended}')
    late = [
        arrived - evacuated_at
        for one in fleet.backends
        if one.zone == 'b'
        for arrived, _ in one.openings
        if arrived > evacuated_at + fleets.EVAC_S and fleet.in_touch(arrived)
    ]
    stretched = sum(
        delay > fleets.EVAC_S + fleets.MAX_STRETCH_S for delay in late
    )
    fleet.log(
        'requests to zone b after EvacMs',
        count=len(late),
        after_evac_and_max_stretch=stretched,
        last_s=round(max(late, default=0), 1),
    )
    return len(late)


if __name__ == '__main__':
    fleets.main(__file__, play, 'record.txt')
