"""Tests of connection IDs."""

import unittest

from kumquatport import exceptions
from kumquatport.connection.connection_id import codec, const

KEY = bytes(range(32))
OTHER_KEY = bytes(32)
ENDPOINT = ('127.2.0.9', 7100)


class ConnectionIdTest(unittest.TestCase):
    """Connection IDs identify their agent to instances with the shared key."""

    def setUp(self):
        self.issue = codec.make_issuer(KEY, ENDPOINT, 11, 22)
        self.decode = codec.make_decoder(KEY)

    def test_issued_id_decodes_to_its_agent(self):
        holder = self.decode(self.issue())
        self.assertEqual(holder.packed_address, bytes((127, 2, 0, 9)))
        self.assertEqual(
            (holder.port, holder.service_tag, holder.domain_tag),
            (7100, 11, 22),
        )

    def test_issued_ids_are_unique(self):
        self.assertEqual(len({self.issue() for _ in range(5000)}), 5000)

    def test_other_key_decodes_to_other_tags(self):
        holder = codec.make_decoder(OTHER_KEY)(self.issue())
        self.assertNotEqual((holder.service_tag, holder.domain_tag), (11, 22))

    def test_wrong_length_and_key_generation_are_rejected(self):
        valid = self.issue()
        for invalid in (b'', valid[:-1], valid + b'x', b'\x07' + valid[1:]):
            with self.assertRaises(exceptions.ConnectionIdError):
                self.decode(invalid)

    def test_reset_token_depends_only_on_key_and_id(self):
        connection_id = self.issue()
        token = codec.make_reset_token(KEY)(connection_id)
        self.assertEqual(len(token), const.RESET_TOKEN_BYTES)
        self.assertEqual(token, codec.make_reset_token(KEY)(connection_id))
        other = codec.make_reset_token(OTHER_KEY)(connection_id)
        self.assertNotEqual(token, other)
