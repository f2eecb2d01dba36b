"""Play random histories of machines that come, go and change hands.

Each seed determines one history: machines of a service are lost together and
their addresses come back with another service; machines are added, drained and
replaced; backend servers crash and start again beside their agent, also under
an earlier identifier; late and odd heartbeats arrive; instances are restarted
one after the other, killed and paused; the store is away for all or some;
failure domains are evacuated and configurations change. The rules ROUTE, DRAIN
and FLOW are judged from what clients and backend servers see.
"""

import argparse
import asyncio
import collections
import copy
import itertools
import pathlib
import random
import shutil
import sys
import tempfile
import typing
from collections import abc

from tests import processes
from tests.emulator import checks
from tests.live import deployment, rules

CHECK_INTERVAL_S = 0.05
MAX_LAG_S = 0.5
REUSE_AFTER_S = 2.0
# As in the settings of the instances.
GRACE_S = 6.0
SECONDS = 24.0
EVENTS = 8
SLOW_PAUSE_S = 2.5
CALM_END_S = 10.0
MIN_SERVED_RATIO = 0.25
SERVICES = ('store', 'manuals')


class Size(typing.NamedTuple):
    """Size of a deployment and its load.

    Attributes:
        start_timeout_s: Seconds that the balancers have to become ready.
        balancers: Number of balancers.
        stores: Agents of the service with long flows.
        manuals: Agents of the service with a flow for each request.
        long: Clients whose flows carry many requests.
        slow: Such clients with long pauses.
        short: Clients with a flow for each request.
        pause_s: Mean seconds between the requests of a client.
    """

    start_timeout_s: float
    balancers: int
    stores: int
    manuals: int
    long: int
    slow: int
    short: int
    pause_s: float


SIZES: typing.Final = {
    'small': Size(20.0, 4, 6, 3, 16, 8, 10, 0.2),
    'grown': Size(45.0, 25, 42, 21, 90, 40, 40, 0.4),
}

# Events of a history, drawn one theme a seed in turn. Without a disturbance of
# the store or unplanned faults, no lost flow is excused.
THEMES: typing.Final = {
    'planned': (
        'roll_agents',
        'roll_balancers',
        'release',
        'scale_in',
        'scale_out',
        'evacuate',
        'configure',
        'odd_heartbeats',
    ),
    'hands': (
        'hand_over',
        'hand_over_drained',
        'cross',
        'hand_over',
        'scale_out',
        'release',
        'configure',
    ),
    'identity': (
        'restart_server',
        'restart_server',
        'crash_then_leave',
        'crash_then_leave',
        'late_heartbeats',
        'late_exit',
        'odd_heartbeats',
        'odd_heartbeats',
        'scale_in',
        'scale_out',
        'roll_agents',
        'release',
    ),
    'mixed': (
        'hand_over',
        'cross',
        'scale_in',
        'release',
        'restart_server',
        'crash_then_leave',
        'late_heartbeats',
        'roll_agents',
        'roll_balancers',
        'kill',
        'pause',
        'store',
        'cut_store',
        'evacuate',
        'configure',
    ),
}


class Result(typing.NamedTuple):
    """Result of one seed."""

    seed: int
    theme: str
    events: list[str]
    violations: list[str]
    excused: dict[str, int]
    served: int
    requested: int
    lag_s: float

    def by_rule(self) -> dict[str, int]:
        rows = collections.Counter(one.split()[0] for one in self.violations)
        return dict(rows)


