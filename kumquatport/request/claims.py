"""Interface for claiming requests that must not run twice.

The handler awaits a ``ClaimFunction`` before the first byte of such a request
is sent to the backend server, and reports the outcome to ``async_settle`` of
the verdict.
"""

import typing
from collections import abc

from kumquatport.request import errors, messages

SETTLED_NOT_RUN = 'not-run'
SETTLED_ANSWERED = 'answered'
SETTLED_UNKNOWN = 'unknown'


class Answer(typing.NamedTuple):
    """A complete answer, small enough to be stored."""

    status: int
    headers: messages.Headers
    body: bytes


class Settlement(typing.NamedTuple):
    """The outcome of a claimed request.

    Attributes:
        outcome: ``not-run``, ``answered`` or ``unknown``.
        answer: Answer of the backend server, None unless it is complete and
            at most ``MAX_STORED_ANSWER_BYTES`` long.
    """

    outcome: str
    answer: Answer | None


class Verdict(typing.NamedTuple):
    """Result of a claim.

    Attributes:
        answer: Stored answer of an earlier run, to be sent instead of running
            the request; None if the request may run now.
        async_settle: Awaited once, when the outcome is known and before the
            end of the answer is sent to the caller.
    """

    answer: Answer | None
    async_settle: abc.Callable[[Settlement], abc.Awaitable[None]]


class SettleOnce:
    """Settles a verdict at the first call only."""

    def __init__(self, verdict: Verdict) -> None:
        """Take the verdict of a request that may run."""
        self._verdict: Verdict | None = verdict

    async def async_settle(self, settlement: Settlement) -> None:
        """Report the outcome unless one has been reported before.

        Raises:
            errors.AnswerBrokenError: The outcome could not be stored, so the
                answer must not appear complete.
        """
        verdict = self._verdict
        self._verdict = None
        if verdict is None:
            return
        try:
            await verdict.async_settle(settlement)
        except errors.RequestLostError as lost:
            raise errors.AnswerBrokenError(str(lost)) from lost


ClaimFunction: typing.TypeAlias = abc.Callable[
    [messages.RequestHead, float],
    abc.Awaitable[Verdict],
]


async def async_grant_unclaimed(
    head: messages.RequestHead, deadline_at: float
) -> Verdict:
    """Let the request run without a claim.

    The arguments, the result and the errors are those of any
    ``ClaimFunction``.

    Args:
        head: The request, with its ``idempotency-key`` header if it has one.
        deadline_at: When to give up, on the handler's clock in seconds.

    Returns:
        The verdict.

    Raises:
        errors.RequestRefusedError: The request did not and will not run.
        errors.RequestLostError: The outcome of an earlier run is unknown.
    """
    return Verdict(answer=None, async_settle=_async_ignore_settlement)


async def _async_ignore_settlement(settlement: Settlement) -> None:
    """Ignore the settlement: no claim was made."""
