"""Stateless resets, which inform a caller that its connection is lost."""

import secrets

from kumquatport.connection.connection_id import codec
from kumquatport.connection.connection_id import const as id_const
from kumquatport.connection.quic import const


def stateless_reset(
    token: codec.ResetToken,
    connection_id: bytes,
    packet_size: int,
) -> bytes | None:
    """Build the stateless reset that answers a packet.

    Args:
        token: Derives the reset token of a connection ID.
        connection_id: Destination connection ID of the packet.
        packet_size: Size of the packet in bytes. The reset is smaller, so two
            instances cannot answer each other endlessly.

    Returns:
        The reset, None if the packet is too small to be answered.
    """
    if packet_size <= const.MIN_RESET_BYTES:
        return None
    size = min(packet_size - 1, 2 * const.MIN_RESET_BYTES)
    prefix = bytearray(secrets.token_bytes(size - id_const.RESET_TOKEN_BYTES))
    prefix[0] = const.FIXED_BIT | (prefix[0] & (const.FIXED_BIT - 1))
    return bytes(prefix) + token(connection_id)
