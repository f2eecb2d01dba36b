"""Frames that are malformed, forged or old are refused by type."""

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

    def test_other_key(self):
        encoded = frame.encode(REPLY, frame.control_key(b'x' * 32))
        with self.assertRaises(exceptions.FrameMacError):
            frame.decode(encoded, KEY)

    def test_reply_to_another_request(self):
        first = frame.encode(REPLY, KEY)
        second = frame.encode(REPLY, KEY)
        reply = frame.encode(REPLY, KEY, frame.tag(first))
        self.assertEqual(frame.decode(reply, KEY, frame.tag(first)), REPLY)
        with self.assertRaises(exceptions.FrameMacError):
            frame.decode(reply, KEY, frame.tag(second))

    def test_other_version(self):
        encoded = b'\x09' + frame.encode(REPLY, KEY)[1:]
        with self.assertRaises(exceptions.FrameVersionError):
            frame.decode(encoded, KEY)

    def test_too_long_is_not_sent(self):
        message = messages.ErrorReply('', 'x' * const.MAX_FRAME_BYTES)
        with self.assertRaises(exceptions.FrameTooLongError):
            frame.encode(message, KEY)

    def test_kind_is_bound_once(self):
        with self.assertRaises(ValueError):
            frame.register(const.KIND_ERROR_REPLY, _Unregistered)

    @hypothesis.given(strategies.binary(max_size=200))
    def test_any_bytes_are_refused_as_frame_errors(self, encoded):
        with self.assertRaises(exceptions.FrameError):
            frame.decode(encoded, KEY)

    @hypothesis.given(strategies.data())
    def test_any_changed_bit_is_refused(self, data):
        encoded = bytearray(frame.encode(REPLY, KEY))
        place = data.draw(strategies.integers(0, len(encoded) - 1))
        encoded[place] ^= data.draw(strategies.integers(1, 255))
        with self.assertRaises(exceptions.FrameError):
            frame.decode(bytes(encoded), KEY)
