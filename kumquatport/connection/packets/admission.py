"""Whether an agent lets a new flow reach its backend server.

Load pattern: balancers that hold older beliefs than the agent, or older
reports of it, and offer flows to a backend server that drains, is cold, has
fallen silent or is in a failure domain that was taken out. The agent is the
last on the way and decides on the newest knowledge.

After all machines lost power, clients come back at once to backend servers
that are cold or not known yet. One that takes all of them answers none in
time, so it takes as many as it can answer soon; the others come with their
next copy or elsewhere.
"""

import math
import typing

from kumquatport.connection.packets import frame

# Requests in progress for each slot, beyond which a new flow would wait longer
# than it takes to be served.
MAX_BUSY_PER_SLOT: typing.Final = 2

# The same in the first seconds of an agent, with the flows that are about to send
# their request: a wave comes all at once, within one round trip, and ends by
# itself, so that a longer queue does not stand.
MAX_STARTUP_LOAD_PER_SLOT: typing.Final = 4

# Slots assumed of a backend server that has not reported yet.
DEFAULT_SLOTS: typing.Final = 3

# Seconds after its start within which an agent expects such a wave: clients give
# their first try up after 1.4 s.
STARTUP_BURST_S: typing.Final = 3.0


class AdmissionInputs(typing.NamedTuple):
    """What an agent knows when it is offered a flow.

    Attributes:
        is_draining: Whether the backend server is about to leave, or is gone.
        is_responsive: Whether the backend server has answered of late.
        is_domain_out: Whether the agent's failure domain was taken out.
        is_leaving: Whether the agent itself is about to stop.
        is_route_allowed: Whether the routes send flows of this address here.
        is_sender_newer: Whether the balancer that offers the flow holds newer
            routes, by which it was sent here.
        is_warm: Whether the backend server has said that it bears full load.
        busy: Requests in progress at the backend server.
        slots: Requests that it works on at a time.
        is_unconfirmed: Whether the agent stood still and has not caught up.
        opening_flows: Flows that opened of late and have sent no request yet.
        uptime_s: Seconds since the agent started.
    """

    is_draining: bool
    is_responsive: bool
    is_domain_out: bool
    is_leaving: bool
    is_route_allowed: bool
    is_sender_newer: bool
    is_warm: bool
    busy: int
    slots: int
    is_unconfirmed: bool = False
    opening_flows: int = 0
    uptime_s: float = math.inf


def refusal_reason(inputs: AdmissionInputs) -> int:
    """Return the reason why a new flow is turned away, 0 for none."""
    is_agent_closed = (
        inputs.is_domain_out or inputs.is_leaving or inputs.is_unconfirmed
    )
    is_server_closed = inputs.is_draining or not inputs.is_responsive
    if is_agent_closed or is_server_closed:
        return frame.REASON_NOT_ACCEPTING
    if not inputs.is_route_allowed and not inputs.is_sender_newer:
        return frame.REASON_ROUTE_UNKNOWN
    if not inputs.is_warm and _is_full(inputs):
        return frame.REASON_FULL
    return 0


def _is_full(inputs: AdmissionInputs) -> bool:
    if inputs.uptime_s > STARTUP_BURST_S:
        return inputs.busy >= MAX_BUSY_PER_SLOT * inputs.slots
    expected = inputs.busy + inputs.opening_flows
    return expected >= MAX_STARTUP_LOAD_PER_SLOT * inputs.slots
