"""Seeded run of a deployment with faults at random times and checks."""

import typing
from collections import abc

from tests.emulator import checks, client, deployment, simulation

CHECK_INTERVAL_S = 0.05
FAULT_FREE_END_S = 3.0


class Result(typing.NamedTuple):
    """Result of a hiinjector.

    Attributes:
        seed: Seed of all random draws.
        violations: Violated guarantees.
        outcomes: Results of all requests.
        faults: Injected faults with their times.
        served: Number of served requests by backend server.
    """

    seed: int
    violations: list[simulation.Violation]
    outcomes: list[client.Outcome]
    faults: list[str]
    served: dict[str, int]

    @property
    def share_served(self) -> float:
        served = sum(one.served for one in self.outcomes)
        return served / max(len(self.outcomes), 1)

    def share_within(self, seconds: float) -> float:
        served = sum(
            one.served and one.duration_s <= seconds for one in self.outcomes
        )
        return served / max(len(self.outcomes), 1)


class FaultInjector:
    """Injects faults and operator actions by name."""

    def __init__(
        self, system: deployment.Deployment, checker: checks.InvariantChecker
    ) -> None:
        self.system = system
        self.checker = checker
        self.injected: list[str] = []
        self._rng = system.sim.rng

    def faults_by_name(self) -> dict[str, abc.Callable[[], None]]:
        return {
            'kill balancer': self.kill_balancer,
            'kill agent': self.kill_agent,
            'term balancer': self.terminate_balancer,
            'term agent': self.terminate_agent,
            'freeze': self.freeze,
            'cut': self.partition,
            'one way': self.partition_one_way,
            'crash': self.crash_backend_server,
            'drain': self.drain_backend_server,
            'evacuate': self.evacuate_domain,
            'store down': self.stop_store,
            'store refuses': self.refuse_store_access,
            'drop route': self.drop_route,
            'herd': self.kill_all,
        }

    def inject(self, name: str) -> None:
        at = self.system.sim.time
        self.injected.append(f'{at - 1002:.2f} {name}')
        self.faults_by_name()[name]()

    def kill_balancer(self) -> None:
        address = self._rng.choice(self.system.balancers())
        self.system.kill_and_restart(address, self._rng.uniform(0.4, 2))

    def kill_agent(self) -> None:
        address = self._rng.choice(self.system.agents())
        self.system.kill_and_restart(address, self._rng.uniform(0.4, 2))

    def terminate_balancer(self) -> None:
        self.system.terminate(self._rng.choice(self.system.balancers()), 0.5)

    def terminate_agent(self) -> None:
        self.system.terminate(self._rng.choice(self.system.agents()), 0.5)

    def freeze(self) -> None:
        address = self._choose_instance()
        seconds = self._rng.uniform(0.5, 4)
        self.system.last_fault_at[address] = self.system.sim.time + seconds
        self.system.sim.freeze(address, seconds)

    def partition(self) -> None:
        self._partition(both=True)

    def partition_one_way(self) -> None:
        self._partition(both=False)

    def crash_backend_server(self) -> None:
        address = self._rng.choice(self.system.agents())
        self.system.crash_backend_server(address, self._rng.uniform(0.3, 3))

    def drain_backend_server(self) -> None:
        """Drain a backend server that is not the last of its service."""
        address = self._rng.choice(self.system.agents())
        service = self.system.backend_servers[address].service
        others = [
            one
            for at, one in self.system.backend_servers.items()
            if at != address and one.service == service
        ]
        if any(one.is_up and not one.is_draining for one in others):
            self.system.drain_backend_server(address)

    def evacuate_domain(self) -> None:
        sim = self.system.sim
        domain = self._rng.choice(self.system.plan.domains)
        if domain in self.checker.evacuations:
            return

        def write() -> None:
            self.system.set_domain_out(domain, True)
            self.checker.evacuations[domain] = (sim.time, 0.0)

        def undo() -> None:
            since, _ = self.checker.evacuations.get(domain, (sim.time, 0.0))
            self.checker.evacuations[domain] = (since, sim.time)
            self.system.set_domain_out(domain, False)

        self.system.write_when_store_up(write)
        sim.call_later(
            self._rng.uniform(4, 9),
            lambda: self.system.write_when_store_up(undo),
        )

    def stop_store(self) -> None:
        self.system.store.is_up = False

        def undo() -> None:
            self.system.store.is_up = True

        self.system.sim.call_later(self._rng.uniform(1, 4), undo)

    def refuse_store_access(self) -> None:
        address = self._choose_instance()
        self.system.store.refused_addresses.add(address)
        self.system.sim.call_later(
            self._rng.uniform(3, 9),
            lambda: self.system.store.refused_addresses.discard(address),
        )

    def drop_route(self) -> None:
        route = deployment.ROUTE_SHORT
        if route in self.checker.dropped_routes:
            return

        def write() -> None:
            self.checker.dropped_routes[route] = self.system.sim.time
            self.system.set_route(route, False)

        self.system.write_when_store_up(write)

    def kill_all(self) -> None:
        for address in (*self.system.balancers(), *self.system.agents()):
            self.system.kill_and_restart(address, self._rng.uniform(0.5, 1.0))
        self.checker.all_killed_at = self.system.sim.time + 1.0

    def _partition(self, *, both: bool) -> None:
        address = self._choose_instance()
        others = [
            one
            for one in (*self.system.balancers(), *self.system.agents())
            if one != address and self._rng.random() < 0.6
        ]
        seconds = self._rng.uniform(1, 4)
        sim = self.system.sim
        sim.partition(address, others, both)
        for one in (address, *others):
            self.system.last_fault_at[one] = sim.time + seconds
        sim.call_later(seconds, lambda: sim.heal(address))

    def _choose_instance(self) -> str:
        return self._rng.choice(
            (*self.system.balancers(), *self.system.agents())
        )


def run(
    seed: int,
    *,
    seconds: float = 12.0,
    fault_count: int = 4,
    fault_names: abc.Sequence[str] = (),
    plan: deployment.Plan | None = None,
) -> Result:
    """Run one hiinjector.

    Args:
        seed: Seed of all random draws.
        seconds: Duration of the traffic.
        fault_count: How many faults are injected.
        fault_names: Faults to draw from; all of them if empty.
        plan: Sizes of the deployment.
    """
    sim = simulation.Simulation(seed)
    with sim.patch_clock():
        system = deployment.Deployment(sim, plan or deployment.Plan())
        system.start()
        checker = checks.InvariantChecker(system)
        injector = FaultInjector(system, checker)
        start = sim.time
        candidates = list(fault_names) or list(injector.faults_by_name())
        for _ in range(fault_count):
            at_s = sim.rng.uniform(0.5, max(seconds - FAULT_FREE_END_S, 1.0))
            name = sim.rng.choice(candidates)
            sim.call_later(at_s, lambda name=name: injector.inject(name))
        while sim.time < start + seconds:
            sim.run(sim.time + CHECK_INTERVAL_S)
            checker.check()
            checker.check_draining()
        return Result(
            seed,
            checker.finish(),
            [one for user in system.clients for one in user.outcomes],
            injector.injected,
            {at: one.served for at, one in system.backend_servers.items()},
        )
