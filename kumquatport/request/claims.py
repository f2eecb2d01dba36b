"""Where a request that must not run twice asks whether it may run.

The handler awaits a ``Claim`` before the first byte of such a request goes to
the backend server, and tells the verdict's ``async_settle`` what became of it.
"""

import typing
from collections import abc

from kumquatport.request import errors, messages

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


class SettleOnce:
    """Tells a verdict what became of its request, at the first call only."""

    def __init__(self, verdict: Verdict) -> None:
        """Hold the verdict of a request that may run."""
        self._verdict: Verdict | None = verdict

    async def async_settle(self, settlement: Settlement) -> None:
        """Tell the outcome unless one was told before.

        Raises:
            errors.AnswerBrokenError: The outcome could not be kept, so that
                the answer must not look whole.
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
    return Verdict(answer=None, async_settle=_async_ignore_settlement)


async def _async_ignore_settlement(settlement: Settlement) -> None:
    """Keep nothing."""
