"""The connections that one agent holds, found by connection ID."""

import asyncio
import functools
import typing
from collections import abc

from kumquatport.connection.quic import const, issuing, session


class ConnectionCallbacks(typing.NamedTuple):
    """Who is told about connections.

    Attributes:
        opened: Called when a connection is established.
        closed: Called when an established connection has ended.
    """

    opened: abc.Callable[[], None]
    closed: abc.Callable[[], None]


class ConnectionTable:
    """Every connection of one agent, half-open ones included."""

    def __init__(
        self, handle: session.Handle, watchers: ConnectionCallbacks
    ) -> None:
        """Start with none.

        Args:
            handle: Runs one whole request.
            watchers: Who is told about connections.
        """
        self._handle = handle
        self._callbacks = watchers
        self._by_id: dict[bytes, session.Session] = {}
        self._ids: dict[session.Session, set[bytes]] = {}
        self._half_open: set[session.Session] = set()
        self._is_leaving = False

    @property
    def sessions(self) -> tuple[session.Session, ...]:
        """All connections that are held now."""
        return tuple(self._ids)

    @property
    def half_open(self) -> int:
        """Number of connections whose handshake is not complete."""
        return len(self._half_open)

    def go_away(self) -> None:
        """Tell every caller, and each that comes yet, to go elsewhere."""
        self._is_leaving = True
        for one in self.sessions:
            one.go_away()

    def find(self, connection_id: bytes) -> session.Session | None:
        """Return the connection with this ID, if it is held here."""
        return self._by_id.get(connection_id)

    def add(
        self,
        quic: issuing.IssuingConnection,
        transport: asyncio.DatagramTransport,
        opening_id: bytes,
    ) -> session.Session:
        """Hold a new connection.

        Args:
            quic: The connection.
            transport: Sends packets to the caller.
            opening_id: Connection ID that the caller's first packet carried.

        Returns:
            The new session.
        """
        held = session.Session(quic, self._handle)
        held.set_callbacks(
            session.SessionCallbacks(
                issued=functools.partial(self._issued, held),
                retired=functools.partial(self._retired, held),
                established=functools.partial(self._opened, held),
                ended=functools.partial(self._ended, held),
            ),
        )
        held.connection_made(transport)
        self._ids[held] = set()
        self._half_open.add(held)
        self._issued(held, opening_id)
        self._issued(held, quic.host_cid)
        asyncio.get_running_loop().call_later(
            const.HANDSHAKE_TIMEOUT_S,
            self._drop_half_open,
            held,
        )
        return held

    def _opened(self, held: session.Session) -> None:
        self._half_open.discard(held)
        self._callbacks.opened()
        if self._is_leaving:
            # Its handshake was under way when the others were told.
            held.go_away()

    def _issued(self, held: session.Session, connection_id: bytes) -> None:
        if held not in self._ids:
            return
        self._by_id[connection_id] = held
        self._ids[held].add(connection_id)

    def _retired(self, held: session.Session, connection_id: bytes) -> None:
        self._by_id.pop(connection_id, None)
        self._ids.get(held, set()).discard(connection_id)

    def _ended(self, held: session.Session) -> None:
        connection_ids = self._ids.pop(held, None)
        if connection_ids is None:
            return
        for connection_id in connection_ids:
            self._by_id.pop(connection_id, None)
        self._half_open.discard(held)
        if held.established:
            self._callbacks.closed()

    def _drop_half_open(self, held: session.Session) -> None:
        if held.established or held not in self._ids:
            return
        held.close()
        self._ended(held)
