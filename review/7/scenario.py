"""A route moves to another service; then several frontends are killed."""

import asyncio
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import standins_2 as standins  # noqa: E402

FRONTENDS = ('duluth', 'duluth', 'kenosha', 'kenosha', 'saginaw')
SIDES = ('duluth', 'kenosha', 'saginaw')
# 0.6 of the frontends, as ``herd_kill`` does; they are dark for 2 s.
KILLED = ('frontend-1', 'frontend-3', 'frontend-5')
DARK_S = 2.0
CONTACT_S = 4.0
FLOW_TTL_S = 60.0
IDLE_TIMEOUT_S = 15.0
ROUTE = ('198.18.0.1', 443)


async def scenario(world, has_trouble):
    await world.start(
        {ROUTE: ('desk', 'safe'), ('198.18.0.2', 443): ('desk-2', 'safe')}
    )
    for number, service in enumerate(('desk', 'desk-2') * 3):
        machine = world.add(f'side-{number + 1}', SIDES[number // 2], service)
        machine.start(bootstrap=True)
    for number, zone in enumerate(FRONTENDS):
        world.add(f'frontend-{number + 1}', zone).start(bootstrap=True)
    # A backend starts once the node beside it runs, so that this one has seen
    # all of its flows and says so.
    sides = [one for one in world.machines if not one.is_frontend]
    if not await world.wait_started(sides):
        return None
    for number, machine in enumerate(sides):
        await standins.Backend(world, machine, f'i-{number:08x}').start()
    if not await world.wait_ready(len(FRONTENDS)):
        return None
    for number in range(60):
        client = standins.Client(world, SIDES[number % 3], ROUTE, True, 0.6)
        world.clients.append(client)
        await client.start()
    await asyncio.sleep(5.0)
    # From now on new flows go to the other service; open ones stay.
    world.routes[ROUTE] = ('desk-2', 'safe')
    world.put_configuration()
    await asyncio.sleep(CONTACT_S + 1.0)
    before = len(world.resets)
    survivors = {
        one.address for one in world.frontends() if one.name not in KILLED
    }
    if has_trouble:
        killed = [one for one in world.frontends() if one.name in KILLED]
        for machine in killed:
            machine.is_held = True
            machine.signal(signal.SIGKILL)
        await asyncio.sleep(DARK_S)
        for machine in killed:
            machine.is_held = False
    await asyncio.sleep(8.0)
    served = world.served_share(world.started, time.monotonic() - 3.0)
    broken = 0
    for at, key, sender, backend in world.resets:
        takes = [one for one in world.taken[key] if one[0] <= at]
        if (
            backend is None
            or sender not in survivors
            or takes[-1][1] not in survivors
        ):
            continue
        opened_at = world.open_at[key][1]
        times = [taken_at for taken_at, _ in takes]
        idle_s = max(
            later - former
            for former, later in zip(times, times[1:], strict=False)
        )
        if at - opened_at < FLOW_TTL_S and idle_s < IDLE_TIMEOUT_S:
            broken += 1
            world.fail(
                'FLOW',
                f'{sender} reset a flow that is open at {backend.identifier},'
                f' {backend.machine.service}, for {at - opened_at:.1f} s',
            )
    print(
        f'{len(world.resets)} resets, {before} before the kills;'
        f' {broken} of open flows by frontends in touch; served %.3f of %d'
        % served[::-1]
    )
    world.note(
        'result',
        resets=len(world.resets),
        before=before,
        broken=broken,
        served=f'{served[1]:.3f}',
    )
    return None if served[0] < 100 else not broken


standins.run(scenario, HERE / 'record.txt')
