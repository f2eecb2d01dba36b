"""Balancers and agents around a store that some of them can lose silently."""

import asyncio
import random
import typing

from kumquatport import exceptions, objects
from kumquatport.platform import program
from kumquatport.process.packets import (
    const,
    known_configuration,
    mesh,
    models,
    peers,
    store_watch,
)
from kumquatport.version import members, routes
from kumquatport.version.members import const as members_const
from tests.builders import packets

KEY = 'config/main'
DOMAINS = 'evacuations'
OPERATORS = store_watch.OperatorObjects(KEY, DOMAINS, routes.decode)
BOUNDS = packets.settings().bounds
PEER_PORT = 7000
NETWORK_DELAY_S = 0.002
STORE_DELAY_S = 0.004


class Store:
    """The platform's store, with the routes and the failure domains out.

    Attributes:
        revision: Revision of the last change.
        versions: Version of the routes by revision.
        domains_out: Failure domains out by revision.
        era: Number of times that the store was restored from a copy.
        silent: Instances whose calls get no answer.
        calls: Number of calls of all instances.
        answered_at: Time of the last answer.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.revision = 1
        self.versions = {1: 1}
        self.domains_out: dict[int, tuple[str, ...]] = {}
        self.era = 1
        self.silent: set[str] = set()
        self.calls = 0
        self.answered_at = 0.0
        self._loop = loop
        self._changed = asyncio.Event()

    def write_routes(self) -> int:
        """Write the next version of the routes and return it."""
        self.revision += 1
        self.versions[self.revision] = self.revision
        self._notify()
        return self.revision

    def take_out(self, *domains: str) -> None:
        """Take failure domains out."""
        self.revision += 1
        self.domains_out[self.revision] = domains
        self._notify()

    def take_copy(self) -> typing.Any:
        """Return a copy for ``restore``."""
        return self.revision, dict(self.versions), dict(self.domains_out)

    def restore(self, saved: typing.Any) -> None:
        """Lose what was written since a copy, and begin the next era."""
        self.revision, versions, domains_out = saved
        self.versions, self.domains_out = dict(versions), dict(domains_out)
        self.era += 1
        self._notify()

    def read(self, prefix: str, since: int) -> objects.Listing:
        """Return what was written under a prefix after a revision."""
        listing = self._read(prefix, since)
        return listing._replace(era=self.era)

    def _read(self, prefix: str, since: int) -> objects.Listing:
        if since > self.revision:
            raise exceptions.HistoryGoneError(prefix)
        found = []
        if prefix == 'config/':
            revision = max(self.versions)
            table = packets.table(version=self.versions[revision])
            found.append(
                objects.StoredObject(
                    KEY, revision, routes.encode(table), revision=revision
                )
            )
        elif self.domains_out:
            revision = max(self.domains_out)
            found.extend(
                objects.StoredObject(f'{DOMAINS}/{name}', revision, b'{}')
                for name in self.domains_out[revision]
            )
            if since:
                found.extend(self._deletions(revision))
        if not found or revision <= since:
            return objects.Listing(self.revision, ())
        return objects.Listing(self.revision, tuple(found))

    def _deletions(
        self, revision: int
    ) -> typing.Iterator[objects.StoredObject]:
        """Yield the failure domains that were out before a revision only."""
        former = {name for names in self.domains_out.values() for name in names}
        for name in sorted(former.difference(self.domains_out[revision])):
            yield objects.StoredObject(
                f'{DOMAINS}/{name}',
                revision,
                b'',
                deleted=True,
                revision=revision,
            )

    async def async_changed(self, timeout: float) -> None:
        """Wait for the next change, at most for some seconds."""
        changed = self._changed
        try:
            async with asyncio.timeout(timeout):
                await changed.wait()
        except TimeoutError:
            return

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


class Client:
    """An instance's access to the store, with the time limits of the real one."""

    def __init__(self, store: Store, instance: str) -> None:
        self._store = store
        self._instance = instance

    async def async_list(self, prefix: str) -> objects.Listing:
        return await self._async_call(self._async_answer(prefix, 0, 0), 0)

    async def async_watch(
        self, prefix: str, since: int, timeout: float
    ) -> objects.Listing:
        return await self._async_call(
            self._async_answer(prefix, since, timeout), timeout
        )

    async def _async_call(
        self,
        answer: typing.Coroutine[typing.Any, typing.Any, objects.Listing],
        extra_s: float,
    ) -> objects.Listing:
        self._store.calls += 1
        try:
            async with asyncio.timeout(program.STORE_TIMEOUT_S + extra_s):
                return await answer
        except TimeoutError as error:
            raise exceptions.PlatformUnavailableError('silent') from error

    async def _async_answer(
        self, prefix: str, since: int, wait_s: float
    ) -> objects.Listing:
        await asyncio.sleep(STORE_DELAY_S)
        now = asyncio.get_running_loop().time
        deadline = now() + wait_s
        while now() < deadline and not self._store.read(prefix, since).objects:
            await self._store.async_changed(deadline - now())
        listing = self._store.read(prefix, since)
        if self._instance in self._store.silent:
            await asyncio.Event().wait()
        self._store.answered_at = now()
        return listing


