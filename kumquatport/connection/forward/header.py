"""Header of packets that are forwarded between instances."""

import hashlib
import hmac
import socket
import struct
import typing
from collections import abc

from kumquatport import exceptions
from kumquatport.connection.forward import const
from kumquatport.helpers import keys

_LAYOUT = struct.Struct('!BBI16sH')
_MAPPED = bytes(10) + b'\xff\xff'

Endpoint = tuple[str, int]


class Forward(typing.NamedTuple):
    """A caller's packet that another instance has forwarded.

    Attributes:
        hops: Instances that have forwarded the packet, the balancer included.
        service_tag: Tag of the service whose address the caller used.
        caller: IPv4 address and UDP port of the caller.
        payload: The caller's packet, unchanged.
    """

    hops: int
    service_tag: int
    caller: Endpoint
    payload: bytes


HeaderWriter = abc.Callable[[bytearray, int, int, Endpoint], None]
ForwardReader = abc.Callable[[bytes], Forward]


def make_writer(shared_key: bytes) -> HeaderWriter:
    """Return a function that writes a header to the start of a buffer.

    Args:
        shared_key: The key that all instances share, 32 bytes.

    Returns:
        A function of buffer, hops, service tag and caller. It overwrites the
        first ``PREFIX_BYTES`` of the buffer.
    """
    keyed = _keyed(shared_key)
    pack_into = _LAYOUT.pack_into
    aton = socket.inet_aton

    def write(
        buffer: bytearray,
        hops: int,
        service_tag: int,
        caller: Endpoint,
    ) -> None:
        mapped = _MAPPED + aton(caller[0])
        version = const.FORWARD_VERSION
        pack_into(buffer, 0, version, hops, service_tag, mapped, caller[1])
        mac = keyed.copy()
        mac.update(buffer[: const.HEADER_BYTES])
        buffer[const.HEADER_BYTES : const.PREFIX_BYTES] = mac.digest()

    return write


def make_reader(shared_key: bytes) -> ForwardReader:
    """Return a function that authenticates and decodes forwarded packets.

    Args:
        shared_key: The key that all instances share, 32 bytes.

    Returns:
        A function from a datagram to a ``Forward``. It raises ``FrameError``
        for a datagram that is too short, of another version or not authentic.
    """
    keyed = _keyed(shared_key)

    def read(datagram: bytes) -> Forward:
        if len(datagram) <= const.PREFIX_BYTES:
            raise exceptions.FrameError('short')
        if datagram[0] != const.FORWARD_VERSION:
            raise exceptions.FrameError('version')
        mac = keyed.copy()
        mac.update(datagram[: const.HEADER_BYTES])
        sent = datagram[const.HEADER_BYTES : const.PREFIX_BYTES]
        if not hmac.compare_digest(mac.digest(), sent):
            raise exceptions.FrameError('mac')
        _, hops, tag, mapped, port = _LAYOUT.unpack_from(datagram)
        caller = (socket.inet_ntoa(mapped[-4:]), port)
        return Forward(hops, tag, caller, datagram[const.PREFIX_BYTES :])

    return read


def build_next_hop(write: HeaderWriter, forward: Forward) -> bytearray:
    """Build the datagram that forwards a packet to the next hop.

    Args:
        write: Writes headers; see ``make_writer``.
        forward: The packet as received.
    """
    buffer = bytearray(const.PREFIX_BYTES) + forward.payload
    write(buffer, forward.hops + 1, forward.service_tag, forward.caller)
    return buffer


def _keyed(shared_key: bytes) -> 'hashlib.blake2s':
    key = keys.derive(shared_key, const.PURPOSE_FORWARD, keys.SHARED_KEY_BYTES)
    return hashlib.blake2s(key=key, digest_size=const.MAC_BYTES)
