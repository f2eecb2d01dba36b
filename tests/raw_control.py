"""Sends invalid data to a control port."""

import os
import socket
import struct

import pynng

from kumquatport.connection.control import const, frame, messages
from tests.builders import settings

SP_HEADER = b'\x00SP\x00\x00\x30\x00\x00'
OVERSIZED_LENGTH_BYTES = 1 << 40
TIMEOUT_S = 2.0


def send_random_bytes(address: str, count: int) -> None:
    """Open connections and send random bytes on each."""
    for _ in range(count):
        _send(address, os.urandom(500))


def send_oversized_length(address: str, count: int) -> None:
    """Announce a message of 1 TiB after a valid SP header."""
    for _ in range(count):
        _send(
            address,
            SP_HEADER + struct.pack('!Q', OVERSIZED_LENGTH_BYTES) + b'x' * 100,
        )


def request_with_wrong_mac(address: str) -> str:
    """Send a frame with a random MAC; return the error code of the reply."""
    head = bytes((const.PROTOCOL_VERSION, 1))
    encoded = head + os.urandom(const.NONCE_BYTES + const.MAC_BYTES) + b'\x90'
    key = frame.control_key(bytes.fromhex(settings.SHARED_KEY))
    timeout_ms = int(TIMEOUT_S * 1000)
    with pynng.Req0(
        send_timeout=timeout_ms, recv_timeout=timeout_ms
    ) as requester:
        requester.dial(f'tcp://{address}:{settings.CONTROL_PORT}', block=True)
        requester.send(encoded)
        reply = frame.decode(requester.recv(), key, frame.tag(encoded))
    if not isinstance(reply, messages.ErrorReply):
        return type(reply).__name__
    return reply.code


def _send(address: str, content: bytes) -> None:
    endpoint = address, settings.CONTROL_PORT
    with socket.create_connection(endpoint, TIMEOUT_S) as connection:
        connection.sendall(content)
