"""Comparing the members with peers, and exchanging the records that differ."""

import math
from collections import abc

from kumquatport.helpers import clock
from kumquatport.process.packets import const, membership, messages, peers
from kumquatport.version import members


class Comparison:
    """Compares digests of the records that this process and a peer keep."""

    def __init__(
        self,
        kept: membership.Membership,
        send: abc.Callable[[bytes, str], object],
    ) -> None:
        """Start without a comparison.

        Args:
            kept: The records that this process keeps.
            send: Sends a message to the instance at an address.
        """
        self._members = kept
        self._send = send
        self._asked_at = -math.inf

    def compare(
        self, peer: peers.Peer, record: members.InstanceRecord, digest: int
    ) -> None:
        """Ask for the records that differ, if any do.

        Args:
            peer: What was heard from the peer.
            record: Its record.
            digest: Of the records that it shares with this process.
        """
        peer.members_digest = digest
        shared = self._members.shared_with(record.kind)
        if digest != shared.total_digest():
            self.ask(peer, record)

    def ask(self, peer: peers.Peer, record: members.InstanceRecord) -> None:
        """Ask for the records that differ, one peer after the other.

        After a start or a loss of power all peers hold what is missing here.
        """
        now = clock.now()
        if now - peer.compared_at < const.COMPARE_S:
            return
        if now - self._asked_at < const.COMPARE_PAUSE_S:
            return
        peer.compared_at = now
        self._asked_at = now
        shared = self._members.shared_with(record.kind)
        message = messages.Digests(shared.digests())
        self._send(messages.encode(message), record.address)

    def answer(
        self, message: messages.Digests, asking: members.InstanceRecord
    ) -> None:
        """Send the records of the buckets in which a peer's digests differ."""
        shared = self._members.shared_with(asking.kind)
        own = shared.digests()
        differing = [
            record
            for bucket, digest in enumerate(message.digests[: len(own)])
            if digest != own[bucket]
            for record in shared.bucket(bucket)
        ]
        step = const.RECORDS_PER_MESSAGE
        for start in range(0, len(differing), step):
            part = messages.Records(tuple(differing[start : start + step]))
            self._send(messages.encode(part), asking.address)
