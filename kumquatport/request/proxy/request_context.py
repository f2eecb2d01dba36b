"""Context of a request that the agent is handling."""

import typing

from kumquatport.request import messages, policy
from kumquatport.request.proxy import body


class RequestContext(typing.NamedTuple):
    """A request with its class, client account and deadline.

    Times are in seconds on the handler's clock.

    Attributes:
        head: Head of the request.
        exchange: The exchange with the caller.
        body: Body of the request.
        request_class: Class of the request.
        client_account: The client account whose share is charged.
        service: The service that the request is for.
        deadline_at: Time by which the answer must have begun.
        arrived_at: When the head arrived.
    """

    head: messages.RequestHead
    exchange: messages.Exchange
    body: body.RequestBody
    request_class: policy.RequestClass
    client_account: str
    service: str
    deadline_at: float
    arrived_at: float
