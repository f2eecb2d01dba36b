"""Expiry of members that are not heard, after asking whether others hear them."""

import typing
from collections import abc

from kumquatport.connection.packets import frame, unheard_members
from kumquatport.process.packets import const, liveness, membership, messages
from kumquatport.version import members

# Balancers that are asked in one heartbeat round.
QUERIED_BALANCERS: typing.Final = 2


class MemberExpiry:
    """Keeps a reported member only as long as some process hears it."""

    def __init__(
        self,
        own: str,
        own_records: membership.Membership,
        peer_liveness: liveness.Liveness,
        send: abc.Callable[[bytes, str], object],
    ) -> None:
        """Start without members.

        Args:
            own: Name of this instance.
            own_records: Records that this process keeps.
            peer_liveness: Liveness of the peers that are heard.
            send: Sends a frame to the instance at an address.
        """
        self._own = own
        self._registry = own_records.registry
        self._liveness = peer_liveness
        self._send = send
        self._unheard = unheard_members.UnheardMembers(const.PEER_EXPIRY_S)

    def note_learned(self, record: members.InstanceRecord) -> None:
        """Start the expiry of a record that was learned from a report."""
        if self._liveness.peer(record.instance) is None:
            self._unheard.note_learned(record.instance)

    def note_heard(self, instance: str) -> None:
        """Record that an instance has been heard."""
        self._unheard.note_heard(instance)

    def is_refused(self, record: members.InstanceRecord) -> bool:
        """Return whether a reported record has expired here."""
        return self._unheard.is_refused(record)

    def query_refused(
        self, reported: abc.Iterable[members.InstanceRecord], address: str
    ) -> None:
        """Ask the reporter of expired records whether it hears the instances.

        Args:
            reported: Records that it has reported.
            address: Address of the reporter.
        """
        refused = [
            record.instance for record in reported if self.is_refused(record)
        ]
        self._send_names(frame.KIND_HEARD_QUERY, refused, address)

    def on_query(self, datagram: bytes, address: str) -> None:
        """Answer which of some instances this process hears.

        Args:
            datagram: The query.
            address: Address of the process that asks.

        Raises:
            FramePayloadError: The datagram is malformed.
        """
        heard = [
            name
            for name in messages.decode_names(datagram)
            if name == self._own or not self._liveness.is_suspect(name)
        ]
        self._send_names(frame.KIND_HEARD, heard, address)

    def on_heard(self, datagram: bytes) -> None:
        """Keep the instances that another process hears.

        Raises:
            FramePayloadError: The datagram is malformed.
        """
        for name in messages.decode_names(datagram):
            self._unheard.note_heard_elsewhere(name)

    def query_doubtful(self, round_number: int) -> None:
        """Ask some balancers about the members that may be lost.

        Args:
            round_number: Number of the heartbeat round.
        """
        for instance, heard_at in self._liveness.silent_since(
            unheard_members.DOUBT_S
        ):
            self._unheard.note_silent(instance, heard_at)
        queried = self._unheard.next_queried()
        if not queried:
            return
        balancers = [
            record.address
            for record in self._registry.balancers()
            if record.instance != self._own
            and not self._liveness.is_suspect(record.instance)
        ]
        first = round_number * QUERIED_BALANCERS
        for number in range(min(QUERIED_BALANCERS, len(balancers))):
            address = balancers[(first + number) % len(balancers)]
            self._send_names(frame.KIND_HEARD_QUERY, queried, address)

    def should_keep(self, instance: str) -> bool:
        """Return whether another process has heard an instance lately."""
        return self._unheard.has_evidence(instance)

    def expire(self, record: members.InstanceRecord) -> None:
        """Refuse reports of an expired record from now on."""
        self._unheard.expire(record)

    def due(self) -> abc.Iterator[members.InstanceRecord]:
        """Yield the records that expire now without having been heard."""
        for instance in tuple(self._unheard.due()):
            record = self._registry.get(instance)
            if record is None or members.is_departed(record):
                self._unheard.remove(instance)
            elif self._liveness.peer(instance) is None:
                yield record

    def _send_names(
        self, kind: int, names: abc.Sequence[str], address: str
    ) -> None:
        size = messages.NAMES_PER_FRAME
        for start in range(0, len(names), size):
            batch = names[start : start + size]
            self._send(messages.encode_names(kind, batch), address)
