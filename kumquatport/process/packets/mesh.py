"""Heartbeats between instances: who lives, how busy, what they believe."""

import asyncio
import functools
import math
from collections import abc

import mode
import structlog

from kumquatport import exceptions
from kumquatport.connection.packets import frame
from kumquatport.helpers import backoff, clock
from kumquatport.process.packets import (
    beliefs,
    const,
    datagrams,
    fetch,
    membership,
    messages,
    models,
    peers,
    relay,
)
from kumquatport.version import members
from kumquatport.version.spread import own_record

_LOGGER = structlog.get_logger(__name__)


class Mesh(mode.Service):
    """This process among the others.

    Attributes:
        registry: Records of the instances that this process keeps.
        own: This instance's record.
        on_frame: Called with each frame that carries a packet or names flows,
            and the address of its sender.
        on_return: Called with the record of a peer that is heard for the
            first time, or that has started again.
        on_told_draining: Called when a peer knows from an earlier process
            under this name that the backend server drains.
        on_forget: Called with the record of a peer that was silent for long.
        load: Returns the load that heartbeats tell; None for none.
    """

    def __init__(
        self,
        settings: models.Settings,
        kind: str,
        held: beliefs.Beliefs,
    ) -> None:
        """Set up; nothing is bound yet.

        Args:
            settings: Of this process.
            kind: ``agent`` or ``balancer``.
            held: Beliefs of this process.
        """
        super().__init__()
        self._is_balancer = kind == members.KIND_BALANCER
        self._members = membership.Membership(keeps_agents=self._is_balancer)
        self.registry = self._members.registry
        self.own = own_record.OwnRecord(
            own_record.first_record(
                instance=settings.instance,
                kind=kind,
                region=settings.region,
                failure_domain=settings.failure_domain,
                service=settings.service,
                address=settings.address,
                control_port=settings.peer_port,
                data_port=settings.peer_port,
            ),
            self.registry,
        )
        self.on_frame: peers.FrameHandler = _ignore_frame
        self.on_return: abc.Callable[[members.InstanceRecord], None] = _ignore
        self.on_told_draining: abc.Callable[[], None] = _ignore_word
        self.on_forget: abc.Callable[[members.InstanceRecord], None] = _ignore
        self.load: abc.Callable[[], messages.Load | None] = _no_load
        self._settings = settings
        self._beliefs = held
        self._peers: dict[str, peers.Peer] = {}
        self._by_address: dict[str, str] = {}
        self._undo: list[abc.Callable[[], None]] = []
        self._outside: peers.Outside | None = None
        self._compared_at = -math.inf
        self._is_told_soon = False
        self._is_relayed_soon = False
        self._fetching = False
        self._may_fetch = asyncio.Event()
        self.registry.subscribe(self._on_record)
        self.own.changes.subscribe(self.tell_soon)
        held.subscribe(self._relay_soon)

    @property
    def balancers_digest(self) -> int:
        """Return a digest of the records of all balancers."""
        return self._members.shared_with(members.KIND_AGENT).total_digest()

    async def on_start(self) -> None:
        """Bind the socket and begin to tell others.

        Raises:
            StartError: The address or port cannot be had.
        """
        where = (self._settings.address, self._settings.peer_port)
        bound, close = datagrams.listen(where, self.on_datagram)
        self._undo.append(close)
        loop = asyncio.get_running_loop()
        self.connect(
            peers.Outside(
                functools.partial(datagrams.send, bound),
                loop.call_soon,
                self._start_fetch,
            )
        )
        server = await fetch.async_serve(
            where, lambda: self._beliefs.encoded_routes
        )
        self._undo.append(server.close)
        self.add_future(self._async_tell())

    async def on_stop(self) -> None:
        """Close the sockets."""
        self._outside = None
        while self._undo:
            self._undo.pop()()

    def apply_settings(self, settings: models.Settings) -> None:
        """Take over settings that changed while running."""
        self._settings = settings
        self.hello(settings.seeds)

    def allow_fetches(self) -> None:
        """Fetch routes from now on, also those that were due before.

        A process that connects while another of its threads loads modules may
        end with an illegal instruction (docs/design/platform.md, question 6).
        """
        self._may_fetch.set()

    def connect(self, outside: peers.Outside) -> None:
        """Begin to speak to others."""
        self._outside = outside
        self.hello(self._settings.seeds)

    def send(self, datagram: bytes, address: str) -> bool:
        """Send a frame to the instance at an address."""
        return self._send(datagram, (address, self._settings.peer_port))

    def send_flows(
        self, kind: int, flows: abc.Sequence[bytes], address: str
    ) -> None:
        """Send the names of flows to the instance at an address.

        Args:
            kind: Of the frames, as for ``frame.pack_flows``.
            flows: Their names.
            address: Of the instance.
        """
        for part in frame.batches(flows):
            self.send(frame.pack_flows(kind, part), address)

    def send_to_client(self, datagram: bytes, address: str) -> bool:
        """Send a packet to a client."""
        return self._send(datagram, (address, self._settings.client_port))

    def instance_at(self, address: str) -> str:
        """Return the instance at an address, empty if none is known."""
        return self._by_address.get(address, '')

    def peer(self, instance: str) -> peers.Peer | None:
        """Return what was heard from an instance."""
        return self._peers.get(instance)

    def is_suspect(self, instance: str) -> bool:
        """Tell whether an instance has gone silent."""
        peer = self._peers.get(instance)
        if peer is None:
            return True
        return clock.now() - peer.heard_at > self._suspect_s(instance)

    def live_balancers(self) -> list[str]:
        """Return the balancers that are heard, this process too if one."""
        names = [
            record.instance
            for record in self.registry.balancers()
            if not self.is_suspect(record.instance)
        ]
        if self._is_balancer:
            names.append(self._settings.instance)
        return sorted(set(names))

    def members_read(self, names: abc.Iterable[str]) -> None:
        """Note that all members that the store holds have been learnt.

        Args:
            names: The instances.
        """
        self._members.note_listed(names)

    def knows_all(self, service: str) -> bool:
        """Tell whether every agent of a service is likely to be known.

        Args:
            service: Name of the service.
        """
        if not self._members.is_settled(service):
            return False
        return self._members.is_listed or self._agrees_with_peer()

    def knows_others(self) -> bool:
        """Tell whether somebody is heard that this process must work with."""
        if self._is_balancer:
            return bool(self.registry.services())
        return bool(self.live_balancers())

    def hello(self, addresses: abc.Iterable[str]) -> None:
        """Introduce this instance at addresses, and have them answer."""
        message = messages.encode(self._heartbeat(wants_answer=True))
        for address in addresses:
            if address != self._settings.address:
                self.send(message, address)

    def learn(self, record: members.InstanceRecord) -> None:
        """Take a record from the store or a peer and greet its instance."""
        if self._members.merge(record) and not members.is_departed(record):
            self.hello((record.address,))

    def tell_soon(self) -> None:
        """Send heartbeats at the end of this turn of the event loop."""
        if self._outside is not None and not self._is_told_soon:
            self._is_told_soon = True
            self._outside.soon(self._tell)

    def _relay_soon(self) -> None:
        """Pass a change on at the end of this turn of the event loop."""
        if self._outside is not None and not self._is_relayed_soon:
            self._is_relayed_soon = True
            self._outside.soon(self._relay)

    def _relay(self) -> None:
        self._is_relayed_soon = False
        if not self._is_balancer:
            return
        own = self._settings.instance
        agents = [
            record.instance
            for record in self._others()
            if record.kind == members.KIND_AGENT
        ]
        balancers = {one.instance for one in self.registry.balancers()}
        chosen = relay.receivers(
            own,
            self._beliefs.root,
            sorted(balancers | {own}),
            sorted(agents),
        )
        change = messages.encode(
            self._heartbeat(wants_answer=False, with_changes=True)
        )
        for instance in chosen:
            record = self.registry.get(instance)
            if record is not None:
                self.send(change, record.address)

    def _send(self, datagram: bytes, endpoint: tuple[str, int]) -> bool:
        if self._outside is None:
            return False
        return self._outside.send(datagram, endpoint)

    async def _async_tell(self) -> None:
        tick = 0
        while not self.should_stop:
            self.beat(tick)
            tick += 1
            await self.sleep(backoff.jittered(self._tick_s()))

    def _tell(self) -> None:
        """Tell everybody all, since something has changed."""
        self._is_told_soon = False
        whole = messages.encode(self._heartbeat(wants_answer=False))
        for record in self._others():
            self.send(whole, record.address)

    def beat(self, tick: int) -> None:
        """Send the short heartbeats that are due, and greet who is silent.

        Args:
            tick: Counts the rounds.
        """
        self._sweep()
        beats = {
            kind: messages.encode_beat(self._short(kind))
            for kind in (members.KIND_AGENT, members.KIND_BALANCER)
        }
        greeting = b''
        for place, record in enumerate(self._others()):
            if (tick + place) % self._every(record.failure_domain):
                continue
            if not self.is_suspect(record.instance):
                self.send(beats[record.kind], record.address)
                continue
            greeting = greeting or messages.encode(
                self._heartbeat(wants_answer=True)
            )
            self.send(greeting, record.address)

    def _every(self, failure_domain: str) -> int:
        """Return of how many ticks one brings a heartbeat to a peer."""
        is_near = failure_domain == self._settings.failure_domain
        return 1 if is_near and not self._is_balancer else const.FAR_EVERY

    def _others(self) -> abc.Iterator[members.InstanceRecord]:
        """Yield the instances that this one exchanges heartbeats with."""
        own = self._settings.instance
        for record in self.registry.balancers():
            if record.instance != own:
                yield record
        if not self._is_balancer:
            return
        for service in self.registry.services():
            yield from self.registry.agents(service)

    def _tick_s(self) -> float:
        return peers.tick_s(len(self.registry))

    def _suspect_s(self, instance: str) -> float:
        """Return the silence in seconds after which a peer is suspect."""
        record = self.registry.get(instance)
        is_near = (
            record is not None
            and record.kind == members.KIND_AGENT
            and record.failure_domain == self._settings.failure_domain
        )
        every = 1 if is_near else const.FAR_EVERY
        peer = self._peers.get(instance)
        tick_s = peer.tick_s if peer else const.HEARTBEAT_S
        return const.SUSPECT_AFTER * every * tick_s

    def _short(self, kind: str) -> messages.Beat:
        """Return the short heartbeat for peers of a kind."""
        own = self.own.present
        return messages.Beat(
            incarnation=own.incarnation,
            sequence=own.sequence,
            members_digest=self._members.shared_with(kind).total_digest(),
            routes_version=self._beliefs.routes_version,
            domains_changed=self._beliefs.domains_changed,
            age_s=self._beliefs.told_age_s,
            tick_s=self._tick_s(),
            load=self.load(),
        )

    def _heartbeat(
        self,
        *,
        wants_answer: bool,
        with_changes: bool = False,
    ) -> messages.Heartbeat:
        return messages.Heartbeat(
            self.own.present,
            self.load(),
            self._beliefs.told(with_changes=with_changes),
            wants_answer,
        )

    def on_datagram(self, datagram: bytes, sender: tuple[str, int]) -> None:
        """Take what another instance sent."""
        if not datagram:
            return
        kind = datagram[0]
        try:
            if kind == frame.KIND_BEAT:
                self._on_beat(messages.decode_beat(datagram), sender[0])
            elif kind == frame.KIND_CONTROL:
                self._on_message(messages.decode(datagram), sender)
            else:
                self.on_frame(datagram, sender[0])
        except exceptions.FramePayloadError as error:
            _LOGGER.warning('message refused', error=error, sender=sender[0])

    def _on_beat(self, beat: messages.Beat, sender: str) -> None:
        """Take a short heartbeat; ask for a whole one if it tells of news."""
        instance = self._by_address.get(sender, '')
        record = self.registry.get(instance)
        peer = self._peers.get(instance)
        if (
            record is None
            or peer is None
            or record.incarnation != beat.incarnation
            or record.sequence < beat.sequence
        ):
            self.hello((sender,))
            return
        peer.tick_s = beat.tick_s
        self._note_heard(peer, record)
        self._note_load(peer, beat.load)
        is_newer = self._beliefs.compare(
            beat.routes_version, beat.domains_changed, beat.age_s
        )
        if is_newer:
            self.hello((sender,))
        self._compare(peer, record, beat.members_digest)

    def _on_message(
        self, message: messages.Message, sender: tuple[str, int]
    ) -> None:
        if isinstance(message, messages.Heartbeat):
            self._on_heartbeat(message)
        elif isinstance(message, messages.Records):
            self._on_records(message)
        else:
            self._on_digests(message, sender[0])

    def _on_heartbeat(self, message: messages.Heartbeat) -> None:
        record = message.record
        if record.instance == self._settings.instance:
            return
        peer = self._peers.get(record.instance) or peers.Peer()
        if record.incarnation < peer.incarnation:
            return
        if not self._members.keeps(record):
            return
        is_new = record.incarnation > peer.incarnation
        peer.incarnation = record.incarnation
        self._peers[record.instance] = peer
        if record != self.registry.get(record.instance):
            self._members.merge(record)
        self._note_heard(peer, record)
        self._take_beliefs(message.beliefs, record)
        if message.receiver_drains:
            self.on_told_draining()
        if message.wants_answer or is_new:
            self._answer(peer, record, message.beliefs.routes_version)
        self._note_load(peer, message.load)
        if is_new:
            self._on_new(peer, record)

    def _on_new(self, peer: peers.Peer, record: members.InstanceRecord) -> None:
        self.on_return(record)
        if self._is_balancer and record.kind == members.KIND_BALANCER:
            self._ask_records(peer, record)

    def _take_beliefs(
        self, told: messages.Beliefs, record: members.InstanceRecord
    ) -> None:
        try:
            if self._beliefs.take(told, record.instance):
                self._fetch_from(record, told.root)
        except exceptions.DocumentRejectedError as error:
            _LOGGER.warning('routes refused', peer=record.instance, error=error)

    def _answer(
        self,
        peer: peers.Peer,
        record: members.InstanceRecord,
        routes_version: int,
    ) -> None:
        """Tell a peer all, also what it told before it started again.

        Args:
            peer: What was heard from it.
            record: Its record.
            routes_version: Of the routes that it holds.
        """
        answer = self._heartbeat(
            wants_answer=False,
            with_changes=routes_version < self._beliefs.routes_version,
        )
        answer = answer._replace(receiver_drains=peer.drains)
        self.send(messages.encode(answer), record.address)

    def _note_load(self, peer: peers.Peer, load: messages.Load | None) -> None:
        peer.load = load
        peer.placed = 0
        if load is not None and load.is_known:
            peer.drains = load.is_draining

    def _note_heard(
        self, peer: peers.Peer, record: members.InstanceRecord
    ) -> None:
        peer.heard_at = clock.now()
        if peer.is_suspect:
            peer.is_suspect = False
            _LOGGER.info(
                'instance heard',
                peer=record.instance,
                incarnation=record.incarnation,
                state=record.state,
            )

    def _compare(
        self, peer: peers.Peer, record: members.InstanceRecord, digest: int
    ) -> None:
        """Ask for the records that differ, if any do."""
        peer.members_digest = digest
        shared = self._members.shared_with(record.kind)
        if digest != shared.total_digest():
            self._ask_records(peer, record)

    def _ask_records(
        self, peer: peers.Peer, record: members.InstanceRecord
    ) -> None:
        """Ask for the records that differ, one peer after the other.

        After a start or a loss of power all peers hold what is missing here.
        """
        now = clock.now()
        if now - peer.compared_at < const.COMPARE_S:
            return
        if now - self._compared_at < const.COMPARE_PAUSE_S:
            return
        peer.compared_at = now
        self._compared_at = now
        shared = self._members.shared_with(record.kind)
        message = messages.Digests(shared.digests())
        self.send(messages.encode(message), record.address)

    def _on_digests(self, message: messages.Digests, sender: str) -> None:
        asking = self.registry.get(self.instance_at(sender))
        if asking is None:
            self.hello((sender,))
            return
        shared = self._members.shared_with(asking.kind)
        own = shared.digests()
        differing = [
            record
            for bucket, digest in enumerate(message.digests[: len(own)])
            if digest != own[bucket]
            for record in shared.bucket(bucket)
        ]
        self._send_records(differing, (sender,))

    def _on_records(self, message: messages.Records) -> None:
        for record in message.records:
            self.learn(record)

    def _send_records(
        self,
        records: abc.Sequence[members.InstanceRecord],
        addresses: abc.Iterable[str],
    ) -> None:
        step = const.RECORDS_PER_MESSAGE
        for start in range(0, len(records), step):
            part = messages.Records(tuple(records[start : start + step]))
            for address in addresses:
                self.send(messages.encode(part), address)

    def _on_record(
        self,
        record: members.InstanceRecord,
        previous: members.InstanceRecord | None,
    ) -> None:
        if members.is_departed(record):
            if self._by_address.get(record.address) == record.instance:
                self._by_address.pop(record.address)
            return
        if previous is None or previous.state != record.state:
            _LOGGER.info(
                'instance changed',
                peer=record.instance,
                state=record.state,
                service=record.service,
                incarnation=record.incarnation,
            )
        self._take_address(record)

    def _agrees_with_peer(self) -> bool:
        """Tell whether a balancer that is heard holds the same members."""
        own = self.registry.total_digest()
        return any(
            peer.members_digest == own
            for record in self.registry.balancers()
            if (peer := self._peers.get(record.instance)) is not None
            and not self.is_suspect(record.instance)
        )

    def _take_address(self, record: members.InstanceRecord) -> None:
        """Note who is at an address; an earlier instance there is gone."""
        former = self._by_address.get(record.address, record.instance)
        held = self.registry.get(former)
        if former != record.instance and held is not None:
            if held.incarnation > record.incarnation:
                return
            _LOGGER.info('instance replaced', peer=former, by=record.instance)
            self._members.forget(former)
            self._peers.pop(former, None)
        self._by_address[record.address] = record.instance

    def _fetch_from(self, record: members.InstanceRecord, root: str) -> None:
        """Fetch the routes of a peer that has newer ones."""
        if self._fetching or self._outside is None:
            return
        self._fetching = True

        def take(encoded: bytes | None) -> None:
            self._fetching = False
            if encoded is not None:
                self._take_routes(encoded, record.instance, root)

        self._outside.fetch(record, take)

    def _take_routes(self, encoded: bytes, source: str, root: str) -> None:
        try:
            self._beliefs.offer_routes(encoded, source, root)
        except exceptions.DocumentRejectedError as error:
            _LOGGER.warning('routes refused', peer=source, error=error)

    def _start_fetch(
        self,
        record: members.InstanceRecord,
        take: abc.Callable[[bytes | None], None],
    ) -> None:
        self.add_future(self._async_fetch(record, take))

    async def _async_fetch(
        self,
        record: members.InstanceRecord,
        take: abc.Callable[[bytes | None], None],
    ) -> None:
        await self._may_fetch.wait()
        encoded = None
        try:
            encoded = await fetch.async_fetch(
                (record.address, self._settings.peer_port)
            )
        except exceptions.PeerUnavailableError as error:
            _LOGGER.warning(
                'routes not fetched', peer=record.instance, error=error
            )
            await self.sleep(const.FETCH_RETRY_S)
        take(encoded)

    def _sweep(self) -> None:
        now = clock.now()
        for instance, peer in tuple(self._peers.items()):
            silent_s = now - peer.heard_at
            if silent_s > self._suspect_s(instance) and not peer.is_suspect:
                peer.is_suspect = True
                _LOGGER.warning(
                    'instance silent',
                    peer=instance,
                    silent_s=round(silent_s, 3),
                )
            if silent_s > const.FORGET_S:
                self._forget(instance, silent_s)
        self._members.expire()

    def _forget(self, instance: str, silent_s: float) -> None:
        _LOGGER.warning(
            'instance forgotten', peer=instance, silent_s=round(silent_s, 1)
        )
        self._peers.pop(instance)
        record = self.registry.get(instance)
        self._members.forget(instance)
        if record is not None:
            if self._by_address.get(record.address) == instance:
                self._by_address.pop(record.address)
            self.on_forget(record)


def _ignore_frame(_datagram: bytes, _address: str) -> None:
    """Take a frame before anybody wants it."""


def _ignore(_record: members.InstanceRecord) -> None:
    """Take a return before anybody wants it."""


def _ignore_word() -> None:
    """Take the word that the backend server drains; for a balancer."""


def _no_load() -> messages.Load | None:
    """Return the load of a process that has none."""
