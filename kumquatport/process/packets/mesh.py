"""Heartbeats between instances: who lives, how busy, what they believe."""

from collections import abc

import structlog

from kumquatport import exceptions
from kumquatport.connection.packets import frame
from kumquatport.process.packets import (
    anti_entropy,
    known_configuration,
    liveness,
    membership,
    messages,
    models,
    pause_recovery,
    peers,
    relay,
)
from kumquatport.version import members
from kumquatport.version.replication import own_record

_LOGGER = structlog.get_logger(__name__)


class Mesh:
    """This process among the others.

    Attributes:
        registry: Records of the instances that this process keeps.
        own_record: This instance's record.
        pause_recovery: Whether this process has stood still.
        on_frame: Called with each frame that carries a packet or names flows,
            and the address of its sender.
        on_peer_started: Called with the record of a peer that is heard for the
            first time, or that has started again.
        on_draining_reported: Called when a peer knows from an earlier process
            under this name that the backend server drains.
        on_peer_expired: Called with the record of a peer that was silent for long.
        load: Returns the load that heartbeats tell; None for none.
    """

    def __init__(
        self,
        settings: models.Settings,
        kind: str,
        held: known_configuration.KnownConfiguration,
    ) -> None:
        """Set up; nothing is bound yet.

        Args:
            settings: Of this process.
            kind: ``agent`` or ``balancer``.
            held: Beliefs of this process.
        """
        self._is_balancer = kind == members.KIND_BALANCER
        self._membership = membership.Membership(keeps_agents=self._is_balancer)
        self.registry = self._membership.registry
        self.own_record = own_record.OwnRecord(
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
        self.on_peer_started: abc.Callable[[members.InstanceRecord], None] = (
            _ignore
        )
        self.on_draining_reported: abc.Callable[[], None] = _ignore_word
        self.on_peer_expired: abc.Callable[[members.InstanceRecord], None] = (
            _ignore
        )
        self.load: abc.Callable[[], messages.Load | None] = _no_load
        self._settings = settings
        self._configuration = held
        self._liveness = liveness.Liveness(
            self.registry,
            settings.failure_domain,
            is_balancer=self._is_balancer,
        )
        self._anti_entropy = anti_entropy.AntiEntropy(
            self._membership, self.send
        )
        self.pause_recovery = pause_recovery.PauseRecovery(
            settings.instance, self.registry, held, self.send
        )
        self._instance_by_address: dict[str, str] = {}
        self._transport: peers.Transport | None = None
        self._is_heartbeat_scheduled = False
        self._is_relay_scheduled = False
        self._is_fetching = False
        self.registry.subscribe(self._on_record)
        self.own_record.changes.subscribe(self.schedule_heartbeats)
        held.subscribe(self._schedule_relay)

    @property
    def balancers_digest(self) -> int:
        """Return a digest of the records of all balancers."""
        return self._membership.shared_registry(
            members.KIND_AGENT
        ).total_digest()

    @property
    def round_s(self) -> float:
        """Return the seconds between two rounds of heartbeats."""
        return self._liveness.round_s

    def apply_settings(self, settings: models.Settings) -> None:
        """Take over settings that changed while running."""
        self._settings = settings
        self.greet(settings.seeds)

    def connect(self, outside: peers.Transport) -> None:
        """Begin to speak to others."""
        self._transport = outside
        self.greet(self._settings.seeds)

    def disconnect(self) -> None:
        """Send nothing from now on."""
        self._transport = None

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
        return self._instance_by_address.get(address, '')

    def peer(self, instance: str) -> peers.Peer | None:
        """Return what was heard from an instance."""
        return self._liveness.peer(instance)

    def is_suspect(self, instance: str) -> bool:
        """Tell whether an instance has gone silent."""
        return self._liveness.is_suspect(instance)

    def should_request_load(self, instance: str) -> bool:
        """Tell whether an offer to an agent is to ask for its load."""
        return self._liveness.should_request_load(instance)

    def is_unresponsive(self, instance: str) -> bool:
        """Tell whether an instance has left an offer unanswered."""
        return self._liveness.is_unresponsive(instance)

    def send_load(self, address: str) -> None:
        """Send the balancer at an address a short heartbeat."""
        record = self.registry.get(self.instance_at(address))
        domain = record.failure_domain if record else ''
        tick_s = self._liveness.announced_round_s(domain)
        beat = self._short_heartbeat(members.KIND_BALANCER, tick_s)
        self.send(messages.encode_short_heartbeat(beat), address)

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

    def note_members_listed(self, names: abc.Iterable[str]) -> None:
        """Note that all members that the store holds have been learnt.

        Args:
            names: The instances.
        """
        self._membership.note_listed(names)

    def knows_all_agents(self, service: str) -> bool:
        """Tell whether every agent of a service is likely to be known.

        Args:
            service: Name of the service.
        """
        if not self._membership.is_settled(service):
            return False
        return self._membership.is_listed or self._matches_live_balancer()

    def has_required_peers(self) -> bool:
        """Tell whether somebody is heard that this process must work with."""
        if self._is_balancer:
            return bool(self.registry.services())
        return bool(self.live_balancers())

    def greet(self, addresses: abc.Iterable[str]) -> None:
        """Introduce this instance at addresses, and have them answer."""
        message = messages.encode(self._full_heartbeat(wants_answer=True))
        for address in addresses:
            if address != self._settings.address:
                self.send(message, address)

    def learn_record(self, record: members.InstanceRecord) -> None:
        """Take a record from the store or a peer and greet its instance."""
        if self._membership.merge(record) and not members.is_departed(record):
            self.greet((record.address,))

    def schedule_heartbeats(self) -> None:
        """Send heartbeats at the end of this turn of the event loop."""
        if self._transport is not None and not self._is_heartbeat_scheduled:
            self._is_heartbeat_scheduled = True
            self._transport.call_soon(self._send_full_heartbeats)

    def _schedule_relay(self) -> None:
        """Pass a change on at the end of this turn of the event loop."""
        if self._transport is not None and not self._is_relay_scheduled:
            self._is_relay_scheduled = True
            self._transport.call_soon(self._relay)

    def _relay(self) -> None:
        self._is_relay_scheduled = False
        if not self._is_balancer:
            return
        own = self._settings.instance
        agents = [
            record.instance
            for record in self._heartbeat_peers()
            if record.kind == members.KIND_AGENT
        ]
        chosen = relay.receivers(
            own,
            self._configuration.origin,
            sorted(self.balancer_names()),
            sorted(agents),
        )
        change = messages.encode(
            self._full_heartbeat(wants_answer=False, with_changes=True)
        )
        for instance in chosen:
            record = self.registry.get(instance)
            if record is not None:
                self.send(change, record.address)

    def _send(self, datagram: bytes, endpoint: tuple[str, int]) -> bool:
        if self._transport is None:
            return False
        return self._transport.send(datagram, endpoint)

    def _send_full_heartbeats(self) -> None:
        """Tell everybody all, since something has changed."""
        self._is_heartbeat_scheduled = False
        whole = messages.encode(self._full_heartbeat(wants_answer=False))
        for record in self._heartbeat_peers():
            self.send(whole, record.address)

    def send_heartbeats(self, round_number: int) -> None:
        """Send the short heartbeats that are due, and greet who is silent.

        Args:
            round_number: Counts the rounds.
        """
        self.pause_recovery.is_unconfirmed()
        for instance in self._liveness.expire_silent():
            self._expire_peer(instance)
        self._membership.expire()
        beats: dict[tuple[str, float], bytes] = {}
        greeting = b''
        for place, record in enumerate(self._heartbeat_peers()):
            if (round_number + place) % self._liveness.rounds_per_heartbeat(
                record.failure_domain
            ):
                continue
            if not self.is_suspect(record.instance):
                tick_s = self._liveness.announced_round_s(record.failure_domain)
                key = (record.kind, tick_s)
                if key not in beats:
                    beats[key] = messages.encode_short_heartbeat(
                        self._short_heartbeat(*key)
                    )
                self.send(beats[key], record.address)
                continue
            greeting = greeting or messages.encode(
                self._full_heartbeat(wants_answer=True)
            )
            self.send(greeting, record.address)

    def _heartbeat_peers(self) -> abc.Iterator[members.InstanceRecord]:
        """Yield the instances that this one exchanges heartbeats with."""
        own = self._settings.instance
        for record in self.registry.balancers():
            if record.instance != own:
                yield record
        if not self._is_balancer:
            return
        for service in self.registry.services():
            yield from self.registry.agents(service)

    def _short_heartbeat(
        self, kind: str, tick_s: float
    ) -> messages.ShortHeartbeat:
        """Return the short heartbeat for peers.

        Args:
            kind: Of the peers.
            tick_s: Seconds between two rounds that they are told.
        """
        own = self.own_record.current
        return messages.ShortHeartbeat(
            incarnation=own.incarnation,
            sequence=own.sequence,
            members_digest=self._membership.shared_registry(
                kind
            ).total_digest(),
            routes_version=self._configuration.routes_version,
            domains_revision=self._configuration.domains_revision,
            age_s=self._configuration.reported_age_s,
            round_s=tick_s,
            load=self.load(),
        )

    def _full_heartbeat(
        self,
        *,
        wants_answer: bool,
        with_changes: bool = False,
    ) -> messages.Heartbeat:
        return messages.Heartbeat(
            self.own_record.current,
            self.load(),
            self._configuration.snapshot(with_changes=with_changes),
            wants_answer,
        )

    def on_datagram(self, datagram: bytes, sender: tuple[str, int]) -> None:
        """Take what another instance sent."""
        if not datagram:
            return
        kind = datagram[0]
        try:
            if kind == frame.KIND_HEARTBEAT:
                self._on_short_heartbeat(
                    messages.decode_short_heartbeat(datagram), sender[0]
                )
            elif kind == frame.KIND_CONTROL:
                self._on_message(messages.decode(datagram), sender)
            else:
                self.on_frame(datagram, sender[0])
        except exceptions.FramePayloadError as error:
            _LOGGER.warning('message refused', error=error, sender=sender[0])

    def _on_short_heartbeat(
        self, beat: messages.ShortHeartbeat, sender: str
    ) -> None:
        """Take a short heartbeat; ask for a whole one if it tells of news."""
        instance = self._instance_by_address.get(sender, '')
        record = self.registry.get(instance)
        peer = self._liveness.peer(instance)
        if (
            record is None
            or peer is None
            or record.incarnation != beat.incarnation
            or record.sequence < beat.sequence
        ):
            self.greet((sender,))
            return
        peer.round_s = beat.round_s
        self._liveness.note_heartbeat(peer, record)
        self._liveness.update_load(peer, beat.load)
        is_newer = self._configuration.compare(
            beat.routes_version, beat.domains_revision, beat.age_s
        )
        if is_newer:
            self.greet((sender,))
        self._anti_entropy.compare(peer, record, beat.members_digest)

    def _on_message(
        self, message: messages.Message, sender: tuple[str, int]
    ) -> None:
        if isinstance(message, messages.Heartbeat):
            self._on_heartbeat(message)
        elif isinstance(message, messages.Records):
            self._on_records(message)
        elif isinstance(message, messages.Digests):
            self._on_digests(message, sender[0])
        elif isinstance(message, messages.ConfirmationRequest):
            self._on_confirmation_request(message, sender[0])
        else:
            self._on_confirmation(message, sender[0])

    def _on_heartbeat(self, message: messages.Heartbeat) -> None:
        record = message.record
        if record.instance == self._settings.instance:
            return
        peer = self._liveness.peer(record.instance) or peers.Peer()
        if record.incarnation < peer.incarnation:
            return
        if not self._membership.should_keep(record):
            return
        is_new = record.incarnation > peer.incarnation
        peer.incarnation = record.incarnation
        self._liveness.set_peer(record.instance, peer)
        if record != self.registry.get(record.instance):
            self._membership.merge(record)
        self._liveness.note_heartbeat(peer, record)
        self._merge_configuration(message.configuration, record)
        if message.receiver_was_draining:
            self.on_draining_reported()
        if message.wants_reply or is_new:
            self._send_reply(peer, record, message.configuration.routes_version)
        self._liveness.update_load(peer, message.load)
        if is_new:
            self._on_peer_started(peer, record)

    def _on_peer_started(
        self, peer: peers.Peer, record: members.InstanceRecord
    ) -> None:
        self.on_peer_started(record)
        if self._is_balancer and record.kind == members.KIND_BALANCER:
            self._anti_entropy.send_digests(peer, record)

    def _merge_configuration(
        self, told: messages.ConfigurationState, record: members.InstanceRecord
    ) -> None:
        try:
            if self._configuration.merge(told, record.instance):
                self._fetch_from(record, told.origin)
        except exceptions.DocumentRejectedError as error:
            _LOGGER.warning('routes refused', peer=record.instance, error=error)

    def _send_reply(
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
        answer = self._full_heartbeat(
            wants_answer=False,
            with_changes=routes_version < self._configuration.routes_version,
        )
        answer = answer._replace(receiver_was_draining=peer.was_draining)
        self.send(messages.encode(answer), record.address)

    def _on_digests(self, message: messages.Digests, sender: str) -> None:
        asking = self.registry.get(self.instance_at(sender))
        if asking is None:
            self.greet((sender,))
            return
        self._anti_entropy.send_differing(message, asking)

    def _on_confirmation_request(
        self, message: messages.ConfirmationRequest, sender: str
    ) -> None:
        if self._is_balancer:
            peer = self._liveness.peer(self.instance_at(sender))
            drains = peer is not None and peer.was_draining
            self.pause_recovery.send_confirmation(
                message, sender, was_draining=drains
            )

    def _on_confirmation(
        self, message: messages.Confirmation, sender: str
    ) -> None:
        record = self.registry.get(self.instance_at(sender))
        if record is None:
            return
        self._merge_configuration(message.configuration, record)
        if message.receiver_was_draining:
            self.on_draining_reported()
        self.pause_recovery.handle_confirmation(message, record.instance)

    def _on_records(self, message: messages.Records) -> None:
        for record in message.records:
            self.learn_record(record)

    def _on_record(
        self,
        record: members.InstanceRecord,
        previous: members.InstanceRecord | None,
    ) -> None:
        if members.is_departed(record):
            self._release_address(record)
            return
        if previous is None or previous.state != record.state:
            self._liveness.lines.info(
                'instance changed',
                peer=record.instance,
                state=record.state,
                service=record.service,
                incarnation=record.incarnation,
            )
        self._claim_address(record)

    def _matches_live_balancer(self) -> bool:
        """Tell whether a balancer that is heard holds the same members."""
        own = self.registry.total_digest()
        return any(
            peer.members_digest == own
            for record in self.registry.balancers()
            if (peer := self._liveness.peer(record.instance)) is not None
            and not self.is_suspect(record.instance)
        )

    def _claim_address(self, record: members.InstanceRecord) -> None:
        """Note who is at an address; an earlier instance there is gone."""
        former = self._instance_by_address.get(record.address, record.instance)
        held = self.registry.get(former)
        if former != record.instance and held is not None:
            if held.incarnation > record.incarnation:
                return
            _LOGGER.info('instance replaced', peer=former, by=record.instance)
            self._membership.forget(former)
            self._liveness.remove_peer(former)
        self._instance_by_address[record.address] = record.instance

    def _fetch_from(self, record: members.InstanceRecord, root: str) -> None:
        """Fetch the routes of a peer that has newer ones."""
        if self._is_fetching or self._transport is None:
            return
        self._is_fetching = True

        def take(encoded: bytes | None) -> None:
            self._is_fetching = False
            if encoded is not None:
                self._update_routes(encoded, record.instance, root)

        self._transport.fetch_routes(record, take)

    def _update_routes(self, encoded: bytes, source: str, root: str) -> None:
        try:
            self._configuration.update_routes(encoded, source, root)
        except exceptions.DocumentRejectedError as error:
            _LOGGER.warning('routes refused', peer=source, error=error)

    def _expire_peer(self, instance: str) -> None:
        record = self.registry.get(instance)
        self._membership.forget(instance)
        if record is not None:
            self._release_address(record)
            self.on_peer_expired(record)

    def _release_address(self, record: members.InstanceRecord) -> None:
        if self._instance_by_address.get(record.address) == record.instance:
            self._instance_by_address.pop(record.address)


def _ignore_frame(_datagram: bytes, _address: str) -> None:
    """Take a frame before anybody wants it."""


def _ignore(_record: members.InstanceRecord) -> None:
    """Take a return before anybody wants it."""


def _ignore_word() -> None:
    """Take the word that the backend server drains; for a balancer."""


def _no_load() -> messages.Load | None:
    """Return the load of a process that has none."""
