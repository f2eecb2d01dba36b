"""Tests of the connection table of an agent."""

import unittest
from unittest import mock

from kumquatport.connection.quic import connection_table


class GoAwayTest(unittest.TestCase):
    """GOAWAY reaches connections whether they complete before or after it."""

    def setUp(self):
        self.callbacks = connection_table.ConnectionCallbacks(
            mock.Mock(), mock.Mock()
        )
        self.table = connection_table.ConnectionTable(
            mock.Mock(), self.callbacks
        )

    def add_half_open(self):
        session = mock.Mock(established=False)
        self.table._ids[session] = set()
        self.table._half_open.add(session)
        return session

    def test_handshake_in_progress_gets_goaway_when_it_completes(self):
        session = self.add_half_open()
        self.table.go_away()
        session.go_away.reset_mock()
        self.table._opened(session)
        session.go_away.assert_called_once_with()

    def test_no_goaway_before_the_agent_leaves(self):
        session = self.add_half_open()
        self.table._opened(session)
        session.go_away.assert_not_called()
        self.callbacks.opened.assert_called_once_with()
