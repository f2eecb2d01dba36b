"""Builders of valid and invalid datagrams."""

import random
from collections import abc

from aioquic.h3 import connection as h3_connection
from aioquic.quic import configuration
from aioquic.quic import connection as quic_connection

from kumquatport.connection.forward import const, header
from tests.builders import settings

CLIENT_ENDPOINT = ('127.0.0.1', 9)
MAX_DATAGRAM_BYTES = 60000
MAX_CHANGED_BYTES = 12


def opening() -> bytes:
    """Build the first packet of a new connection, as a caller sends it."""
    quic = quic_connection.QuicConnection(
        configuration=configuration.QuicConfiguration(
            is_client=True,
            alpn_protocols=h3_connection.H3_ALPN,
            server_name='storefront',
        )
    )
    quic.connect(CLIENT_ENDPOINT, now=0.0)
    return quic.datagrams_to_send(now=0.0)[0][0]


def truncated(count: int, seed: int) -> abc.Iterator[bytes]:
    """Yield truncated openings of at least one byte."""
    generator = random.Random(seed)
    packet = opening()
    for _ in range(count):
        yield packet[: generator.randrange(1, len(packet))]


def oversized(count: int, seed: int) -> abc.Iterator[bytes]:
    """Yield openings padded beyond the maximum size of a datagram."""
    generator = random.Random(seed)
    packet = opening()
    for _ in range(count):
        padding_bytes = generator.randrange(
            const.MAX_DATAGRAM_BYTES, MAX_DATAGRAM_BYTES
        )
        yield packet + bytes(padding_bytes)


def random_bytes(count: int, seed: int) -> abc.Iterator[bytes]:
    """Yield random bytes of random lengths, at least one."""
    generator = random.Random(seed)
    for _ in range(count):
        yield generator.randbytes(generator.randrange(1, 1600))


def corrupted(
    packet: bytes, count: int, seed: int, intact_bytes: int = 0
) -> abc.Iterator[bytes]:
    """Yield copies of a packet with a few random bytes changed.

    Args:
        packet: The packet to copy.
        count: Number of copies.
        seed: Seed of the random changes.
        intact_bytes: Length of the prefix that is not changed.
    """
    generator = random.Random(seed)
    for _ in range(count):
        copy = bytearray(packet)
        for _ in range(generator.randrange(1, MAX_CHANGED_BYTES)):
            copy[generator.randrange(intact_bytes, len(copy))] = (
                generator.randrange(256)
            )
        yield bytes(copy)


def forward(
    payload: bytes, service_tag: int, shared_key: str = settings.SHARED_KEY
) -> bytes:
    """Build a forwarded datagram as a balancer sends it, under any key."""
    buffer = bytearray(const.PREFIX_BYTES)
    write = header.make_writer(bytes.fromhex(shared_key))
    write(buffer, 1, service_tag, CLIENT_ENDPOINT)
    return bytes(buffer) + payload
