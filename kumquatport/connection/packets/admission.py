"""Whether an agent lets a new flow reach its backend server.

Load pattern: balancers that hold older beliefs than the agent, or older
reports of it, and offer flows to a backend server that drains, is cold, has
fallen silent or is in a failure domain that was taken out. The agent is the
last on the way and decides on the newest knowledge.
"""

import typing

from kumquatport.connection.packets import frame


class Situation(typing.NamedTuple):
    """What an agent knows when it is offered a flow.

    Attributes:
        is_draining: Whether the backend server is about to leave, or is gone.
        is_answering: Whether the backend server has answered of late.
        is_out: Whether the agent's failure domain was taken out.
        is_leaving: Whether the agent itself is about to stop.
        is_route_allowed: Whether the routes send flows of this address here.
        is_sender_newer: Whether the balancer that offers the flow holds newer
            routes, by which it was sent here.
    """

    is_draining: bool
    is_answering: bool
    is_out: bool
    is_leaving: bool
    is_route_allowed: bool
    is_sender_newer: bool


def refusal(situation: Situation) -> int:
    """Return the reason why a new flow is turned away, 0 for none."""
    is_closed = (
        situation.is_draining
        or situation.is_out
        or situation.is_leaving
        or not situation.is_answering
    )
    if is_closed:
        return frame.REASON_CLOSED
    if not situation.is_route_allowed and not situation.is_sender_newer:
        return frame.REASON_ROUTE
    return 0