class Instance:
    """A balancer or an agent.

    Attributes:
        name: Name of the instance.
        address: Its IPv4 address.
        configuration: Configuration known to it.
        mesh: Its mesh.
        frozen_until: Time until which it is paused; datagrams wait meanwhile.
        applied: Time at which each version of the routes was in force.
    """

    def __init__(
        self,
        name: str,
        address: str,
        kind: str,
        domain: str,
        bounds: models.Bounds,
    ) -> None:
        self.name = name
        self.address = address
        self.settings = packets.settings(
            instance=name,
            address=address,
            failure_domain=domain,
            service='store' if kind == members.KIND_AGENT else '',
            bounds=bounds,
        )
        self.configuration = known_configuration.KnownConfiguration(
            name, bounds.configuration_s, bounds.evacuate_s
        )
        self.mesh = mesh.Mesh(self.settings, kind, self.configuration)
        self.mesh.own_record.update(members_const.STATE_READY, None)
        self.frozen_until = 0.0
        self.applied: dict[int, float] = {}
        self.domains_applied_at: dict[frozenset[str], float] = {}


class Cluster:
    """Instances that are connected with each other and with the store.

    Attributes:
        store: The store.
        balancers: Balancers by name, in the order of their names.
        agents: Agents by name.
        loss: Share of the datagrams that are lost.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        domains: typing.Sequence[str],
        agents: int,
        seed: int = 1,
        bounds: models.Bounds = BOUNDS,
    ) -> None:
        """Create the instances; nothing runs yet.

        Args:
            loop: Event loop with simulated time.
            domains: Failure domain of each balancer.
            agents: Number of agents.
            seed: Seed of losses and phases.
            bounds: Bounds of all instances.
        """
        self.loss = 0.0
        self.store = Store(loop)
        self.bounds = bounds
        self.random = random.Random(seed)
        self._loop = loop
        self._services: list[store_watch.StoreWatch] = []
        self._by_address: dict[str, Instance] = {}
        self.balancers: dict[str, Instance] = {}
        self.agents: dict[str, Instance] = {}
        for number, domain in enumerate(domains):
            name = f'front-{number:02}'
            self.balancers[name] = self._add(
                name, f'10.0.0.{number + 1}', members.KIND_BALANCER, domain
            )
        for number in range(agents):
            name = f'side-{number:02}'
            self.agents[name] = self._add(
                name,
                f'10.0.1.{number + 1}',
                members.KIND_AGENT,
                domains[number % len(domains)],
            )

    @property
    def instances(self) -> list[Instance]:
        """Return all instances."""
        return list(self._by_address.values())

    async def async_start(self) -> None:
        """Connect the instances and start to watch the store."""
        for instance in self.instances:
            self._connect(instance)
        for instance in self.instances:
            instance.mesh.greet(self._by_address)
        for instance in self.balancers.values():
            await self._async_watch(instance)

    async def async_join(self, domain: str) -> Instance:
        """Start another balancer, which greets all others."""
        number = len(self.balancers)
        name = f'front-{number:02}'
        instance = self._add(
            name, f'10.0.0.{number + 1}', members.KIND_BALANCER, domain
        )
        self.balancers[name] = instance
        self._connect(instance)
        instance.mesh.greet(self._by_address)
        await self._async_watch(instance)
        return instance

    async def _async_watch(self, instance: Instance) -> None:
        watch = store_watch.StoreWatch(
            OPERATORS,
            Client(self.store, instance.name),
            instance.configuration,
            instance.mesh,
            instance.settings.bounds,
        )
        self._services.append(watch)
        await watch.start()

    async def async_stop(self) -> None:
        """Stop to watch the store."""
        for watch in self._services:
            await watch.stop()
        for instance in self.instances:
            instance.mesh.disconnect()

    def _add(self, name: str, address: str, kind: str, domain: str) -> Instance:
        instance = Instance(name, address, kind, domain, self.bounds)
        self._by_address[address] = instance
        instance.configuration.subscribe(lambda: self._note_applied(instance))
        return instance

    def _note_applied(self, instance: Instance) -> None:
        version = instance.configuration.routes_version
        instance.applied.setdefault(version, self._loop.time())
        instance.domains_applied_at.setdefault(
            instance.configuration.domains_out, self._loop.time()
        )

    def _connect(self, instance: Instance) -> None:
        instance.mesh.connect(
            peers.Transport(
                lambda datagram, target: self._send(instance, datagram, target),
                self._loop.call_soon,
                self._fetch,
                self._loop.call_later,
            )
        )
        phase_s = self.random.uniform(0, const.HEARTBEAT_S)
        self._loop.call_later(phase_s, self._send_heartbeats, instance, 0)
        self._loop.call_later(phase_s, self._detect_pauses, instance)

    def _detect_pauses(self, instance: Instance) -> None:
        frozen_s = instance.frozen_until - self._loop.time()
        if frozen_s <= 0:
            if instance.mesh.pause_recovery.is_unconfirmed():
                instance.mesh.pause_recovery.request_confirmation()
            frozen_s = 0
        self._loop.call_later(
            frozen_s + const.PAUSE_CHECK_S, self._detect_pauses, instance
        )

    def _send_heartbeats(self, instance: Instance, round_number: int) -> None:
        frozen_s = instance.frozen_until - self._loop.time()
        if frozen_s > 0:
            # After the datagrams that have waited.
            self._loop.call_later(
                frozen_s + NETWORK_DELAY_S,
                self._send_heartbeats,
                instance,
                round_number,
            )
            return
        instance.mesh.send_heartbeats(round_number)
        self._loop.call_later(
            instance.mesh.round_s * self.random.uniform(0.9, 1.1),
            self._send_heartbeats,
            instance,
            round_number + 1,
        )

    def _send(
        self, sender: Instance, datagram: bytes, target: tuple[str, int]
    ) -> bool:
        receiver = self._by_address.get(target[0])
        if receiver is not None and self.random.random() >= self.loss:
            self._loop.call_later(
                NETWORK_DELAY_S,
                self._receive,
                receiver,
                datagram,
                (sender.address, PEER_PORT),
            )
        return True

    def _receive(
        self, receiver: Instance, datagram: bytes, sender: tuple[str, int]
    ) -> None:
        if receiver.frozen_until > self._loop.time():
            self._loop.call_at(
                receiver.frozen_until, self._receive, receiver, datagram, sender
            )
        else:
            receiver.mesh.on_datagram(datagram, sender)

    def _fetch(
        self,
        record: members.InstanceRecord,
        finish: typing.Callable[[bytes | None], None],
    ) -> None:
        peer = self._by_address[record.address]
        self._loop.call_later(
            2 * NETWORK_DELAY_S,
            lambda: finish(peer.configuration.encoded_routes),
        )
