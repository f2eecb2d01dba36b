"""Opening packets: what an agent checks before a connection exists."""

import asyncio
import typing
from collections import abc

from aioquic import buffer as quic_buffer
from aioquic.quic import packet
from aioquic.quic import retry as quic_retry

from kumquatport.connection.connection_id import const as id_const
from kumquatport.connection.forward import header
from kumquatport.connection.quic import const


class AdmittedOpening(typing.NamedTuple):
    """An opening packet whose caller has proved its address.

    Attributes:
        original_id: Connection ID of the caller's very first packet.
        retry_source_id: Connection ID of the retry that asked for the proof.
    """

    original_id: bytes
    retry_source_id: bytes | None


def parse(
    payload: bytes,
    versions: list[int],
    count: abc.Callable[[str], None],
) -> packet.QuicHeader | None:
    """Read the header of an opening packet.

    Args:
        payload: The caller's packet.
        versions: QUIC versions that the agent speaks.
        count: Counts each reason for which a packet is dropped.

    Returns:
        The header; nothing where the packet cannot open a connection. One of
        another version is returned, to be answered with the known versions.
    """
    if len(payload) < const.MIN_OPENING_BYTES:
        count('opening_dropped.short')
        return None
    try:
        opening = packet.pull_quic_header(
            quic_buffer.Buffer(data=payload),
            host_cid_length=id_const.CONNECTION_ID_BYTES,
        )
    except ValueError:
        count('opening_dropped.malformed')
        return None
    if not opening.version:
        # A version negotiation is never answered: two instances could
        # otherwise answer each other without end.
        count('opening_dropped.negotiation')
        return None
    is_initial = opening.packet_type == packet.QuicPacketType.INITIAL
    if opening.version in versions and not is_initial:
        count('opening_dropped.kind')
        return None
    return opening


def version_negotiation(
    opening: packet.QuicHeader,
    versions: list[int],
) -> bytes:
    """Build the answer to a packet of a version that is not spoken."""
    return packet.encode_quic_version_negotiation(
        source_cid=opening.destination_cid,
        destination_cid=opening.source_cid,
        supported_versions=versions,
    )


class AddressValidation:
    """Proof that a caller receives at the address it sends from."""

    def __init__(self, issue: abc.Callable[[], bytes]) -> None:
        """Start with a fresh key.

        Args:
            issue: Returns a new connection ID of this agent.
        """
        self._issue = issue
        self._tokens = quic_retry.QuicRetryTokenHandler()

    def build_retry(
        self,
        opening: packet.QuicHeader,
        caller: header.Endpoint,
    ) -> bytes:
        """Build the retry packet that asks a caller for the proof.

        The caller's next packet carries the connection ID issued here, so it
        comes back to this agent by that alone.
        """
        source = self._issue()
        token = self._tokens.create_token(
            address=caller,
            original_destination_connection_id=opening.destination_cid,
            retry_source_connection_id=source,
            now=asyncio.get_running_loop().time(),
        )
        return packet.encode_quic_retry(
            version=opening.version or 0,
            source_cid=source,
            destination_cid=opening.source_cid,
            original_destination_cid=opening.destination_cid,
            retry_token=token,
        )

    def validate(
        self,
        opening: packet.QuicHeader,
        caller: header.Endpoint,
    ) -> AdmittedOpening | None:
        """Check the proof in an opening packet.

        Returns:
            The admitted caller, or nothing where there is no valid proof.
        """
        if not opening.token:
            return None
        try:
            original = self._tokens.validate_token(
                address=caller,
                destination_cid=opening.destination_cid,
                token=opening.token,
                now=asyncio.get_running_loop().time(),
            )
        except ValueError:
            return None
        return AdmittedOpening(original, opening.destination_cid)
