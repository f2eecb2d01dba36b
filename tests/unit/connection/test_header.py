"""Tests of the header of forwards."""

import unittest

import hypothesis
from hypothesis import strategies

from kumquatport import exceptions
from kumquatport.connection.forward import const, header
from kumquatport.connection.quic import invariants

KEY = bytes(range(32))
CALLER = ('127.0.0.5', 40001)
READ = header.make_reader(KEY)


def written(payload=b'packet', key=KEY):
    buffer = bytearray(const.PREFIX_BYTES) + payload
    header.make_writer(key)(buffer, 1, 77, CALLER)
    return bytes(buffer)


class HeaderTest(unittest.TestCase):
    """Only what an instance wrote is read."""

    def test_forward_is_read_back(self):
        expected = header.Forward(1, 77, CALLER, b'packet')
        self.assertEqual(READ(written()), expected)

    def test_every_changed_header_byte_is_refused(self):
        datagram = written()
        for position in range(const.PREFIX_BYTES):
            changed = bytearray(datagram)
            changed[position] ^= 1
            with self.assertRaises(exceptions.FrameError):
                READ(bytes(changed))

    def test_other_key_is_refused(self):
        with self.assertRaises(exceptions.FrameError):
            READ(written(key=bytes(32)))

    @hypothesis.given(strategies.binary(max_size=120))
    def test_any_bytes_are_refused_with_a_type(self, datagram):
        with self.assertRaises(exceptions.FrameError):
            READ(datagram)

    @hypothesis.given(strategies.binary(max_size=64))
    def test_any_packet_has_a_destination_or_none(self, packet):
        found = invariants.destination(packet)
        self.assertLessEqual(len(found.connection_id), 20)
