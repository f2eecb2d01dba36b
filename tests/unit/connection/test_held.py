"""Tests of the connections that an agent holds."""

import unittest
from unittest import mock

from kumquatport.connection.quic import connection_table


class HeldTest(unittest.TestCase):
    """Callers are told to go elsewhere whenever they come."""

    def setUp(self):
        self.watchers = connection_table.ConnectionCallbacks(
            mock.Mock(), mock.Mock()
        )
        self.held = connection_table.ConnectionTable(mock.Mock(), self.watchers)

    def hold(self):
        session = mock.Mock(established=False)
        self.held._ids[session] = set()
        self.held._half_open.add(session)
        return session

    def test_handshake_under_way_at_leaving_is_told_when_it_completes(self):
        session = self.hold()
        self.held.go_away()
        session.go_away.reset_mock()
        self.held._opened(session)
        session.go_away.assert_called_once_with()

    def test_nobody_is_told_before(self):
        session = self.hold()
        self.held._opened(session)
        session.go_away.assert_not_called()
        self.watchers.opened.assert_called_once_with()
