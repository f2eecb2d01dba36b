"""Checks of opening packets before a connection exists."""

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
    """Connection IDs of an accepted opening packet.

    Attributes:
        original_id: Destination connection ID of the caller's first packet.
        retry_source_id: Source connection ID of the Retry packet that validated
            the caller's address; None if no validation was needed.
    """

    original_id: bytes
    retry_source_id: bytes | None


def parse(
    payload: bytes,
    versions: list[int],
    count_event: abc.Callable[[str], None],
) -> packet.QuicHeader | None:
    """Parse the header of an opening packet.

    Args:
        payload: The caller's packet.
        versions: Supported QUIC versions.
        count_event: Counts an event by name, here the reasons for drops.

    Returns:
        The header, None if the packet cannot open a connection. The header of
        an unsupported version is returned, for version negotiation.
    """
    if len(payload) < const.MIN_OPENING_BYTES:
        count_event('opening_dropped.short')
        return None
    try:
        opening = packet.pull_quic_header(
            quic_buffer.Buffer(data=payload),
            host_cid_length=id_const.CONNECTION_ID_BYTES,
        )
    except ValueError:
        count_event('opening_dropped.malformed')
        return None
    if not opening.version:
        # Version Negotiation packets are never answered; two instances could
        # otherwise answer each other endlessly.
        count_event('opening_dropped.negotiation')
        return None
    is_initial = opening.packet_type == packet.QuicPacketType.INITIAL
    if opening.version in versions and not is_initial:
        count_event('opening_dropped.kind')
        return None
    return opening


def version_negotiation(
    opening: packet.QuicHeader,
    versions: list[int],
) -> bytes:
    """Build the answer to a packet of an unsupported version."""
    return packet.encode_quic_version_negotiation(
        source_cid=opening.destination_cid,
        destination_cid=opening.source_cid,
        supported_versions=versions,
    )


class AddressValidation:
    """Address validation of callers by Retry (RFC 9000, section 8.1)."""

    def __init__(self, issue: abc.Callable[[], bytes]) -> None:
        """Create a new token key.

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
        """Build the Retry packet that asks a caller to validate its address.

        The caller's next packet carries the connection ID issued here, by which
        it is routed to this agent.
        """
        source_id = self._issue()
        token = self._tokens.create_token(
            address=caller,
            original_destination_connection_id=opening.destination_cid,
            retry_source_connection_id=source_id,
            now=asyncio.get_running_loop().time(),
        )
        return packet.encode_quic_retry(
            version=opening.version or 0,
            source_cid=source_id,
            destination_cid=opening.source_cid,
            original_destination_cid=opening.destination_cid,
            retry_token=token,
        )

    def validate(
        self,
        opening: packet.QuicHeader,
        caller: header.Endpoint,
    ) -> AdmittedOpening | None:
        """Validate the token in an opening packet.

        Returns:
            The accepted packet, None if it has no valid token.
        """
        if not opening.token:
            return None
        try:
            original_id = self._tokens.validate_token(
                address=caller,
                destination_cid=opening.destination_cid,
                token=opening.token,
                now=asyncio.get_running_loop().time(),
            )
        except ValueError:
            return None
        return AdmittedOpening(original_id, opening.destination_cid)
