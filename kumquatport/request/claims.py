"""Where a request that must not run twice asks whether it may run.

The handler awaits a ``Claim`` before the first byte of such a request goes to
the backend server, and tells the verdict's ``async_settle`` what became of it.
"""

import typing
from collections import abc

from kumquatport.request import messages

SETTLED_NOT_RUN = 'not-run'
SETTLED_ANSWERED = 'answered'
SETTLED_UNKNOWN = 'unknown'


class Answer(typing.NamedTuple):
    """A whole answer, small enough to be kept."""

    status: int
    headers: messages.Headers
    body: bytes


class Settlement(typing.NamedTuple):
    """What became of a claimed request.

    Attributes:
        outcome: ``not-run``, ``answered`` or ``unknown``.
        answer: What the backend server answered, None unless it was whole and
            within ``MAX_KEPT_ANSWER_BYTES``.
    """

    outcome: str
    answer: Answer | None


class Verdict(typing.NamedTuple):
    """What a claim found.

    Attributes:
        answer: The kept answer of an earlier run, sent in place of running;
            None if the request may run now.
        async_settle: Awaited once, when the outcome is known and before the
            end of the answer goes to the caller.
    """

    answer: Answer | None
    async_settle: abc.Callable[[Settlement], abc.Awaitable[None]]


Claim: typing.TypeAlias = abc.Callable[
    [messages.RequestHead, float],
    abc.Awaitable[Verdict],
]


async def async_grant(
    head: messages.RequestHead, deadline_at: float
) -> Verdict:
    """Let every request run; for agents that keep no claims.

    Args:
        head: The request, with its ``idempotency-key`` header if it has one.
        deadline_at: Moment on the handler's clock by which to decide.

    Returns:
        The verdict.

    Raises:
        errors.RequestRefusedError: The request did not and will not run.
        errors.RequestLostError: An earlier run's outcome can't be known.
    """
    return Verdict(answer=None, async_settle=_async_forget)


async def _async_forget(settlement: Settlement) -> None:
    """Keep nothing."""