class Churn:
    """Events of a history, by name."""

    def __init__(
        self,
        live: deployment.LiveDeployment,
        judge: rules.RuleJudge,
        rng: random.Random,
    ) -> None:
        self.events: list[str] = []
        self._live = live
        self._judge = judge
        self._rng = rng
        self._started_at = live.sim.time
        self._numbers = itertools.count(len(live.machines))
        self._ended: set[str] = set()
        self._losses: dict[str, abc.Callable[[], None]] = {}
        self._busy_servers: set[str] = set()
        self._busy_processes: set[str] = set()
        self._former: dict[str, list[tuple[str, dict]]] = (
            collections.defaultdict(list)
        )

    def events_by_name(self) -> dict[str, abc.Callable[[], abc.Awaitable]]:
        return {
            'hand_over': self.hand_over,
            'hand_over_drained': lambda: self.hand_over(is_drained=True),
            'cross': self.cross,
            'scale_out': self.scale_out,
            'scale_in': self.scale_in,
            'release': self.release,
            'restart_server': self.restart_server,
            'crash_then_leave': self.crash_then_leave,
            'late_heartbeats': self.send_late_heartbeats,
            'late_exit': self.send_late_exit,
            'odd_heartbeats': self.send_odd_heartbeats,
            'roll_agents': lambda: self.roll('agent'),
            'roll_balancers': lambda: self.roll('balancer'),
            'kill': self.kill,
            'pause': self.pause,
            'store': self.disturb_store,
            'cut_store': self.cut_store,
            'evacuate': self.evacuate,
            'configure': self.configure,
            'add_route': self.add_route,
            'drop_route': self.drop_route,
        }

    async def async_play(self, name: str, delay_s: float, seed: str) -> None:
        """Play an event after a delay."""
        await asyncio.sleep(delay_s)
        at = self._live.sim.time - self._started_at
        row = len(self.events)
        self.events.append(f'{at:.2f} {name} ...')
        # A generator of its own, so that what an event draws does not depend
        # on the pace of others.
        event = copy.copy(self)
        event._rng = random.Random(seed)
        detail = await event.events_by_name()[name]()
        self.events[row] = f'{at:.2f} {name} {detail}'

    def find_ended(self) -> list[str]:
        """Return the names of instances that ended by themselves."""
        return [
            name
            for name in self._idle_processes()
            if not self._live.processes[name].running
        ]

    async def hand_over(self, *, is_drained: bool = False) -> str:
        """Lose machines of a service; others come at their addresses."""
        service = self._rng.choice(SERVICES)
        names = self._claim_share(service)
        are_new_first = self._rng.random() < 0.3
        if are_new_first:
            await self._async_start_new(service, len(names))
        await self._async_lose(names, is_drained=is_drained)
        addresses = await self._async_remove(names)
        tasks = [self._async_start_at(addresses, _other(service))]
        if not are_new_first:
            after_s = self._rng.choice((0.0, 2.0, 4.0, 4.0))
            tasks.append(self._async_start_new(service, len(names), after_s))
        await asyncio.gather(*tasks)
        return f'{service} {names} new first {are_new_first}'

    async def cross(self) -> str:
        """Lose machines of both services; addresses come back crosswise."""
        names = {one: self._claim_share(one, 1 / 2) for one in SERVICES}
        await self._async_lose([*names['store'], *names['manuals']])
        tasks = []
        for service, lost in names.items():
            addresses = await self._async_remove(lost)
            tasks.append(self._async_start_at(addresses, _other(service)))
        await asyncio.gather(*tasks)
        return str(names)

    async def scale_out(self) -> str:
        service = self._rng.choice(SERVICES)
        count = self._rng.randint(1, 1 + len(self._live.machines) // 10)
        await self._async_start_new(service, count)
        return f'{service} {count}'

    async def scale_in(self) -> str:
        names = self._claim_some(1 + len(self._live.machines) // 15)
        await asyncio.gather(
            *[self._async_leave_soon(name, is_planned=True) for name in names]
        )
        return str(names)

    async def release(self) -> str:
        """Replace machines; each new one starts before the old one leaves."""
        names = self._claim_some(1 + len(self._live.machines) // 15)
        for name in names:
            service = self._live.machines[name].service
            await self._async_start_new(service, 1)
            await asyncio.sleep(self._rng.uniform(0.5, 2.0))
            await self._async_leave(name, is_planned=True)
        return str(names)

    async def restart_server(self) -> str:
        names = self._claim_some(2, is_last_allowed=True)
        how = []
        for name in names:
            how.append(await self._async_restart_server(name))
            self._busy_servers.discard(name)
        return f'{names} {how}'

    async def crash_then_leave(self) -> str:
        """Restart backend servers, then drain them and remove the machines."""
        names = self._claim_some(3)
        identifiers = await asyncio.gather(
            *[self._async_restart_then_leave(name) for name in names]
        )
        return f'{names} {identifiers}'

    async def _async_restart_then_leave(self, name: str) -> list[str]:
        identifiers = []
        for _ in range(self._rng.choice((1, 2, 2, 3))):
            identifiers.append(await self._async_restart_server(name))
            await asyncio.sleep(self._rng.choice((0.5, 1.0, 4.5)))
        await self._async_leave(name, is_planned=True)
        return identifiers

    async def send_late_heartbeats(self) -> str:
        """Send heartbeats of incarnations that have ended."""
        sent = []
        for name in self._claim_some(2, is_last_allowed=True):
            await self._async_restart_server(name)
            address = self._live.machines[name].address
            identifier, body = self._former[name][-1]
            for _ in range(self._rng.randint(1, 4)):
                state = self._rng.choice(('ready', 'draining'))
                body['Sequence'] += 1
                late = {**body, 'State': state}
                await self._live.async_send_heartbeat(address, identifier, late)
                sent.append(f'{name} {identifier} {state}')
                await asyncio.sleep(self._rng.uniform(0.05, 1.0))
            self._busy_servers.discard(name)
        return str(sent)

    async def send_late_exit(self) -> str:
        """Send the exit notice of an incarnation that has ended."""
        names = self._claim_some(1, is_last_allowed=True)
        for name in names:
            await self._async_restart_server(name)
            await asyncio.sleep(self._rng.uniform(3.0, 7.0))
            server = self._live.backend_servers[name]
            identifier, _ = self._rng.choice(self._former[name])
            await self._live.async_send_exit(server.address, identifier)
            self._busy_servers.discard(name)
        return str(names)

    async def send_odd_heartbeats(self) -> str:
        """Send heartbeats that name no backend server to use."""
        names = self._sample(tuple(self._live.backend_servers), 3)
        for name in names:
            body = self._live.heartbeat_body(name)
            server = self._live.backend_servers[name]
            missing = self._rng.choice(tuple(body))
            odd = (
                {key: body[key] for key in body if key != missing},
                {**body, 'Service': 'nobody'},
                {**body, 'State': 'gone'},
                {**body, 'Sequence': 'many', 'State': 'draining'},
                {**body, 'Zone': 7, 'State': 'draining'},
            )
            await self._live.async_send_heartbeat(
                server.address,
                self._rng.choice((server.identifier, 'i-odd')),
                self._rng.choice(odd),
            )
            await asyncio.sleep(self._rng.uniform(0, 0.5))
        return str(names)

    async def roll(self, role: str) -> str:
        """Restart instances of a role one after the other, overlapping."""
        names = [
            name
            for name, one in self._live.machines.items()
            if bool(one.service) == (role == 'agent')
            and name not in self._busy_processes
        ]
        share = self._rng.choice((0.3, 0.6, 1.0))
        names = self._sample(names, max(1, round(len(names) * share)))
        at_once = max(1, len(names) // self._rng.choice((2, 4, 6)))
        self._busy_processes.update(names)
        down_s = self._rng.choice((0.0, 0.1, 1.0))
        gap_s = self._rng.choice((0.0, 0.5, 1.5))
        for first in range(0, len(names), at_once):
            await asyncio.gather(
                *[
                    self._async_restart(name, down_s)
                    for name in names[first : first + at_once]
                ]
            )
            await asyncio.sleep(gap_s)
        return f'{names}, {at_once} at once, down {down_s}, gap {gap_s}'

    async def kill(self) -> str:
        names = self._sample(self._idle_processes(), self._rng.randint(1, 3))
        self._busy_processes.update(names)
        down_s = self._rng.uniform(0, 2)
        await asyncio.gather(
            *[
                self._async_restart(name, down_s, is_planned=False)
                for name in names
            ]
        )
        return str(names)

    async def pause(self) -> str:
        names = self._sample(self._idle_processes(), self._rng.randint(1, 3))
        self._busy_processes.update(names)
        ends = []
        for name in names:
            address = self._live.machines[name].address
            ends.append(self._judge.disruptions.begin(address, 'pause'))
            self._live.processes[name].suspend()
        seconds = self._rng.uniform(0.3, 4)
        await asyncio.sleep(seconds)
        for name, end in zip(names, ends, strict=True):
            self._live.processes[name].resume()
            end()
        self._busy_processes.difference_update(names)
        return f'{names} {seconds:.1f}'

    async def disturb_store(self) -> str:
        order = self._rng.choice(
            (
                {'mode': 'down'},
                {'mode': 'slow', 'delay_s': 0.5},
                {'lose_answers': 3},
            )
        )
        end = self._judge.disruptions.begin(rules.STORE, str(order))
        await asyncio.to_thread(self._live.control_store, order)
        await asyncio.sleep(self._rng.uniform(0.5, 4))
        calm = {'mode': 'up', 'delay_s': 0, 'lose_answers': 0}
        await asyncio.to_thread(self._live.control_store, calm)
        end()
        return str(order)

    async def cut_store(self) -> str:
        """Cut the store off for some instances."""
        machines = list(self._live.machines.values())
        some = self._sample(machines, self._rng.randint(1, len(machines)))
        rule = self._rng.choice(('cut', 'freeze'))
        ends = [
            self._judge.disruptions.begin(one.address, f'store {rule}')
            for one in some
        ]
        faults = {str(one.link): {'both': {rule: True}} for one in some}
        await self._async_set_faults(faults)
        await asyncio.sleep(self._rng.uniform(1, 5))
        await self._async_set_faults({str(one.link): {} for one in some})
        for end in ends:
            end()
        return f'{rule} {[one.name for one in some]}'

    async def evacuate(self) -> str:
        domain = self._rng.choice(deployment.DOMAINS)
        if not await self._async_write(self._live.set_domain_out, domain, True):
            return 'not written'
        await asyncio.sleep(self._rng.uniform(2, 8))
        await self._async_write(self._live.set_domain_out, domain, False)
        return domain

    async def configure(self) -> str:
        await self._async_write(self._live.put_configuration)
        return str(self._live.version)

    async def add_route(self) -> str:
        """Add a route, with clients that use it at once."""
        route = f'198.18.0.{len(self._live.routes)}', 8443
        service = self._rng.choice(SERVICES)
        self._live.routes[route] = service
        self._judge.allowed[route] = {service}
        if not await self._async_write(self._live.put_configuration):
            return 'not written'
        for _ in range(4):
            self._live.add_client(route, 0.03, 0.2, is_long=True)
        return f'{route} {service}'

    async def drop_route(self) -> str:
        """Remove a route that clients use."""
        route = ('198.18.0.1', 80)
        self._judge.dropped_routes.add(route)
        self._live.dropped_routes[route] = self._live.sim.time
        is_written = await self._async_write(self._live.put_configuration)
        return f'{route} {is_written}'

    def _claim_share(self, service: str, most: float = 1.0) -> list[str]:
        """Claim a share of the machines of a service; at most all."""
        names = self._idle_servers(service)
        share = min(self._rng.choice((1 / 3, 1.0, 1.0)), most)
        chosen = self._sample(names, max(1, round(len(names) * share)))
        self._busy_servers.update(chosen)
        return chosen

    def _claim_some(
        self, most: int, *, is_last_allowed: bool = False
    ) -> list[str]:
        """Claim machines; by default two of their service are left."""
        service = self._rng.choice(SERVICES)
        if len(self._idle_servers(service)) < 3:
            service = _other(service)
        names = self._idle_servers(service)
        left = 0 if is_last_allowed else 2
        count = min(self._rng.randint(1, most), len(names) - left)
        chosen = self._sample(names, max(count, 0))
        self._busy_servers.update(chosen)
        return chosen

    def _idle_servers(self, service: str) -> list[str]:
        return [
            name
            for name, one in self._live.backend_servers.items()
            if one.service == service
            and one.is_up
            and name not in self._busy_servers
        ]

    def _idle_processes(self) -> list[str]:
        return [
            name
            for name in self._live.machines
            if name not in self._busy_processes
        ]

    def _sample(self, names: abc.Sequence, count: int) -> list:
        return self._rng.sample(list(names), min(count, len(names)))

    async def _async_lose(
        self, names: list[str], *, is_drained: bool = False
    ) -> None:
        """Kill the agents and crash the backend servers at once."""
        if is_drained:
            for name in names:
                self._live.backend_servers[name].is_draining = True
            await asyncio.gather(
                *[self._live.async_heartbeat(name) for name in names]
            )
            await asyncio.sleep(self._rng.uniform(0.2, 4.5))
        self._judge.check()
        for name in names:
            self._busy_processes.add(name)
            self._ended.add(name)
            address = self._live.machines[name].address
            end = self._judge.disruptions.begin(address, 'loss')
            self._losses[address] = end
            self._note_former(name)
            self._live.backend_servers[name].crash()
            self._live.processes[name].signal(9)

    async def _async_remove(self, names: list[str]) -> list[str]:
        addresses = []
        for name in names:
            await asyncio.to_thread(self._live.processes[name].kill)
            addresses.append(self._live.machines[name].address)
            self._live.remove_machine(name)
        return addresses

    async def _async_start_at(self, addresses: list[str], service: str) -> None:
        """Start machines at addresses that others had."""
        await asyncio.sleep(REUSE_AFTER_S + self._rng.uniform(0.02, 0.2))
        for address in addresses:
            name = self._add_machine(service, address)
            self._losses.pop(address)()
            self._live.processes[name].start()
            await asyncio.sleep(0)

    async def _async_start_new(
        self, service: str, count: int, after_s: float = 0.0
    ) -> None:
        """Start machines at addresses that nobody had."""
        await asyncio.sleep(after_s)
        for _ in range(count):
            name = self._add_machine(service)
            address = self._live.machines[name].address
            self._judge.disruptions.record(address, 'start', planned=True)
            self._live.processes[name].start()
            await asyncio.sleep(0)

    def _add_machine(self, service: str, address: str = '') -> str:
        number = next(self._numbers)
        name = f'side-{number}'
        self._live.add_machine(name, number, service, address)
        self._live.add_backend_server(name).start()
        return name

    async def _async_leave_soon(self, name: str, *, is_planned: bool) -> None:
        await asyncio.sleep(self._rng.uniform(0, 1.5))
        await self._async_leave(name, is_planned=is_planned)

    async def _async_leave(self, name: str, *, is_planned: bool) -> None:
        """Drain a backend server, let it exit, then stop its agent."""
        server = self._live.backend_servers[name]
        server.is_draining = True
        for _ in range(8):
            if await self._live.async_heartbeat(name):
                break
            await asyncio.sleep(0.3)
        serve_on_s = self._rng.choice((0.1, 0.5, 2.0, 5.0))
        await asyncio.sleep(rules.DRAIN_S + serve_on_s)
        await self._live.async_report_exit(name)
        await asyncio.sleep(self._rng.choice((0.0, 0.1, 0.5)))
        self._judge.check()
        self._note_former(name)
        server.crash()
        self._busy_processes.add(name)
        self._ended.add(name)
        self._judge.disruptions.begin(
            server.address, 'exit', planned=is_planned
        )
        process = self._live.processes[name]
        process.resume()
        await _async_stop(process)
        self._live.remove_machine(name)

    async def _async_restart_server(self, name: str) -> str:
        """Crash a backend server; start it under some identifier."""
        server = self._live.backend_servers[name]
        self._judge.check()
        self._note_former(name)
        server.crash()
        await asyncio.sleep(self._rng.choice((0.05, 0.3, 1.0, 3.0)))
        latest, _ = self._former[name][-1]
        earlier = [
            identifier
            for identifier, _ in self._former[name]
            if identifier != latest
        ]
        identifier = self._rng.choice(('', latest, *(earlier or [''])))
        server.start(identifier)
        if self._rng.random() < 0.5:
            await self._live.async_heartbeat(name)
        return server.identifier

    def _note_former(self, name: str) -> None:
        server = self._live.backend_servers[name]
        self._former[name].append(
            (server.identifier, self._live.heartbeat_body(name))
        )

    async def _async_restart(
        self, name: str, down_s: float, *, is_planned: bool = True
    ) -> None:
        """Stop an instance and start it again, if its machine is still there."""
        if name not in self._live.machines:
            return
        process = self._live.processes[name]
        address = self._live.machines[name].address
        how = 'term' if is_planned else 'kill'
        end = self._judge.disruptions.begin(address, how, planned=is_planned)
        if is_planned:
            await _async_stop(process)
        else:
            await asyncio.to_thread(process.kill)
        await asyncio.sleep(down_s)
        if name in self._ended:
            end()
            return
        process.start()
        end()
        self._busy_processes.discard(name)
        if name in self._ended:
            process.term()

    async def _async_set_faults(self, faults: dict) -> None:
        await asyncio.to_thread(
            self._live.control_fault_proxy, {'rules': faults}
        )

    async def _async_write(self, write: abc.Callable, *args: object) -> bool:
        """Write as an operator, retrying while the store is unavailable."""
        for _ in range(40):
            try:
                await asyncio.to_thread(write, *args)
            except OSError:
                await asyncio.sleep(0.2)
                continue
            return True
        return False


async def _async_stop(process: processes.Process) -> None:
    """Request a graceful stop; kill the process when its time is over."""
    process.term()
    if await asyncio.to_thread(process.wait, GRACE_S) is None:
        await asyncio.to_thread(process.kill)


def _other(service: str) -> str:
    return SERVICES[1 - SERVICES.index(service)]


async def async_play(
    seed: int,
    size: str = 'small',
    names: abc.Sequence[str] = (),
    source: pathlib.Path = processes.ROOT,
    keep_logs: pathlib.Path | None = None,
    seconds: float = SECONDS,
) -> Result:
    """Play the history of one seed.

    Args:
        seed: Seed of the history.
        size: Name of a size of ``SIZES``.
        names: Events to draw from; by default those of the seed's theme.
        source: Checkout whose programs are run.
        keep_logs: Folder for the logs of histories with a broken rule.
        seconds: Seconds for which clients send requests, at least.
    """
    rng = random.Random(seed)
    scale = SIZES[size]
    theme = tuple(THEMES)[seed % len(THEMES)]
    live = deployment.LiveDeployment(
        seed, scale.balancers, scale.stores, scale.manuals, source
    )
    try:
        live.closes_when_draining = True
        await live.async_start(scale.start_timeout_s)
        judge = rules.RuleJudge(live, deployment.ROUTES)
        live.on_taken = judge.note_taken
        live.on_leave_acknowledged = judge.note_leave_acknowledged
        live.add_clients(scale.long, scale.short, pause_s=scale.pause_s)
        live.add_clients(scale.slow, 0, pause_s=SLOW_PAUSE_S)
        churn = Churn(live, judge, rng)
        # Long flows are open when the first event begins.
        await asyncio.sleep(2)
        tasks = [
            asyncio.create_task(
                churn.async_play(
                    rng.choice(tuple(names) or THEMES[theme]),
                    rng.uniform(0, max(seconds - CALM_END_S, 4)),
                    f'{seed}-{number}',
                )
            )
            for number in range(EVENTS)
        ]
        lag_s = await _async_judge(live, judge, tasks, seconds)
        await asyncio.gather(*tasks)
        judge.check()
        outcomes = [one for user in live.clients for one in user.outcomes]
        found = checks.format_violations(judge.violations)
        found += [
            f'ENDED {name} with {live.processes[name].exit_code}'
            for name in churn.find_ended()
        ]
        served = sum(one.served for one in outcomes)
        if served < MIN_SERVED_RATIO * len(outcomes):
            found.append(f'SERVED {served} of {len(outcomes)}')
        result = Result(
            seed,
            'only' if names else theme,
            churn.events,
            found,
            dict(judge.excused),
            served,
            len(outcomes),
            lag_s,
        )
    finally:
        await live.async_stop()
    if found and keep_logs is not None:
        folder = keep_logs / f'{size}-{seed}'
        _keep_logs(live, result, folder, judge.disruptions)
    live.folder.cleanup()
    return result


async def _async_judge(
    live: deployment.LiveDeployment,
    judge: rules.RuleJudge,
    tasks: list[asyncio.Task],
    seconds: float,
) -> float:
    """Judge until the time is over; return the longest lag in seconds.

    When this process is late, so are the backend servers: no machine counts as
    in touch.
    """
    until = live.sim.time + seconds
    longest_s = 0.0
    recent: collections.deque[float] = collections.deque(maxlen=20)
    while live.sim.time < until or not all(one.done() for one in tasks):
        before = live.sim.time
        await asyncio.sleep(CHECK_INTERVAL_S)
        lag_s = live.sim.time - before - CHECK_INTERVAL_S
        recent.append(lag_s)
        judge.lag_s = max(recent)
        longest_s = max(longest_s, lag_s)
        if lag_s > MAX_LAG_S:
            judge.disruptions.record(rules.STORE, 'lag', since=before)
        judge.check()
    return longest_s


def _keep_logs(
    live: deployment.LiveDeployment,
    result: Result,
    folder: pathlib.Path,
    disruptions: rules.Disruptions,
) -> None:
    shutil.copytree(live.folder.name, folder, dirs_exist_ok=True)
    rows = [*result.events, '', *result.violations, '', *disruptions.rows()]
    (folder / 'history.txt').write_text('\n'.join(rows) + '\n')


def main() -> None:
    """Run from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', default='1-4', help='FIRST-LAST')
    parser.add_argument('--size', choices=tuple(SIZES), default='small')
    parser.add_argument('--seconds', type=float, default=SECONDS)
    parser.add_argument('--events', action='store_true', help='print all')
    parser.add_argument('--only', default='', help='events, by comma')
    parser.add_argument(
        '--source',
        type=pathlib.Path,
        default=processes.ROOT,
        help='checkout whose programs are run',
    )
    parser.add_argument(
        '--keep-logs',
        type=pathlib.Path,
        default=pathlib.Path(tempfile.gettempdir()) / 'kumquatport-churn',
        help='folder for the logs of histories with a broken rule',
    )
    options = parser.parse_args()
    first, _, last = options.seeds.partition('-')
    names = [one for one in options.only.split(',') if one]
    red = 0
    for seed in range(int(first), int(last or first) + 1):
        try:
            result = asyncio.run(
                async_play(
                    seed,
                    options.size,
                    names,
                    options.source.resolve(),
                    options.keep_logs,
                    options.seconds,
                )
            )
        except (OSError, TimeoutError, processes.NotReadyError) as error:
            print(f'seed {seed}: not judged: {error!r}', flush=True)
            red += 1
            continue
        red += bool(result.violations)
        print(_describe(result), flush=True)
        if options.events or result.violations:
            print(*result.events, sep='\n', flush=True)
    print(f'{red} seeds with a broken rule')
    sys.exit(1 if red else 0)


def _describe(result: Result) -> str:
    row = (
        f'seed {result.seed} {result.theme}: {result.served} of '
        f'{result.requested} served, broken {result.by_rule() or "none"}, '
        f'excused {result.excused or "none"}, lag {result.lag_s:.2f} s'
    )
    if result.violations:
        row += f' {result.violations[:3]}'
    return row


if __name__ == '__main__':
    main()
