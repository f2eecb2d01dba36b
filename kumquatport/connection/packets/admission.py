"""Admission control of an agent for new flows.

Balancers may act on older configuration, or on older load reports, than the
agent has, and offer flows to a backend server that is draining, cold,
unresponsive or in a failure domain that was taken out. The agent is the last
hop before the backend server and decides on the most recent state.

After a power failure of all instances, clients reconnect at once to backend
servers that are cold or have not reported yet. A backend server that accepts
all of them answers none in time, so the agent accepts only as many as can be
answered soon; the others come with their next retransmission or go to another
agent.
"""

import math
import typing

from kumquatport.connection.packets import frame

# Requests in progress per slot. Beyond this, a new flow would wait longer than
# it takes to be served.
MAX_BUSY_PER_SLOT: typing.Final = 2

# The same limit during the startup burst, which also counts the flows that
# have opened and are about to send their request. It is higher since the burst
# arrives within one round trip and ends by itself, so the queue does not
# persist.
MAX_STARTUP_LOAD_PER_SLOT: typing.Final = 4

# Slots assumed for a backend server that has not reported yet.
DEFAULT_SLOTS: typing.Final = 3

# Seconds after the start of an agent in which clients may reconnect all at
# once; clients give up their first attempt after 1.4 s.
STARTUP_BURST_S: typing.Final = 3.0


class AdmissionInputs(typing.NamedTuple):
    """State of an agent when it is offered a new flow.

    Attributes:
        is_draining: Whether the backend server is draining or gone.
        is_responsive: Whether the backend server has answered recently, or may
            get this flow as a probe.
        is_domain_out: Whether the agent's failure domain was taken out.
        is_leaving: Whether the agent itself is shutting down.
        is_route_allowed: Whether the routes send flows for this address to the
            agent's service.
        is_allowed_by_newer: Whether the balancer that offers the flow holds a
            newer version of the routes and names the agent's service by it.
        is_warm: Whether the backend server has reported that it can take full
            load.
        busy: Requests in progress at the backend server.
        slots: Requests that the backend server processes concurrently.
        is_unconfirmed: Whether the agent was paused and no peer has confirmed
            its configuration since.
        opening_flows: Recently opened flows without a request yet.
        uptime_s: Seconds since the agent started.
        is_for_other_service: Whether the balancer names another service: it
            knows an instance that had the agent's address earlier.
    """

    is_draining: bool
    is_responsive: bool
    is_domain_out: bool
    is_leaving: bool
    is_route_allowed: bool
    is_allowed_by_newer: bool
    is_warm: bool
    busy: int
    slots: int
    is_unconfirmed: bool = False
    opening_flows: int = 0
    uptime_s: float = math.inf
    is_for_other_service: bool = False


def refusal_reason(inputs: AdmissionInputs) -> int:
    """Return the ``frame.REASON_*`` for refusing a new flow, 0 to accept it."""
    if inputs.is_for_other_service:
        return frame.REASON_OTHER_SERVICE
    is_agent_closed = (
        inputs.is_domain_out or inputs.is_leaving or inputs.is_unconfirmed
    )
    is_server_closed = inputs.is_draining or not inputs.is_responsive
    if is_agent_closed or is_server_closed:
        return frame.REASON_NOT_ACCEPTING
    if not inputs.is_route_allowed and not inputs.is_allowed_by_newer:
        return frame.REASON_ROUTE_UNKNOWN
    if not inputs.is_warm and _is_full(inputs):
        return frame.REASON_FULL
    return 0


def _is_full(inputs: AdmissionInputs) -> bool:
    if inputs.uptime_s > STARTUP_BURST_S:
        return inputs.busy >= MAX_BUSY_PER_SLOT * inputs.slots
    expected = inputs.busy + inputs.opening_flows
    return expected >= MAX_STARTUP_LOAD_PER_SLOT * inputs.slots
