"""Tests of the list of bound UDP sockets, on real sockets."""

import pathlib
import socket
import unittest
from unittest import mock

from kumquatport.process.packets import udp_sockets

ADDRESS = '127.0.66.4'


class UdpSocketsTest(unittest.TestCase):
    """A closed socket shows that a process has ended, an unknown one nothing."""

    def setUp(self):
        self.own = self.bind(ADDRESS)
        self.other = self.bind(ADDRESS)

    def bind(self, address):
        """Return a UDP socket that is bound to an address."""
        bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(bound.close)
        bound.bind((address, 0))
        return bound

    def is_bound(self, endpoint):
        state = udp_sockets.read_state(endpoint, self.own.getsockname())
        return state and state.is_bound

    def test_bound_until_it_is_closed(self):
        endpoint = self.other.getsockname()
        self.assertIs(self.is_bound(endpoint), True)
        self.other.close()
        self.assertIs(self.is_bound(endpoint), False)

    def test_unread_until_its_process_reads(self):
        """A process that gets no processor reads nothing."""
        endpoint = self.other.getsockname()

        def has_unread():
            own = self.own.getsockname()
            return udp_sockets.read_state(endpoint, own).has_unread

        self.assertFalse(has_unread())
        self.own.sendto(b'x', endpoint)
        self.assertTrue(has_unread())
        self.other.recv(1)
        self.assertFalse(has_unread())

    def test_bound_to_all_addresses(self):
        bound = self.bind('0.0.0.0')
        endpoint = (ADDRESS, bound.getsockname()[1])
        self.assertIs(self.is_bound(endpoint), True)
        bound.close()
        self.assertIs(self.is_bound(endpoint), False)

    def test_sockets_of_the_other_protocol_version(self):
        """The kernel lists them apart; they receive over IPv4 too."""
        number = udp_sockets._listed_address(ADDRESS)
        own_port = self.own.getsockname()[1]
        for listed, expected in (
            ('0' * 32, True),
            (f'0000000000000000FFFF0000{number}', True),
            ('0' * 31 + '1', False),
            (f'{number}', True),
            ('00000001', False),
        ):
            with self.subTest(listed=listed):
                text = (
                    'sl local_address rem_address\n'
                    f' 1: {number}:{own_port:04X} 0:0 07 0:0 0\n'
                    f' 2: {listed}:0009 0:0 07 0:0 0\n'
                )
                with mock.patch.object(
                    pathlib.Path, 'read_text', return_value=text
                ):
                    self.assertIs(self.is_bound((ADDRESS, 9)), expected)

    def test_another_address_tells_nothing(self):
        """It may belong to another network namespace."""
        self.assertIsNone(self.is_bound(('127.0.66.5', 9)))
        self.assertIsNone(udp_sockets.read_state(('name', 9), ('name', 8)))

    def test_list_without_the_own_socket_tells_nothing(self):
        endpoint = self.other.getsockname()
        for text in ('', 'sl local_address\n 1: x\n'):
            with mock.patch.object(
                pathlib.Path, 'read_text', return_value=text
            ):
                self.assertIsNone(self.is_bound(endpoint))

    def test_system_without_lists_tells_nothing(self):
        endpoint = self.other.getsockname()
        with mock.patch.object(
            pathlib.Path, 'read_text', side_effect=FileNotFoundError
        ):
            self.assertIsNone(self.is_bound(endpoint))
