"""QUIC connections whose connection IDs identify their agent.

aioquic generates random connection IDs and has no public interface to choose
them, so this module uses its private attributes.
"""

import typing
from collections import abc

from aioquic.quic import connection as quic_connection

from kumquatport.connection.connection_id import codec

_MAX_HOST_IDS = 8


class ConnectionIdIssuer(typing.NamedTuple):
    """Issues the connection IDs of an agent.

    Attributes:
        issue: Returns a new connection ID.
        reset_token: Derives the stateless reset token of a connection ID.
    """

    issue: abc.Callable[[], bytes]
    reset_token: codec.ResetToken


class IssuingConnection(quic_connection.QuicConnection):
    """A server connection whose connection IDs are issued by its agent."""

    def __init__(
        self,
        id_issuer: ConnectionIdIssuer,
        **options: typing.Any,
    ) -> None:
        """Create a connection and replace its random connection ID.

        Args:
            id_issuer: Issues the connection IDs.
            options: Options of ``quic_connection.QuicConnection``.
        """
        super().__init__(**options)
        self._id_issuer = id_issuer
        first = self._host_cids[0]
        first.cid = id_issuer.issue()
        first.stateless_reset_token = id_issuer.reset_token(first.cid)
        self.host_cid = first.cid
        self._local_initial_source_connection_id = first.cid

    def buffered_bytes(self, stream_id: int) -> int:
        """Return the bytes of a stream that the peer has not acknowledged."""
        stream = self._streams.get(stream_id)
        if stream is None:
            return 0
        return len(stream.sender._buffer)

    def _replenish_connection_ids(self) -> None:
        limit = min(_MAX_HOST_IDS, self._remote_active_connection_id_limit)
        while len(self._host_cids) < limit:
            connection_id = self._id_issuer.issue()
            self._host_cids.append(
                quic_connection.QuicConnectionId(
                    cid=connection_id,
                    sequence_number=self._host_cid_seq,
                    stateless_reset_token=self._id_issuer.reset_token(
                        connection_id,
                    ),
                ),
            )
            self._host_cid_seq += 1
