"""Encryption of connection IDs with the shared key."""

import hashlib
import itertools
import secrets
import socket
import struct
import typing
from collections import abc

from cryptography.hazmat.primitives import ciphers
from cryptography.hazmat.primitives.ciphers import algorithms, modes

from kumquatport import exceptions
from kumquatport.connection.connection_id import const
from kumquatport.helpers import keys

_LAYOUT = struct.Struct('!4sHIHI')


class Holder(typing.NamedTuple):
    """Agent that holds a connection, as encoded in the connection ID.

    Attributes:
        packed_address: IPv4 address of the agent, 4 bytes.
        port: UDP port of the agent for forwarded packets.
        service_tag: Tag of the service that the connection was opened for.
        domain_tag: Tag of the agent's failure domain.
        counter: Number that makes the connection IDs of one agent unique.
    """

    packed_address: bytes
    port: int
    service_tag: int
    domain_tag: int
    counter: int


# Service tags are never negative, so this matches no service.
NO_HOLDER = Holder(b'', 0, -1, -1, 0)

Decode = abc.Callable[[bytes], Holder]
ResetToken = abc.Callable[[bytes], bytes]


def make_decoder(shared_key: bytes) -> Decode:
    """Return a function that decodes connection IDs.

    The tags in its result must be checked: a connection ID that was not issued
    with the shared key decodes to random numbers instead of raising an error.

    Args:
        shared_key: The key that all instances share, 32 bytes.

    Returns:
        A function from a connection ID to its holder. It raises
        ``ConnectionIdError`` for a wrong length or an unknown key generation.
    """
    decryptor = _cipher(shared_key).decryptor()
    unpack = _LAYOUT.unpack

    def decode(connection_id: bytes) -> Holder:
        if len(connection_id) != const.CONNECTION_ID_BYTES:
            raise exceptions.ConnectionIdError(
                'connection ID has the wrong length'
            )
        if connection_id[0] != const.KEY_GENERATION:
            raise exceptions.ConnectionIdError(
                'connection ID has an unknown key generation'
            )
        return Holder(*unpack(decryptor.update(connection_id[1:])))

    return decode


def make_issuer(
    shared_key: bytes,
    endpoint: tuple[str, int],
    service_tag: int,
    domain_tag: int,
) -> abc.Callable[[], bytes]:
    """Return a function that issues the connection IDs of one agent.

    Args:
        shared_key: The key that all instances share, 32 bytes.
        endpoint: IPv4 address and UDP port of the agent.
        service_tag: Tag of the agent's service.
        domain_tag: Tag of the agent's failure domain.

    Returns:
        A function that returns a new connection ID on each call.
    """
    encryptor = _cipher(shared_key).encryptor()
    address = socket.inet_aton(endpoint[0])
    # The random start avoids IDs that an earlier process at this address
    # issued.
    counters = itertools.count(secrets.randbelow(const.COUNTER_LIMIT))
    prefix = bytes((const.KEY_GENERATION,))

    def issue() -> bytes:
        counter = next(counters) % const.COUNTER_LIMIT
        block = _LAYOUT.pack(
            address,
            endpoint[1],
            service_tag,
            domain_tag,
            counter,
        )
        return prefix + encryptor.update(block)

    return issue


def make_reset_token(shared_key: bytes) -> ResetToken:
    """Return a function that derives the stateless reset token of an ID.

    Any instance can derive the token, so one without the connection's state
    can still inform the caller that the connection is lost (RFC 9000, section
    10.3).
    """
    key = keys.derive(shared_key, const.PURPOSE_RESET, keys.SHARED_KEY_BYTES)

    def token(connection_id: bytes) -> bytes:
        digest = hashlib.blake2s(
            connection_id,
            key=key,
            digest_size=const.RESET_TOKEN_BYTES,
        )
        return digest.digest()

    return token


def _cipher(shared_key: bytes) -> ciphers.Cipher:
    key = keys.derive(shared_key, const.PURPOSE_BLOCK, const.BLOCK_BYTES)
    # Each ID is a single block that its counter makes unique. ECB of one block
    # is a plain pseudorandom permutation.
    return ciphers.Cipher(algorithms.AES(key), modes.ECB())
