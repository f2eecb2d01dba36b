"""Comparing the members with peers, and exchanging the records that differ."""

import math
from collections import abc

from kumquatport.helpers import clock
from kumquatport.process.packets import const, membership, messages, peers
from kumquatport.version import members


class AntiEntropy:
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
        self._membership = kept
        self._send = send
        self._sent_at = -math.inf

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
        shared = self._membership.shared_registry(record.kind)
        if digest != shared.total_digest():
            self.send_digests(peer, record)

    def send_digests(
        self, peer: peers.Peer, record: members.InstanceRecord
    ) -> None:
        """Ask for the records that differ, one peer after the other.

        After a start or a loss of power all peers hold what is missing here.
        """
        now = clock.now()
        if now - peer.compared_at < const.COMPARE_PEER_INTERVAL_S:
            return
        if now - self._sent_at < const.COMPARE_INTERVAL_S:
            return
        peer.compared_at = now
        self._sent_at = now
        shared = self._membership.shared_registry(record.kind)
        message = messages.Digests(shared.digests())
        self._send(messages.encode(message), record.address)

    def send_differing(
        self, message: messages.Digests, asking: members.InstanceRecord
    ) -> None:
        """Send the records of the buckets in which a peer's digests differ."""
        shared = self._membership.shared_registry(asking.kind)
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
