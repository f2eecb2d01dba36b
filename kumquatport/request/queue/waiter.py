"""A request that waits for a slot."""

import asyncio
import typing


class SlotRequest(typing.NamedTuple):
    """A request for a slot, as admission control and the queue see it.

    Attributes:
        client_account: The client account whose share is charged.
        class_name: Class of the request.
        cost_s: Expected slot time, in seconds.
        deadline_at: Time by which the answer must have begun, on the
            handler's clock.
    """

    client_account: str
    class_name: str
    cost_s: float
    deadline_at: float


class Waiter(typing.NamedTuple):
    """A slot request and the future that is resolved when it is granted."""

    slot_request: SlotRequest
    granted: asyncio.Future[None]
