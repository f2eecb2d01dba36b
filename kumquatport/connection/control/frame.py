"""Frames of version, kind, nonce, MAC and encoded message.

The MAC of a reply covers the MAC of its request, so that an old reply is never
accepted as the answer to a new request.
"""

import hashlib
import hmac
import os
import typing

import msgspec

from kumquatport import exceptions
from kumquatport.connection.control import const
from kumquatport.helpers import decoding, keys

Message = typing.Any

_ENCODER = msgspec.msgpack.Encoder()
_NONCE_END = const.HEADER_BYTES + const.NONCE_BYTES
_MAC_END = _NONCE_END + const.MAC_BYTES

_kinds: dict[type[typing.Any], int] = {}
_decoders: dict[int, msgspec.msgpack.Decoder[typing.Any]] = {}


def register(kind: int, message_type: type[typing.Any]) -> None:
    """Register the type of the messages of a kind.

    Args:
        kind: 1 to 255; ``docs/design/contracts.md`` lists the kinds in use.
        message_type: A ``NamedTuple`` of types that MessagePack can encode.

    Raises:
        ValueError: The kind is registered for another type.
    """
    known = _decoders.get(kind)
    if known is not None and known.type is not message_type:
        raise ValueError(f'kind {kind} is registered for another type')
    _kinds[message_type] = kind
    _decoders[kind] = msgspec.msgpack.Decoder(message_type)


def control_key(shared_key: bytes) -> bytes:
    """Derive the key of control messages from the shared key."""
    return keys.derive(shared_key, const.KEY_PURPOSE, const.KEY_BYTES)


def encode(message: Message, key: bytes, request_tag: bytes = b'') -> bytes:
    """Encode a message.

    Args:
        message: Message of a registered type.
        key: Key from ``control_key``.
        request_tag: ``tag`` of the request that a reply answers, else empty.

    Raises:
        FrameTooLongError: The frame exceeds the limit of peers.
    """
    header = bytes((const.PROTOCOL_VERSION, _kinds[type(message)]))
    prefix = header + os.urandom(const.NONCE_BYTES)
    payload = _ENCODER.encode(message)
    size = _MAC_END + len(payload)
    if size > const.MAX_FRAME_BYTES:
        raise exceptions.FrameTooLongError(f'{size} bytes')
    return prefix + _mac(key, request_tag, prefix, payload) + payload


def decode(encoded: bytes, key: bytes, request_tag: bytes = b'') -> Message:
    """Verify and decode a frame.

    Args:
        encoded: The received frame.
        key: Key from ``control_key``.
        request_tag: ``tag`` of the request that a reply answers, else empty.

    Raises:
        FrameError: The frame is invalid; the subclass identifies the cause.
    """
    if not _MAC_END < len(encoded) <= const.MAX_FRAME_BYTES:
        raise exceptions.FrameTooLongError(f'{len(encoded)} bytes')
    if encoded[0] != const.PROTOCOL_VERSION:
        raise exceptions.FrameVersionError(f'unsupported version {encoded[0]}')
    expected = _mac(key, request_tag, encoded[:_NONCE_END], encoded[_MAC_END:])
    if not hmac.compare_digest(expected, tag(encoded)):
        raise exceptions.FrameMacError('MAC does not match')
    decoder = _decoders.get(encoded[1])
    if decoder is None:
        raise exceptions.FrameKindError(f'unknown kind {encoded[1]}')
    try:
        return decoder.decode(encoded[_MAC_END:])
    except decoding.MALFORMED as error:
        raise exceptions.FramePayloadError(str(error)) from error


def tag(encoded: bytes) -> bytes:
    """Return the MAC of a frame, which the MAC of a reply to it covers."""
    return encoded[_NONCE_END:_MAC_END]


def _mac(
    key: bytes, request_tag: bytes, prefix: bytes, payload: bytes
) -> bytes:
    digest = hashlib.blake2s(key=key, digest_size=const.MAC_BYTES)
    digest.update(request_tag)
    digest.update(prefix)
    digest.update(payload)
    return digest.digest()
