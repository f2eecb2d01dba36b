"""QUIC connections whose connection IDs name their agent.

aioquic draws connection IDs at random and has no public way to choose them, so
this module alone reaches into its private parts.
"""

import typing
from collections import abc

from aioquic.quic import connection as quic_connection

from kumquatport.connection.connection_id import codec

_MAX_HOST_IDS = 8


class ConnectionIdIssuer(typing.NamedTuple):
    """How an agent names its connections.

    Attributes:
        issue: Returns a new connection ID.
        reset_token: Derives the stateless reset token of a connection ID.
    """

    issue: abc.Callable[[], bytes]
    reset_token: codec.ResetToken


class IssuingConnection(quic_connection.QuicConnection):
    """A server connection with connection IDs of the agent's own issue."""

    def __init__(
        self,
        identifiers: ConnectionIdIssuer,
        **options: typing.Any,
    ) -> None:
        """Open a connection under a connection ID that names the agent.

        Args:
            identifiers: How the agent names its connections.
            options: Those of aioquic's connection.
        """
        super().__init__(**options)
        self._identifiers = identifiers
        first = self._host_cids[0]
        first.cid = identifiers.issue()
        first.stateless_reset_token = identifiers.reset_token(first.cid)
        self.host_cid = first.cid
        self._local_initial_source_connection_id = first.cid

    def buffered_bytes(self, stream_id: int) -> int:
        """Return how many bytes of a stream the peer has not acknowledged."""
        stream = self._streams.get(stream_id)
        if stream is None:
            return 0
        return len(stream.sender._buffer)

    def _replenish_connection_ids(self) -> None:
        limit = min(_MAX_HOST_IDS, self._remote_active_connection_id_limit)
        while len(self._host_cids) < limit:
            connection_id = self._identifiers.issue()
            self._host_cids.append(
                quic_connection.QuicConnectionId(
                    cid=connection_id,
                    sequence_number=self._host_cid_seq,
                    stateless_reset_token=self._identifiers.reset_token(
                        connection_id,
                    ),
                ),
            )
            self._host_cid_seq += 1
