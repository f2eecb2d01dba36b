"""Connections of an agent by their connection IDs."""

import asyncio
import functools
import typing
from collections import abc

from kumquatport.connection.quic import const, issuing, session


class ConnectionCallbacks(typing.NamedTuple):
    """Callbacks for connection events.

    Attributes:
        opened: Called when a connection is established.
        closed: Called when an established connection has ended.
    """

    opened: abc.Callable[[], None]
    closed: abc.Callable[[], None]


class ConnectionTable:
    """All connections of one agent, half-open ones included."""

    def __init__(
        self, handle: session.Handle, callbacks: ConnectionCallbacks
    ) -> None:
        """Create an empty table.

        Args:
            handle: Handles one request to its end.
            callbacks: Callbacks for connection events.
        """
        self._handle = handle
        self._callbacks = callbacks
        self._by_id: dict[bytes, session.Session] = {}
        self._ids: dict[session.Session, set[bytes]] = {}
        self._half_open: set[session.Session] = set()
        self._is_leaving = False

    @property
    def sessions(self) -> tuple[session.Session, ...]:
        """Open and half-open connections."""
        return tuple(self._ids)

    @property
    def half_open(self) -> int:
        """Number of connections whose handshake is not complete."""
        return len(self._half_open)

    def go_away(self) -> None:
        """Send GOAWAY on all connections, also on those that complete later."""
        self._is_leaving = True
        for connection in self.sessions:
            connection.go_away()

    def find(self, connection_id: bytes) -> session.Session | None:
        """Return the connection with an ID, None if there is none."""
        return self._by_id.get(connection_id)

    def add(
        self,
        quic: issuing.IssuingConnection,
        transport: asyncio.DatagramTransport,
        opening_id: bytes,
    ) -> session.Session:
        """Add a new connection.

        It is closed if its handshake does not complete in time.

        Args:
            quic: The QUIC connection.
            transport: Sends packets to the caller.
            opening_id: Destination connection ID of the caller's first packet.

        Returns:
            The new session.
        """
        connection = session.Session(quic, self._handle)
        connection.set_callbacks(
            session.SessionCallbacks(
                issued=functools.partial(self._issued, connection),
                retired=functools.partial(self._retired, connection),
                established=functools.partial(self._opened, connection),
                ended=functools.partial(self._ended, connection),
            ),
        )
        connection.connection_made(transport)
        self._ids[connection] = set()
        self._half_open.add(connection)
        self._issued(connection, opening_id)
        self._issued(connection, quic.host_cid)
        asyncio.get_running_loop().call_later(
            const.HANDSHAKE_TIMEOUT_S,
            self._drop_half_open,
            connection,
        )
        return connection

    def _opened(self, connection: session.Session) -> None:
        self._half_open.discard(connection)
        self._callbacks.opened()
        if self._is_leaving:
            # Its handshake was in progress when GOAWAY was sent to the others.
            connection.go_away()

    def _issued(
        self, connection: session.Session, connection_id: bytes
    ) -> None:
        if connection not in self._ids:
            return
        self._by_id[connection_id] = connection
        self._ids[connection].add(connection_id)

    def _retired(
        self, connection: session.Session, connection_id: bytes
    ) -> None:
        self._by_id.pop(connection_id, None)
        self._ids.get(connection, set()).discard(connection_id)

    def _ended(self, connection: session.Session) -> None:
        connection_ids = self._ids.pop(connection, None)
        if connection_ids is None:
            return
        for connection_id in connection_ids:
            self._by_id.pop(connection_id, None)
        self._half_open.discard(connection)
        if connection.established:
            self._callbacks.closed()

    def _drop_half_open(self, connection: session.Session) -> None:
        if connection.established or connection not in self._ids:
            return
        connection.close()
        self._ended(connection)
