"""One request that waits for a slot."""

import asyncio
import typing


class SlotRequest(typing.NamedTuple):
    """What the queue needs to know of a request.

    Attributes:
        client_account: Whose share it counts to.
        class_name: Its class.
        cost_s: Slot time it will probably take, in seconds.
        deadline_at: When its answer must have begun.
    """

    client_account: str
    class_name: str
    cost_s: float
    deadline_at: float


class Waiter(typing.NamedTuple):
    """A ticket and the future that is done when its turn comes."""

    slot_request: SlotRequest
    granted: asyncio.Future[None]
