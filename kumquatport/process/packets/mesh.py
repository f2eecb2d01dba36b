"""Heartbeats between instances: who lives, how busy, what they believe."""

from collections import abc

import structlog

from kumquatport import exceptions
from kumquatport.connection.packets import frame
from kumquatport.process.packets import (
    beliefs,
    catching_up,
    comparison,
    liveness,
    membership,
    messages,
    models,
    peers,
    relay,
)
from kumquatport.version import members
from kumquatport.version.spread import own_record

_LOGGER = structlog.get_logger(__name__)


class Mesh:
    """This process among the others.

    Attributes:
        registry: Records of the instances that this process keeps.
        own: This instance's record.
        catching_up: Whether this process has stood still.
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
        self._liveness = liveness.Liveness(
            self.registry,
            settings.failure_domain,
            is_balancer=self._is_balancer,
        )
        self._comparison = comparison.Comparison(self._members, self.send)
        self.catching_up = catching_up.CatchingUp(
            settings.instance, self.registry, held, self.send
        )
        self._by_address: dict[str, str] = {}
        self._outside: peers.Outside | None = None
        self._is_told_soon = False
        self._is_relayed_soon = False
        self._fetching = False
        self.registry.subscribe(self._on_record)
        self.own.changes.subscribe(self.tell_soon)
        held.subscribe(self._relay_soon)

    @property
    def balancers_digest(self) -> int:
        """Return a digest of the records of all balancers."""
        return self._members.shared_with(members.KIND_AGENT).total_digest()

    @property
    def tick_s(self) -> float:
        """Return the seconds between two rounds of heartbeats."""
        return self._liveness.tick_s

    def apply_settings(self, settings: models.Settings) -> None:
        """Take over settings that changed while running."""
        self._settings = settings
        self.hello(settings.seeds)

    def connect(self, outside: peers.Outside) -> None:
        """Begin to speak to others."""
        self._outside = outside
        self.hello(self._settings.seeds)

    def disconnect(self) -> None:
        """Send nothing from now on."""
        self._outside = None

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
        for part in frame.flow_batches(flows):
            self.send(frame.pack_flows(kind, part), address)

    def send_to_client(self, datagram: bytes, address: str) -> bool:
        """Send a packet to a client."""
        return self._send(datagram, (address, self._settings.client_port))

    def instance_at(self, address: str) -> str:
        """Return the instance at an address, empty if none is known."""
        return self._by_address.get(address, '')

    def peer(self, instance: str) -> peers.Peer | None:
        """Return what was heard from an instance."""
        return self._liveness.peer(instance)

    def is_suspect(self, instance: str) -> bool:
        """Tell whether an instance has gone silent."""
        return self._liveness.is_suspect(instance)

    def ask_load(self, instance: str) -> bool:
        """Tell whether an offer to an agent is to ask for its load."""
        return self._liveness.ask(instance)

    def is_unresponsive(self, instance: str) -> bool:
        """Tell whether an instance has left an offer unanswered."""
        return self._liveness.is_unresponsive(instance)

    def tell_load(self, address: str) -> None:
        """Send the balancer at an address a short heartbeat."""
        record = self.registry.get(self.instance_at(address))
        domain = record.failure_domain if record else ''
        tick_s = self._liveness.told_tick_s(domain)
        beat = self._short(members.KIND_BALANCER, tick_s)
        self.send(messages.encode_beat(beat), address)

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

    def balancer_names(self) -> set[str]:
        """Return the balancers that are known, this process too if one."""
        names = {record.instance for record in self.registry.balancers()}
        if self._is_balancer:
            names.add(self._settings.instance)
        return names

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
        chosen = relay.receivers(
            own,
            self._beliefs.root,
            sorted(self.balancer_names()),
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
        self.catching_up.is_doubtful()
        for instance in self._liveness.sweep():
            self._forget(instance)
        self._members.expire()
        beats: dict[tuple[str, float], bytes] = {}
        greeting = b''
        for place, record in enumerate(self._others()):
            if (tick + place) % self._liveness.every(record.failure_domain):
                continue
            if not self.is_suspect(record.instance):
                tick_s = self._liveness.told_tick_s(record.failure_domain)
                key = (record.kind, tick_s)
                if key not in beats:
                    beats[key] = messages.encode_beat(self._short(*key))
                self.send(beats[key], record.address)
                continue
            greeting = greeting or messages.encode(
                self._heartbeat(wants_answer=True)
            )
            self.send(greeting, record.address)

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

    def _short(self, kind: str, tick_s: float) -> messages.Beat:
        """Return the short heartbeat for peers.

        Args:
            kind: Of the peers.
            tick_s: Seconds between two rounds that they are told.
        """
        own = self.own.present
        return messages.Beat(
            incarnation=own.incarnation,
            sequence=own.sequence,
            members_digest=self._members.shared_with(kind).total_digest(),
            routes_version=self._beliefs.routes_version,
            domains_changed=self._beliefs.domains_changed,
            age_s=self._beliefs.told_age_s,
            tick_s=tick_s,
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
            if kind == frame.KIND_HEARTBEAT:
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
        peer = self._liveness.peer(instance)
        if (
            record is None
            or peer is None
            or record.incarnation != beat.incarnation
            or record.sequence < beat.sequence
        ):
            self.hello((sender,))
            return
        peer.tick_s = beat.tick_s
        self._liveness.hear(peer, record)
        self._liveness.take_load(peer, beat.load)
        is_newer = self._beliefs.compare(
            beat.routes_version, beat.domains_changed, beat.age_s
        )
        if is_newer:
            self.hello((sender,))
        self._comparison.compare(peer, record, beat.members_digest)

    def _on_message(
        self, message: messages.Message, sender: tuple[str, int]
    ) -> None:
        if isinstance(message, messages.Heartbeat):
            self._on_heartbeat(message)
        elif isinstance(message, messages.Records):
            self._on_records(message)
        elif isinstance(message, messages.Digests):
            self._on_digests(message, sender[0])
        elif isinstance(message, messages.Question):
            self._on_question(message, sender[0])
        else:
            self._on_confirmation(message, sender[0])

    def _on_heartbeat(self, message: messages.Heartbeat) -> None:
        record = message.record
        if record.instance == self._settings.instance:
            return
        peer = self._liveness.peer(record.instance) or peers.Peer()
        if record.incarnation < peer.incarnation:
            return
        if not self._members.keeps(record):
            return
        is_new = record.incarnation > peer.incarnation
        peer.incarnation = record.incarnation
        self._liveness.keep(record.instance, peer)
        if record != self.registry.get(record.instance):
            self._members.merge(record)
        self._liveness.hear(peer, record)
        self._take_beliefs(message.beliefs, record)
        if message.receiver_drains:
            self.on_told_draining()
        if message.wants_answer or is_new:
            self._answer(peer, record, message.beliefs.routes_version)
        self._liveness.take_load(peer, message.load)
        if is_new:
            self._on_new(peer, record)

    def _on_new(self, peer: peers.Peer, record: members.InstanceRecord) -> None:
        self.on_return(record)
        if self._is_balancer and record.kind == members.KIND_BALANCER:
            self._comparison.ask(peer, record)

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

    def _on_digests(self, message: messages.Digests, sender: str) -> None:
        asking = self.registry.get(self.instance_at(sender))
        if asking is None:
            self.hello((sender,))
            return
        self._comparison.answer(message, asking)

    def _on_question(self, message: messages.Question, sender: str) -> None:
        if self._is_balancer:
            peer = self._liveness.peer(self.instance_at(sender))
            drains = peer is not None and peer.drains
            self.catching_up.answer(message, sender, drains=drains)

    def _on_confirmation(
        self, message: messages.Confirmation, sender: str
    ) -> None:
        record = self.registry.get(self.instance_at(sender))
        if record is None:
            return
        self._take_beliefs(message.beliefs, record)
        if message.receiver_drains:
            self.on_told_draining()
        self.catching_up.take(message, record.instance)

    def _on_records(self, message: messages.Records) -> None:
        for record in message.records:
            self.learn(record)

    def _on_record(
        self,
        record: members.InstanceRecord,
        previous: members.InstanceRecord | None,
    ) -> None:
        if members.is_departed(record):
            self._leave_address(record)
            return
        if previous is None or previous.state != record.state:
            self._liveness.lines.info(
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
            if (peer := self._liveness.peer(record.instance)) is not None
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
            self._liveness.drop(former)
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

    def _forget(self, instance: str) -> None:
        record = self.registry.get(instance)
        self._members.forget(instance)
        if record is not None:
            self._leave_address(record)
            self.on_forget(record)

    def _leave_address(self, record: members.InstanceRecord) -> None:
        if self._by_address.get(record.address) == record.instance:
            self._by_address.pop(record.address)


def _ignore_frame(_datagram: bytes, _address: str) -> None:
    """Take a frame before anybody wants it."""


def _ignore(_record: members.InstanceRecord) -> None:
    """Take a return before anybody wants it."""


def _ignore_word() -> None:
    """Take the word that the backend server drains; for a balancer."""


def _no_load() -> messages.Load | None:
    """Return the load of a process that has none."""
