"""Tests of an agent's listener, also against malformed packets."""

import asyncio
import secrets
import unittest
from unittest import mock

from aioquic.quic import configuration

from kumquatport.connection.connection_id import codec
from kumquatport.connection.forward import const, header
from kumquatport.connection.quic import connection_table, listener
from kumquatport.connection.quic import const as quic_const
from tests.builders import certificates

KEY = bytes(range(32))
CALLER = ('127.0.0.1', 9)
ENDPOINT = listener.AgentEndpoint('127.0.0.1', 0, 11, 22)


KEY_PAIR = certificates.self_signed()


def opening_packet():
    """Return an Initial packet with a random payload that no key decrypts."""
    head = b'\xc0\x00\x00\x00\x01\x08' + secrets.token_bytes(8)
    # Empty source connection ID, empty token, length of the remainder.
    return head + b'\x00\x00\x44\xc0' + secrets.token_bytes(0x4C0)


async def handle(_head, _exchange):
    """Handle a request without answering it."""


class ListenerTest(unittest.IsolatedAsyncioTestCase):
    """Invalid and refused packets neither raise nor leave state behind."""

    async def asyncSetUp(self):
        self.counts = {}
        self.may_open = True
        self.listener = listener.Listener(
            ENDPOINT,
            KEY,
            configuration.QuicConfiguration(
                is_client=False,
                certificate=KEY_PAIR.certificate,
                private_key=KEY_PAIR.private_key,
            ),
            listener.Hooks(
                may_open=lambda: self.may_open,
                pass_on=lambda forward: False,
                handle=handle,
                count_event=self.count_event,
                callbacks=connection_table.ConnectionCallbacks(
                    lambda: None, lambda: None
                ),
            ),
        )
        self.answers = []
        self.listener.sendto = lambda packet, _caller: self.answers.append(
            packet,
        )

    def count_event(self, name):
        self.counts[name] = self.counts.get(name, 0) + 1

    def receive(self, payload, tag=11):
        buffer = bytearray(const.PREFIX_BYTES) + payload
        header.make_writer(KEY)(buffer, 1, tag, CALLER)
        self.listener._process(bytes(buffer))

    async def test_random_packets_leave_no_state(self):
        for size in (1, 5, 18, 60, 1200, 1400):
            for _ in range(50):
                self.receive(secrets.token_bytes(size))
        self.assertEqual(len(self.listener.sessions), 0)
        self.assertTrue(self.counts)

    async def test_packet_for_another_service_is_refused(self):
        self.receive(bytes(1200), tag=12)
        self.assertEqual(self.counts, {'forward_refused.service': 1})

    async def test_lost_flow_is_reset_and_misdelivered_one_is_not(self):
        own = codec.make_issuer(KEY, (ENDPOINT.address, 0), 11, 22)()
        self.receive(b'\x40' + own + bytes(40))
        self.assertEqual(self.counts.pop('flow_lost'), 1)
        token = codec.make_reset_token(KEY)(own)
        self.assertEqual(self.answers.pop()[-16:], token)
        other = codec.make_issuer(KEY, ('127.0.0.2', 0), 11, 22)()
        self.receive(b'\x40' + other + bytes(40))
        self.assertEqual(self.counts, {'forwards': 2, 'misdelivered': 1})
        self.assertEqual(self.answers, [])

    async def test_half_open_connections_are_bounded_and_time_out(self):
        with mock.patch.object(quic_const, 'HANDSHAKE_TIMEOUT_S', 0.05):
            for _ in range(100):
                self.receive(opening_packet())
            sessions_before = len(self.listener.sessions)
            await asyncio.sleep(0.2)
        # The rest were sent a Retry to validate their address, without state.
        self.assertEqual(sessions_before, 64)
        self.assertEqual(self.counts['address_validation'], 36)
        self.assertEqual(len(self.listener.sessions), 0)

    async def test_full_agent_refuses_immediately(self):
        self.may_open = False
        self.receive(opening_packet())
        self.assertEqual(
            self.counts, {'forwards': 1, 'opening_refused.full': 1}
        )
        self.assertEqual(len(self.answers), 1)
        self.assertEqual(len(self.listener.sessions), 0)


class ListenAddressTest(unittest.IsolatedAsyncioTestCase):
    """The listen address may differ from the advertised address."""

    async def test_listen_address_is_bound(self):
        hooks = listener.Hooks(
            may_open=lambda: True,
            pass_on=lambda forward: False,
            handle=handle,
            count_event=lambda name: None,
            callbacks=connection_table.ConnectionCallbacks(
                lambda: None, lambda: None
            ),
        )
        endpoint = ENDPOINT._replace(listen_address='127.0.0.3')
        created = listener.Listener(
            endpoint,
            KEY,
            configuration.QuicConfiguration(is_client=False),
            hooks,
        )
        stop = created.async_setup()
        bound = created._socket.getsockname()
        stop()
        self.assertEqual(bound[0], '127.0.0.3')
