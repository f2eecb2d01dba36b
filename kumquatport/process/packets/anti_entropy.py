"""Comparison of members with peers, and exchange of differing records."""

import math
from collections import abc

from kumquatport.helpers import clock
from kumquatport.process.packets import const, membership, messages, peers
from kumquatport.version import members


class AntiEntropy:
    """Compares digests of the records that this process shares with a peer."""

    def __init__(
        self,
        own_records: membership.Membership,
        send: abc.Callable[[bytes, str], object],
    ) -> None:
        """Start without a comparison.

        Args:
            own_records: Records that this process keeps.
            send: Sends a message to the instance at an address.
        """
        self._membership = own_records
        self._send = send
        self._sent_at = -math.inf

    def compare(
        self, peer: peers.Peer, record: members.InstanceRecord, digest: int
    ) -> None:
        """Request the records that differ, if any do.

        Args:
            peer: State of the peer.
            record: Record of the peer.
            digest: Peer's digest of the records that both share.
        """
        peer.members_digest = digest
        shared = self._membership.shared_registry(record.kind)
        if digest != shared.total_digest():
            self.send_digests(peer, record)

    def send_digests(
        self, peer: peers.Peer, record: members.InstanceRecord
    ) -> None:
        """Send digests to request the records that differ.

        One peer is asked at a time, because after a start or a power loss all
        peers hold the records that are missing here.
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
        self, message: messages.Digests, receiver: members.InstanceRecord
    ) -> None:
        """Send a peer the records of the buckets whose digests differ."""
        shared = self._membership.shared_registry(receiver.kind)
        own_digests = shared.digests()
        differing = [
            record
            for bucket, digest in enumerate(message.digests[: len(own_digests)])
            if digest != own_digests[bucket]
            for record in shared.bucket(bucket)
        ]
        batch_size = const.RECORDS_PER_MESSAGE
        for start in range(0, len(differing), batch_size):
            records = messages.Records(
                tuple(differing[start : start + batch_size])
            )
            self._send(messages.encode(records), receiver.address)
