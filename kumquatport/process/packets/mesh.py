"""Exchange of liveness, load and configuration between instances."""

import functools
import math
from collections import abc

import structlog

from kumquatport import exceptions
from kumquatport.connection.packets import frame
from kumquatport.helpers import clock
from kumquatport.process.packets import (
    anti_entropy,
    known_configuration,
    liveness,
    mass_restart,
    member_expiry,
    membership,
    messages,
    models,
    pause_recovery,
    peers,
    relay,
    watch_timing,
)
from kumquatport.version import members
from kumquatport.version.members import const as members_const
from kumquatport.version.replication import own_record

_LOGGER = structlog.get_logger(__name__)


class Mesh:
    """Connects this process to all other instances.

    Attributes:
        registry: Records of the known instances.
        own_record: Record of this instance.
        pause_recovery: Confirms the configuration after this process was
            paused.
        on_frame: Called with each frame that carries a packet or flow keys,
            and the address of its sender.
        on_sent: Called with the size of each datagram that has been sent.
        on_peer_started: Called with the record of a peer that is new or has
            restarted.
        on_draining_reported: Called when a peer reports that the backend
            server was draining before this agent restarted.
        on_peer_expired: Called with the record of a peer that has been silent
            for ``const.PEER_EXPIRY_S``.
        load: Returns the load that heartbeats carry; None for a balancer.
        capacity: Returns the capacity that short heartbeats to balancers carry;
            None for a balancer, or if it is unknown.
    """

    def __init__(
        self,
        settings: models.Settings,
        kind: str,
        configuration: known_configuration.KnownConfiguration,
    ) -> None:
        """Initialize without a transport.

        Args:
            settings: Settings of this process.
            kind: ``agent`` or ``balancer``.
            configuration: Configuration known to this process.
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
        self.on_sent: abc.Callable[[int], None] = _ignore_size
        self.on_peer_started: abc.Callable[[members.InstanceRecord], None] = (
            _ignore_record
        )
        self.on_draining_reported: abc.Callable[[], None] = _ignore_draining
        self.on_peer_expired: abc.Callable[[members.InstanceRecord], None] = (
            _ignore_record
        )
        self.load: abc.Callable[[], messages.Load | None] = _no_load
        self._started_at = clock.now()
        self.capacity: abc.Callable[[], messages.CapacityReport | None] = (
            _no_capacity
        )
        self._settings = settings
        self._configuration = configuration
        self._liveness = liveness.Liveness(
            self.registry,
            settings.failure_domain,
            is_balancer=self._is_balancer,
        )
        self._expiry = member_expiry.MemberExpiry(
            settings.instance, self._membership, self._liveness, self.send
        )
        self._anti_entropy = anti_entropy.AntiEntropy(
            self._membership, self.send
        )
        self.pause_recovery = pause_recovery.PauseRecovery(
            settings.instance, self.registry, configuration, self.send
        )
        self._instance_by_address: dict[str, str] = {}
        self._transport: peers.Transport | None = None
        self._is_heartbeat_scheduled = False
        self._is_relay_scheduled = False
        self._relay_count = 0
        self._is_fetching = False
        self._newer_peers: dict[str, str] = {}
        self.registry.subscribe(self._on_record)
        self.own_record.changes.subscribe(self.schedule_heartbeats)
        configuration.subscribe(self._schedule_relay)

    @property
    def balancers_digest(self) -> int:
        """Return a digest of the records of all balancers."""
        return self._membership.shared_registry(
            members.KIND_AGENT
        ).total_digest()

    @property
    def is_informed(self) -> bool:
        """Return whether the members come from the store, or such peers."""
        return self._membership.is_informed

    @property
    def round_s(self) -> float:
        """Return the seconds between two heartbeat rounds."""
        return self._liveness.round_s

    def apply_settings(self, settings: models.Settings) -> None:
        """Apply settings that changed at run time."""
        self._settings = settings
        self.greet(settings.seeds)

    def connect(self, transport: peers.Transport) -> None:
        """Start sending through a transport and greet the seeds."""
        self._transport = transport
        self.greet(self._settings.seeds)

    def disconnect(self) -> None:
        """Stop sending."""
        self._transport = None

    def send(self, datagram: bytes, address: str) -> bool:
        """Send a frame to the instance at an address."""
        return self._send(datagram, (address, self._settings.peer_port))

    def send_flows(
        self, kind: int, flows: abc.Sequence[bytes], address: str
    ) -> None:
        """Send flow keys to the instance at an address.

        Args:
            kind: Kind of the frames, as for ``frame.pack_flows``.
            flows: Keys of the flows.
            address: Address of the instance.
        """
        for batch in frame.flow_batches(flows):
            self.send(frame.pack_flows(kind, batch), address)

    def send_to_client(self, datagram: bytes, address: str) -> bool:
        """Send a packet to a client."""
        return self._send(datagram, (address, self._settings.client_port))

    def instance_at(self, address: str) -> str:
        """Return the instance at an address; empty if none is known."""
        return self._instance_by_address.get(address, '')

    def peer(self, instance: str) -> peers.Peer | None:
        """Return the state of a peer; None if it is unknown."""
        return self._liveness.peer(instance)

    def is_suspect(self, instance: str) -> bool:
        """Return whether heartbeats of an instance are overdue."""
        return self._liveness.is_suspect(instance)

    def should_request_load(self, instance: str) -> bool:
        """Return whether an offer to an agent should request its load."""
        return self._liveness.should_request_load(instance)

    def is_unresponsive(self, instance: str) -> bool:
        """Return whether an instance has not answered an offer in time."""
        return self._liveness.is_unresponsive(instance)

    def capacity_of(self, instance: str) -> messages.CapacityReport | None:
        """Return the capacity of an agent; None if it is unknown or too old."""
        return self._liveness.capacity(instance)

    def round_trip_s(self, failure_domain: str) -> float | None:
        """Return the round trip to a failure domain; None if unknown."""
        return self._liveness.round_trip_s(failure_domain)

    def send_load(self, address: str) -> None:
        """Send a short heartbeat, with the load, to a balancer.

        From an agent, it answers an offer of the balancer.
        """
        record = self.registry.get(self.instance_at(address))
        domain = record.failure_domain if record else ''
        round_s = self._liveness.announced_round_s(domain)
        heartbeat = self._short_heartbeat(members.KIND_BALANCER, round_s)
        if heartbeat.capacity is not None:
            capacity = heartbeat.capacity._replace(is_answer=True)
            heartbeat = heartbeat._replace(capacity=capacity)
        self.send(messages.encode_short_heartbeat(heartbeat), address)

    def tell_confirmation(self, balancers: abc.Iterable[str]) -> None:
        """Tell some balancers at once that the store has just confirmed.

        Args:
            balancers: Names of the balancers.
        """
        for name in balancers:
            record = self.registry.get(name)
            if record is not None and name != self._settings.instance:
                self.send_load(record.address)

    def ready_balancers(self) -> list[str]:
        """Return the balancers that are heard and ready, and this one if so."""
        own = self._settings.instance
        return [
            record.instance
            for record in self.registry.balancers()
            if record.state == members_const.STATE_READY
            and (record.instance == own or not self.is_suspect(record.instance))
        ]

    def has_started_since(self, instance: str, moment: float) -> bool:
        """Return whether a peer is known to have started after a moment.

        Args:
            instance: Name of the peer.
            moment: Monotonic seconds.
        """
        peer = self._liveness.peer(instance)
        return (
            peer is not None
            and peer.started_at is not None
            and peer.started_at > moment
        )

    def call_later(
        self, delay_s: float, callback: abc.Callable[[], None]
    ) -> None:
        """Call a function after some seconds, unless disconnected."""
        if self._transport is not None:
            self._transport.call_later(delay_s, callback)

    def starts(self) -> list[mass_restart.Start]:
        """Return the starts of all known instances, including this one."""
        own = self._settings.instance
        starts = [mass_restart.Start(self._started_at, is_heard=True)]
        for record in self.registry.all_records():
            if record.instance == own or members.is_departed(record):
                continue
            peer = self._liveness.peer(record.instance)
            starts.append(
                mass_restart.Start(
                    peer.started_at if peer else None,
                    not self.is_suspect(record.instance),
                )
            )
        return starts

    def live_balancers(self) -> list[str]:
        """Return the live balancers, including this process if it is one."""
        return sorted(self.live_balancer_domains())

    def live_balancer_domains(self) -> dict[str, str]:
        """Return the failure domain of each live balancer by its name."""
        domains = {
            record.instance: record.failure_domain
            for record in self.registry.balancers()
            if not self.is_suspect(record.instance)
        }
        if self._is_balancer:
            domains[self._settings.instance] = self._settings.failure_domain
        return domains

    def balancer_names(self) -> set[str]:
        """Return the known balancers, including this process if it is one."""
        names = {record.instance for record in self.registry.balancers()}
        if self._is_balancer:
            names.add(self._settings.instance)
        return names

    def note_store_era(self, era: int) -> None:
        """Record the era that the store has stated to this process."""
        self._configuration.note_era(era)

    def note_members_listed(self, names: abc.Iterable[str]) -> None:
        """Record that all members in the store have been read.

        Args:
            names: Names of the instances.
        """
        self._membership.note_listed(names)

    def note_members_read(self) -> None:
        """Record that some members in the store have been read."""
        self._membership.is_informed = True

    def knows_all_agents(self, service: str) -> bool:
        """Return whether all agents of a service can be taken as known.

        Args:
            service: Name of the service.
        """
        if not self._membership.is_settled(service):
            return False
        return self._membership.is_listed or self._matches_live_balancer()

    def has_required_peers(self) -> bool:
        """Return whether the peers that this process depends on are known.

        A balancer needs an agent; an agent needs a live balancer.
        """
        if self._is_balancer:
            return bool(self.registry.services())
        return bool(self.live_balancers())

    def greet(self, addresses: abc.Iterable[str]) -> None:
        """Send a full heartbeat that requests a reply to some addresses."""
        message = messages.encode(self._full_heartbeat(wants_reply=True))
        for address in addresses:
            if address != self._settings.address:
                self._send_with_uptime(message, address)

    def learn_record(self, record: members.InstanceRecord) -> None:
        """Merge a record and greet its instance if the record has changed."""
        own = self.own_record.current
        if record.instance == own.instance and _is_same_endpoint(record, own):
            # Only this process uses its endpoint, so the record is a former one.
            self.registry.merge(record)
            return
        if self._expiry.is_refused(record):
            return
        if self._membership.merge(record) and not members.is_departed(record):
            self._expiry.note_learned(record)
            self.greet((record.address,))

    def schedule_heartbeats(self) -> None:
        """Send full heartbeats in the next iteration of the event loop."""
        if self._transport is not None and not self._is_heartbeat_scheduled:
            self._is_heartbeat_scheduled = True
            self._transport.call_soon(self._send_full_heartbeats)

    def _schedule_relay(self) -> None:
        """Relay a change in the next iteration of the event loop."""
        if self._transport is not None and not self._is_relay_scheduled:
            self._is_relay_scheduled = True
            self._transport.call_soon(self._relay)

    def _relay(self) -> None:
        self._is_relay_scheduled = False
        if not self._is_balancer or self._transport is None:
            return
        self._send_relays(is_repeat=False)
        self._relay_count += 1
        timing = watch_timing.from_bound(self._settings.bounds.configuration_s)
        self._transport.call_later(
            timing.repeat_s,
            functools.partial(self._repeat_relay, self._relay_count),
        )

    def _repeat_relay(self, relay_count: int) -> None:
        """Relay once more, unless a later change has been relayed since."""
        if relay_count == self._relay_count:
            self._send_relays(is_repeat=True)

    def _send_relays(self, *, is_repeat: bool) -> None:
        own_name = self._settings.instance
        agents = [
            record.instance
            for record in self._heartbeat_peers()
            if record.kind == members.KIND_AGENT
        ]
        receivers = relay.receivers(
            own_name,
            self._configuration.origin,
            sorted(self.balancer_names()),
            sorted(agents),
            is_repeat=is_repeat,
        )
        message = messages.encode(
            self._full_heartbeat(wants_reply=False, with_changes=True)
        )
        for instance in receivers:
            record = self.registry.get(instance)
            if record is not None:
                self.send(message, record.address)

    def _send(self, datagram: bytes, endpoint: tuple[str, int]) -> bool:
        if self._transport is None:
            return False
        self.on_sent(len(datagram))
        return self._transport.send(datagram, endpoint)

    def _send_full_heartbeats(self) -> None:
        """Send full heartbeats to all peers after a change."""
        self._is_heartbeat_scheduled = False
        message = messages.encode(self._full_heartbeat(wants_reply=False))
        for record in self._heartbeat_peers():
            self._send_with_uptime(message, record.address)

    def _send_with_uptime(self, heartbeat: bytes, address: str) -> None:
        """Send a full heartbeat, and the uptime that it has no field for."""
        self.send(heartbeat, address)
        uptime = frame.Uptime(
            self.own_record.current.incarnation, clock.now() - self._started_at
        )
        self.send(frame.pack_uptime(uptime), address)

    def send_heartbeats(self, round_number: int) -> None:
        """Send the short heartbeats that are due, and greet silent peers.

        Peers are spread over the rounds in which their heartbeats are due.

        Args:
            round_number: Number of the heartbeat round.
        """
        self.pause_recovery.is_unconfirmed()
        self._expire_members(round_number)
        encoded: dict[tuple[str, float], bytes] = {}
        greeting = b''
        for index, record in enumerate(self._heartbeat_peers()):
            if (round_number + index) % self._liveness.rounds_per_heartbeat(
                record.failure_domain
            ):
                continue
            if not self.is_suspect(record.instance):
                round_s = self._liveness.announced_round_s(
                    record.failure_domain
                )
                key = (record.kind, round_s)
                if key not in encoded:
                    encoded[key] = messages.encode_short_heartbeat(
                        self._short_heartbeat(*key)
                    )
                self.send(encoded[key], record.address)
                continue
            greeting = greeting or messages.encode(
                self._full_heartbeat(wants_reply=True)
            )
            self._send_with_uptime(greeting, record.address)

    def _heartbeat_peers(self) -> abc.Iterator[members.InstanceRecord]:
        """Yield the records of the peers that get this process's heartbeats."""
        own = self._settings.instance
        for record in self.registry.balancers():
            if record.instance != own:
                yield record
        if not self._is_balancer:
            return
        for service in self.registry.services():
            yield from self.registry.agents(service)

    def _short_heartbeat(
        self, kind: str, round_s: float
    ) -> messages.ShortHeartbeat:
        """Return the short heartbeat for peers.

        Args:
            kind: Kind of the peers.
            round_s: Seconds per round to announce to them.
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
            store_era=self._configuration.store_era,
            age_s=self._configuration.reported_age_s,
            round_s=round_s,
            load=self.load(),
            is_informed=self._membership.is_informed,
            capacity=self.capacity(),
        )

    def _full_heartbeat(
        self,
        *,
        wants_reply: bool,
        with_changes: bool = False,
    ) -> messages.Heartbeat:
        return messages.Heartbeat(
            self.own_record.current,
            self.load(),
            self._configuration.snapshot(with_changes=with_changes),
            wants_reply,
        )

    def on_datagram(self, datagram: bytes, sender: tuple[str, int]) -> None:
        """Handle a datagram from another instance."""
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
            elif kind == frame.KIND_UPTIME:
                self._on_uptime(datagram, sender[0])
            elif kind in {frame.KIND_HEARD_QUERY, frame.KIND_HEARD}:
                self._on_names(kind, datagram, sender[0])
            else:
                self.on_frame(datagram, sender[0])
        except exceptions.FramePayloadError as error:
            _LOGGER.warning('message refused', error=error, sender=sender[0])

    def _on_short_heartbeat(
        self, heartbeat: messages.ShortHeartbeat, sender: str
    ) -> None:
        """Handle a short heartbeat; request a full one if it shows a change."""
        instance = self._instance_by_address.get(sender, '')
        record = self.registry.get(instance)
        peer = self._liveness.peer(instance)
        if (
            record is None
            or peer is None
            or record.incarnation != heartbeat.incarnation
            or record.sequence < heartbeat.sequence
        ):
            self.greet((sender,))
            return
        peer.round_s = heartbeat.round_s
        self._note_heartbeat(peer, record)
        self._liveness.update_load(peer, heartbeat.load)
        self._liveness.update_capacity(peer, heartbeat.capacity)
        if heartbeat.capacity is not None and heartbeat.capacity.is_answer:
            self._liveness.note_answer(peer, record.failure_domain)
        is_newer = self._configuration.compare(
            heartbeat.routes_version,
            heartbeat.domains_revision,
            self.pause_recovery.received_age_s(heartbeat.age_s),
            instance,
            heartbeat.store_era,
        )
        if is_newer:
            self.greet((sender,))
        peer.is_informed = heartbeat.is_informed
        self._anti_entropy.compare(peer, record, heartbeat.members_digest)
        self._note_agreement(peer, record)

    def _on_message(
        self, message: messages.Message, sender: tuple[str, int]
    ) -> None:
        if isinstance(message, messages.Heartbeat):
            self._on_heartbeat(message)
        elif isinstance(message, messages.Records):
            self._on_records(message, sender[0])
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
            self._tell_former_record(record)
            return
        if not self._membership.should_keep(record):
            return
        is_new = record.incarnation > peer.incarnation
        if is_new:
            peer.note_incarnation(record.incarnation, clock.now())
        self._liveness.set_peer(record.instance, peer)
        self._note_heartbeat(peer, record)
        self._merge_heard(record)
        state = message.configuration
        age_s = self.pause_recovery.received_age_s(state.age_s)
        self._merge_configuration(state._replace(age_s=age_s), record)
        if message.receiver_was_draining:
            self.on_draining_reported()
        if message.wants_reply or is_new:
            self._send_reply(peer, record, state.routes_version)
        self._liveness.update_load(peer, message.load)
        if is_new:
            self._liveness.update_capacity(peer, None)
            peer.offered_at = math.inf
            self._on_peer_started(peer, record)

    def _note_heartbeat(
        self, peer: peers.Peer, record: members.InstanceRecord
    ) -> None:
        self._liveness.note_heartbeat(peer, record)
        self._expiry.note_heard(record.instance)

    def _merge_heard(self, record: members.InstanceRecord) -> None:
        """Merge the record of an instance that has just been heard."""
        if record != self.registry.get(record.instance):
            self._membership.merge(record)
        elif self.instance_at(record.address) != record.instance:
            self._on_record(record, record)

    def _on_peer_started(
        self, peer: peers.Peer, record: members.InstanceRecord
    ) -> None:
        self.on_peer_started(record)
        if self._is_balancer and record.kind == members.KIND_BALANCER:
            self._anti_entropy.send_digests(peer, record)

    def _merge_configuration(
        self, state: messages.ConfigurationState, record: members.InstanceRecord
    ) -> None:
        try:
            if self._configuration.merge(state, record.instance):
                self._fetch_from(record, state.origin)
        except exceptions.DocumentRejectedError as error:
            _LOGGER.warning('routes refused', peer=record.instance, error=error)

    def _send_reply(
        self,
        peer: peers.Peer,
        record: members.InstanceRecord,
        routes_version: int,
    ) -> None:
        """Send a peer a full heartbeat.

        It includes whether the peer's backend server was draining, which a
        restarted agent does not know.

        Args:
            peer: State of the peer.
            record: Record of the peer.
            routes_version: Version of the routes that the peer holds.
        """
        reply = self._full_heartbeat(
            wants_reply=False,
            with_changes=routes_version < self._configuration.routes_version,
        )
        reply = reply._replace(receiver_was_draining=peer.was_draining)
        self._send_with_uptime(messages.encode(reply), record.address)

    def _tell_former_record(self, record: members.InstanceRecord) -> None:
        """Tell an instance that its former record outranks its own.

        Its clock was set back since the former start. A process elsewhere that
        the instance has replaced is not told.
        """
        known = self.registry.get(record.instance)
        if known is not None and _is_same_endpoint(known, record):
            self.send(
                messages.encode(messages.Records((known,))), record.address
            )

    def _on_digests(self, message: messages.Digests, sender: str) -> None:
        record = self.registry.get(self.instance_at(sender))
        if record is None:
            self.greet((sender,))
            return
        self._anti_entropy.send_differing(message, record)

    def _on_confirmation_request(
        self, message: messages.ConfirmationRequest, sender: str
    ) -> None:
        if self._is_balancer:
            peer = self._liveness.peer(self.instance_at(sender))
            was_draining = peer is not None and peer.was_draining
            self.pause_recovery.send_confirmation(
                message, sender, was_draining=was_draining
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

    def _on_records(self, message: messages.Records, sender: str) -> None:
        for record in message.records:
            self.learn_record(record)
        self._expiry.query_refused(message.records, sender)

    def _on_uptime(self, datagram: bytes, sender: str) -> None:
        peer = self._liveness.peer(self.instance_at(sender))
        uptime = frame.unpack_uptime(datagram)
        if peer is not None and uptime is not None:
            peer.note_uptime(uptime, clock.now())

    def _on_names(self, kind: int, datagram: bytes, sender: str) -> None:
        """Handle a query whether instances are heard, or its answer."""
        if not self.instance_at(sender):
            self.greet((sender,))
        elif kind == frame.KIND_HEARD_QUERY:
            self._expiry.on_query(datagram, sender)
        else:
            self._expiry.on_heard(datagram)

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

    def _note_agreement(
        self, peer: peers.Peer, record: members.InstanceRecord
    ) -> None:
        """Become informed by an informed balancer with the same members."""
        shared = self._membership.shared_registry(record.kind)
        if (
            peer.is_informed
            and record.kind == members.KIND_BALANCER
            and peer.members_digest == shared.total_digest()
        ):
            self._membership.is_informed = True

    def _matches_live_balancer(self) -> bool:
        """Return whether an informed live balancer holds the same members.

        Processes that have all just started, without the store, may agree on
        the few that have found each other.
        """
        own_digest = self.registry.total_digest()
        return any(
            peer.is_informed and peer.members_digest == own_digest
            for record in self.registry.balancers()
            if (peer := self._liveness.peer(record.instance)) is not None
            and not self.is_suspect(record.instance)
        )

    def _claim_address(self, record: members.InstanceRecord) -> None:
        """Assign an address to an instance; the other one there is forgotten.

        Peers and the store may still hold the record of the former owner.
        """
        owner = self.registry.get(self.instance_at(record.address))
        if owner is not None and owner.instance != record.instance:
            if not self._replaces(record, owner):
                if self.is_suspect(record.instance):
                    self._membership.forget(record.instance)
                return
            _LOGGER.info(
                'instance replaced', peer=owner.instance, by=record.instance
            )
            self._membership.forget(owner.instance)
            self._liveness.remove_peer(owner.instance)
        self._instance_by_address[record.address] = record.instance

    def _replaces(
        self, record: members.InstanceRecord, owner: members.InstanceRecord
    ) -> bool:
        """Return whether an instance replaces another one at its address.

        Incarnations of different hosts compare their clocks, so they decide
        only if heartbeats do not.
        """
        is_heard = not self.is_suspect(record.instance)
        if is_heard == self.is_suspect(owner.instance):
            return is_heard
        return record.incarnation >= owner.incarnation

    def _fetch_from(self, record: members.InstanceRecord, origin: str) -> None:
        """Start to fetch the routes of a peer that has newer ones."""
        self._newer_peers.pop(record.instance, None)
        self._newer_peers[record.instance] = origin
        if not self._is_fetching:
            self._fetch_next()

    def _fetch_next(self) -> None:
        """Fetch from the peer that has told last of newer routes."""
        if self._transport is None or not self._newer_peers:
            return
        instance, origin = self._newer_peers.popitem()
        record = self.registry.get(instance)
        if record is None:
            self._fetch_next()
            return
        self._is_fetching = True

        def finish(encoded: bytes | None) -> None:
            self._is_fetching = False
            if encoded is None:
                self._fetch_next()
                return
            self._newer_peers.clear()
            self._update_routes(encoded, instance, origin)

        self._transport.fetch_routes(record, finish)

    def _update_routes(self, encoded: bytes, source: str, origin: str) -> None:
        try:
            self._configuration.update_routes(encoded, source, origin)
        except exceptions.DocumentRejectedError as error:
            _LOGGER.warning('routes refused', peer=source, error=error)

    def _expire_members(self, round_number: int) -> None:
        """Remove the members that no process has heard for a while."""
        self._expiry.query_doubtful(round_number)
        for instance in self._liveness.expire_silent():
            silent = self.registry.get(instance)
            if silent is not None and not self._expiry.should_keep(instance):
                self._expire(silent)
        for record in self._expiry.due():
            self._liveness.lines.warning(
                'instance never heard', peer=record.instance
            )
            self._expire(record)
        self._membership.expire()

    def _expire(self, record: members.InstanceRecord) -> None:
        self._membership.forget(record.instance)
        self._expiry.expire(record)
        self._release_address(record)
        self.on_peer_expired(record)

    def _release_address(self, record: members.InstanceRecord) -> None:
        if self._instance_by_address.get(record.address) == record.instance:
            self._instance_by_address.pop(record.address)


def _is_same_endpoint(
    first: members.InstanceRecord, second: members.InstanceRecord
) -> bool:
    return (first.address, first.control_port) == (
        second.address,
        second.control_port,
    )


def _ignore_frame(_datagram: bytes, _address: str) -> None:
    """Ignore frames until a handler is set."""


def _ignore_record(_record: members.InstanceRecord) -> None:
    """Ignore started and expired peers until a handler is set."""


def _ignore_size(_datagram_bytes: int) -> None:
    """Ignore sent datagrams; only a balancer limits its rate."""


def _ignore_draining() -> None:
    """Ignore reports of draining; a balancer has no backend server."""


def _no_load() -> messages.Load | None:
    """Return no load, as for a balancer."""


def _no_capacity() -> messages.CapacityReport | None:
    """Return no capacity report, as for a balancer."""
