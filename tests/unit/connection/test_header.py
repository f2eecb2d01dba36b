"""Tests of the header of forwarded packets."""

import unittest

import hypothesis
from hypothesis import strategies

from kumquatport import exceptions
from kumquatport.connection.forward import const, header
from kumquatport.connection.quic import invariants

KEY = bytes(range(32))
CALLER = ('127.0.0.5', 40001)
READ = header.make_reader(KEY)


def build_forward(payload=b'packet', key=KEY):
    buffer = bytearray(const.PREFIX_BYTES) + payload
    header.make_writer(key)(buffer, 1, 77, CALLER)
    return bytes(buffer)


class HeaderTest(unittest.TestCase):
    """Only packets forwarded by an instance are accepted."""

    def test_round_trip(self):
        expected = header.Forward(1, 77, CALLER, b'packet')
        self.assertEqual(READ(build_forward()), expected)

    def test_every_changed_header_byte_is_rejected(self):
        datagram = build_forward()
        for position in range(const.PREFIX_BYTES):
            changed = bytearray(datagram)
            changed[position] ^= 1
            with self.assertRaises(exceptions.FrameError):
                READ(bytes(changed))

    def test_other_key_is_rejected(self):
        with self.assertRaises(exceptions.FrameError):
            READ(build_forward(key=bytes(32)))

    @hypothesis.given(strategies.binary(max_size=120))
    def test_arbitrary_bytes_raise_frame_error(self, datagram):
        with self.assertRaises(exceptions.FrameError):
            READ(datagram)

    @hypothesis.given(strategies.binary(max_size=64))
    def test_arbitrary_bytes_parse_to_a_destination_or_none(self, packet):
        found = invariants.destination(packet)
        self.assertLessEqual(len(found.connection_id), 20)
