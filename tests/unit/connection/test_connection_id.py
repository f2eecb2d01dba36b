"""Tests of connection IDs."""

import unittest

from kumquatport import exceptions
from kumquatport.connection.connection_id import codec, const

KEY = bytes(range(32))
OTHER_KEY = bytes(32)
ENDPOINT = ('127.2.0.9', 7100)


class ConnectionIdTest(unittest.TestCase):
    """A connection ID names its agent to whoever has the key."""

    def setUp(self):
        self.issue = codec.make_issuer(KEY, ENDPOINT, 11, 22)
        self.decode = codec.make_decoder(KEY)

    def test_holder_is_read_back(self):
        holder = self.decode(self.issue())
        self.assertEqual(holder.packed_address, bytes((127, 2, 0, 9)))
        self.assertEqual(
            (holder.port, holder.service_tag, holder.domain_tag),
            (7100, 11, 22),
        )

    def test_issued_ids_differ(self):
        self.assertEqual(len({self.issue() for _ in range(5000)}), 5000)

    def test_another_key_reads_other_tags(self):
        holder = codec.make_decoder(OTHER_KEY)(self.issue())
        self.assertNotEqual((holder.service_tag, holder.domain_tag), (11, 22))

    def test_wrong_length_and_generation_are_refused(self):
        good = self.issue()
        for bad in (b'', good[:-1], good + b'x', b'\x07' + good[1:]):
            with self.assertRaises(exceptions.ConnectionIdError):
                self.decode(bad)

    def test_reset_token_is_the_same_everywhere(self):
        connection_id = self.issue()
        token = codec.make_reset_token(KEY)(connection_id)
        self.assertEqual(len(token), const.RESET_TOKEN_BYTES)
        self.assertEqual(token, codec.make_reset_token(KEY)(connection_id))
        other = codec.make_reset_token(OTHER_KEY)(connection_id)
        self.assertNotEqual(token, other)
