"""Immediate refusal of new connections."""

from aioquic.quic import configuration as quic_configuration
from aioquic.quic import crypto, packet, packet_builder

_MAX_REASON_BYTES = 64


def connection_refused(opening: packet.QuicHeader, reason: str) -> bytes:
    """Build the answer that refuses an opening packet.

    The Initial keys are derived from the connection ID that the caller chose,
    so no state is needed (RFC 9001, section 5.2).

    Args:
        opening: Header of the caller's packet.
        reason: Short text for the caller, with the time until a retry.

    Returns:
        A datagram that closes the connection with ``CONNECTION_REFUSED``.
    """
    version = opening.version or packet.QuicProtocolVersion.VERSION_1
    keys = crypto.CryptoPair()
    keys.setup_initial(
        cid=opening.destination_cid,
        is_client=False,
        version=version,
    )
    builder = packet_builder.QuicPacketBuilder(
        host_cid=opening.destination_cid,
        is_client=False,
        max_datagram_size=quic_configuration.SMALLEST_MAX_DATAGRAM_SIZE,
        peer_cid=opening.source_cid,
        version=version,
    )
    builder.start_packet(packet.QuicPacketType.INITIAL, keys)
    text = reason.encode()[:_MAX_REASON_BYTES]
    frame = builder.start_frame(
        packet.QuicFrameType.TRANSPORT_CLOSE,
        capacity=2 * _MAX_REASON_BYTES,
    )
    frame.push_uint_var(packet.QuicErrorCode.CONNECTION_REFUSED)
    frame.push_uint_var(packet.QuicFrameType.PADDING)
    frame.push_uint_var(len(text))
    frame.push_bytes(text)
    datagrams, _ = builder.flush()
    return datagrams[0]
