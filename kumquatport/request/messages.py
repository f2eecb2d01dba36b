"""Types shared by the connection and the request packages."""

import typing
from collections import abc

from kumquatport.connection.quic import stream

Headers: typing.TypeAlias = stream.Headers
RequestHead: typing.TypeAlias = stream.RequestHead
Exchange: typing.TypeAlias = stream.Exchange


class Readiness(typing.NamedTuple):
    """Whether the agent accepts new flows, and its weight.

    Attributes:
        accepts_flows: Whether an opening packet is accepted here; otherwise
            it is passed on to another agent.
        weight: Weight to announce, 0 to 1.
        state: One of ``starting``, ``ready`` and ``leaving``.
        reason: Explanation for logs and status.
    """

    accepts_flows: bool
    weight: float
    state: str
    reason: str


class Metrics(typing.NamedTuple):
    """Functions that report metrics.

    Attributes:
        increment: Takes the name of a counter and an amount.
        gauge: Takes the name of a gauge and its value.
        timing: Takes client account, class and a duration in seconds.
    """

    increment: abc.Callable[[str, int], None]
    gauge: abc.Callable[[str, float], None]
    timing: abc.Callable[[str, str, float], None]


class BackendServer(typing.Protocol):
    """Address of the backend server beside this agent."""

    @property
    def address(self) -> str:
        """IP address."""

    @property
    def port(self) -> int:
        """TCP port."""
