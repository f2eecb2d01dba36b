"""Frames that are malformed, forged or replayed raise typed errors."""

import typing
import unittest

import hypothesis
from hypothesis import strategies

from kumquatport import exceptions
from kumquatport.connection.control import const, frame, messages

KEY = frame.control_key(b'k' * 32)
REPLY = messages.ErrorReply('KQ-1', 'some reason')


class _Unregistered(typing.NamedTuple):
    value: int


class FrameTest(unittest.TestCase):
    """Encoding and decoding."""

    def test_round_trip(self):
        self.assertEqual(frame.decode(frame.encode(REPLY, KEY), KEY), REPLY)

    def test_other_key_is_rejected(self):
        encoded = frame.encode(REPLY, frame.control_key(b'x' * 32))
        with self.assertRaises(exceptions.FrameMacError):
            frame.decode(encoded, KEY)

    def test_reply_to_another_request_is_rejected(self):
        first = frame.encode(REPLY, KEY)
        second = frame.encode(REPLY, KEY)
        reply = frame.encode(REPLY, KEY, frame.tag(first))
        self.assertEqual(frame.decode(reply, KEY, frame.tag(first)), REPLY)
        with self.assertRaises(exceptions.FrameMacError):
            frame.decode(reply, KEY, frame.tag(second))

    def test_other_version_is_rejected(self):
        encoded = b'\x09' + frame.encode(REPLY, KEY)[1:]
        with self.assertRaises(exceptions.FrameVersionError):
            frame.decode(encoded, KEY)

    def test_too_long_message_is_not_encoded(self):
        message = messages.ErrorReply('', 'x' * const.MAX_FRAME_BYTES)
        with self.assertRaises(exceptions.FrameTooLongError):
            frame.encode(message, KEY)

    def test_kind_is_registered_for_one_type(self):
        with self.assertRaises(ValueError):
            frame.register(const.KIND_ERROR_REPLY, _Unregistered)

    @hypothesis.given(strategies.binary(max_size=200))
    def test_arbitrary_bytes_raise_frame_error(self, encoded):
        with self.assertRaises(exceptions.FrameError):
            frame.decode(encoded, KEY)

    @hypothesis.given(strategies.data())
    def test_any_changed_byte_is_rejected(self, data):
        encoded = bytearray(frame.encode(REPLY, KEY))
        position = data.draw(strategies.integers(0, len(encoded) - 1))
        encoded[position] ^= data.draw(strategies.integers(1, 255))
        with self.assertRaises(exceptions.FrameError):
            frame.decode(bytes(encoded), KEY)
