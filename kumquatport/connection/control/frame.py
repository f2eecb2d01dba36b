"""Frames: version, kind, nonce, MAC and the encoded message.

The MAC of a reply covers the MAC of its request, so that an old reply never
passes for the answer to a new request.
"""

import hashlib
import hmac
import os
import typing

import msgspec

from kumquatport import exceptions
from kumquatport.connection.control import const
from kumquatport.helpers import keys

Message = typing.Any

_ENCODER = msgspec.msgpack.Encoder()
_NONCE_END = const.HEADER_BYTES + const.NONCE_BYTES
_MAC_END = _NONCE_END + const.MAC_BYTES

_kinds: dict[type[typing.Any], int] = {}
_decoders: dict[int, msgspec.msgpack.Decoder[typing.Any]] = {}


def register(kind: int, message_type: type[typing.Any]) -> None:
    """Bind a kind to the type of its messages.

    Args:
        kind: 1 to 255; see ``docs/design/contracts.md`` for who has which.
        message_type: A ``NamedTuple`` of types that MessagePack can carry.

    Raises:
        ValueError: The kind is bound to another type.
    """
    known = _decoders.get(kind)
    if known is not None and known.type is not message_type:
        raise ValueError(f'kind {kind} is taken')
    _kinds[message_type] = kind
    _decoders[kind] = msgspec.msgpack.Decoder(message_type)


def control_key(shared_key: bytes) -> bytes:
    """Derive the key of the control messages from the shared key."""
    return keys.derive(shared_key, const.KEY_PURPOSE, const.KEY_BYTES)


def encode(message: Message, key: bytes, request_tag: bytes = b'') -> bytes:
    """Encode a message.

    Args:
        message: Of a registered type.
        key: From ``control_key``.
        request_tag: For a reply the ``tag`` of its request.

    Raises:
        FrameTooLongError: The peer would drop it.
    """
    head = bytes((const.PROTOCOL_VERSION, _kinds[type(message)]))
    opening = head + os.urandom(const.NONCE_BYTES)
    payload = _ENCODER.encode(message)
    size = _MAC_END + len(payload)
    if size > const.MAX_FRAME_BYTES:
        raise exceptions.FrameTooLongError(f'{size} bytes')
    return opening + _mac(key, request_tag, opening, payload) + payload


def decode(encoded: bytes, key: bytes, request_tag: bytes = b'') -> Message:
    """Decode a frame whose MAC fits.

    Args:
        encoded: As received.
        key: From ``control_key``.
        request_tag: For a reply the ``tag`` of its request.

    Raises:
        FrameError: One of its subclasses, by what is wrong.
    """
    if not _MAC_END < len(encoded) <= const.MAX_FRAME_BYTES:
        raise exceptions.FrameTooLongError(f'{len(encoded)} bytes')
    if encoded[0] != const.PROTOCOL_VERSION:
        raise exceptions.FrameVersionError(f'version {encoded[0]}')
    expected = _mac(key, request_tag, encoded[:_NONCE_END], encoded[_MAC_END:])
    if not hmac.compare_digest(expected, tag(encoded)):
        raise exceptions.FrameMacError('MAC does not fit')
    decoder = _decoders.get(encoded[1])
    if decoder is None:
        raise exceptions.FrameKindError(f'kind {encoded[1]}')
    try:
        return decoder.decode(encoded[_MAC_END:])
    except msgspec.MsgspecError as error:
        raise exceptions.FramePayloadError(str(error)) from error


def tag(encoded: bytes) -> bytes:
    """Return what a reply to this frame is bound to."""
    return encoded[_NONCE_END:_MAC_END]


def _mac(key: bytes, bound_to: bytes, opening: bytes, payload: bytes) -> bytes:
    digest = hashlib.blake2s(key=key, digest_size=const.MAC_BYTES)
    digest.update(bound_to)
    digest.update(opening)
    digest.update(payload)
    return digest.digest()
