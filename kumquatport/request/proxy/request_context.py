"""One request on its way through the agent."""

import typing

from kumquatport.request import messages, policy
from kumquatport.request.proxy import body


class RequestContext(typing.NamedTuple):
    """A request, and what was decided of it at its arrival.

    Attributes:
        head: What was asked for.
        exchange: The way back to the caller.
        body: The request's body.
        request_class: Its class.
        client_account: Whose share it counts to.
        service: Which service it is meant for.
        deadline_at: When its answer must have begun.
        arrived_at: When its head came in.
    """

    head: messages.RequestHead
    exchange: messages.Exchange
    body: body.RequestBody
    request_class: policy.RequestClass
    client_account: str
    service: str
    deadline_at: float
    arrived_at: float
