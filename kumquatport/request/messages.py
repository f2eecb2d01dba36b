"""Types that the connection side and the request side exchange."""

import typing
from collections import abc

from kumquatport.connection.quic import stream

Headers: typing.TypeAlias = stream.Headers
RequestHead: typing.TypeAlias = stream.RequestHead
Exchange: typing.TypeAlias = stream.Exchange


class Readiness(typing.NamedTuple):
    """Whether a new flow may open here, and the share of work wanted.

    Attributes:
        accepts_flows: Whether an opening packet is kept, not passed on.
        weight: 0 to 1, share of full work to announce.
        state: One of ``starting``, ``ready`` and ``leaving``.
        reason: For logs and status.
    """

    accepts_flows: bool
    weight: float
    state: str
    reason: str


class Metrics(typing.NamedTuple):
    """Where counts, gauges and durations go.

    Attributes:
        increment: Takes a metric's name and by how much.
        gauge: Takes a metric's name and its value.
        timing: Takes client account, class and a duration in seconds.
    """

    increment: abc.Callable[[str, int], None]
    gauge: abc.Callable[[str, float], None]
    timing: abc.Callable[[str, str, float], None]


class BackendServer(typing.Protocol):
    """Where the backend server beside this agent listens."""

    @property
    def address(self) -> str:
        """IP number."""

    @property
    def port(self) -> int:
        """TCP port."""
