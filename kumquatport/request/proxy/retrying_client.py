"""Sends requests to the backend server and retries where it is safe."""

import asyncio
from collections import abc

import aiohttp

from kumquatport.request import const as request_const
from kumquatport.request import deadline, errors
from kumquatport.request.budget import budget
from kumquatport.request.limit import limit, sample
from kumquatport.request.proxy import (
    attempt,
    attempt_observer,
    client,
    const,
    headers,
    request_context,
)


class RetryingClient:
    """Retries requests, and reports each attempt to the concurrency limit."""

    def __init__(
        self,
        server: client.BackendServerClient,
        concurrency_limit: limit.ConcurrencyLimit,
        retry_budget: budget.RetryBudget,
        clock: abc.Callable[[], float],
        lag_s: abc.Callable[[], float],
        on_retry: abc.Callable[[], None],
    ) -> None:
        """Initialize without requests.

        Args:
            server: Client of the backend server.
            concurrency_limit: The limit to report attempts to.
            retry_budget: Budget of the agent's retries.
            clock: Returns monotonic seconds.
            lag_s: Returns the current event loop lag in seconds.
            on_retry: Called before each retry.
        """
        self._lag_s = lag_s
        self._on_retry = on_retry
        self._server = server
        self._limit = concurrency_limit
        self._retry_budget = retry_budget
        self._clock = clock

    async def async_open(
        self, context: request_context.RequestContext, in_progress: int
    ) -> aiohttp.ClientResponse:
        """Send a request, with retries, and return once the answer begins.

        Args:
            context: The request.
            in_progress: Requests in progress, this one included.

        Raises:
            errors.RequestRefusedError: Nothing can have arrived.
            errors.RequestLostError: One of the attempts may have run.
        """
        if not _is_retry(context):
            self._retry_budget.deposit()
        retry_count = 0
        may_have_sent = False
        while True:
            current_attempt = attempt.Attempt()
            try:
                return await self._async_attempt(
                    context, current_attempt, in_progress, retry_count
                )
            except errors.REQUEST_ERRORS as error:
                may_have_sent = may_have_sent or current_attempt.may_have_sent
                if not self._may_retry(
                    context, current_attempt, error, retry_count
                ):
                    raise _with_true_outcome(error, may_have_sent) from error
                self._on_retry()
                await asyncio.sleep(const.RETRY_DELAY_S)
                retry_count += 1

    async def _async_attempt(
        self,
        context: request_context.RequestContext,
        current_attempt: attempt.Attempt,
        in_progress: int,
        retry_count: int,
    ) -> aiohttp.ClientResponse:
        now = self._clock()
        observer = attempt_observer.AttemptObserver(
            context, self._limit, self._clock, in_progress, self._lag_s
        )
        observer.start()
        try:
            response = await self._server.async_open(
                context,
                current_attempt,
                context.deadline_at - now,
                client.agent_headers(context, now, retry_count),
            )
        except errors.REQUEST_ERRORS as error:
            observer.finish(_result_of(error))
            raise
        finally:
            observer.cancel()
        is_shed = response.status == const.STATUS_SHED
        observer.finish(
            sample.Result.shed if is_shed else sample.Result.answered
        )
        return response

    def _may_retry(
        self,
        context: request_context.RequestContext,
        current_attempt: attempt.Attempt,
        error: errors.RequestError,
        retry_count: int,
    ) -> bool:
        if (
            retry_count + 1 >= const.MAX_ATTEMPTS
            or not context.body.is_replayable
        ):
            return False
        if isinstance(error, errors.AnswerTimeoutError):
            return False
        if (
            current_attempt.may_have_sent
            and not context.request_class.repeatable
        ):
            return False
        left_s = deadline.remaining_s(context.deadline_at, self._clock)
        if _is_retry(context) or left_s <= const.RETRY_DELAY_S:
            return False
        return self._retry_budget.try_withdraw()


def _is_retry(context: request_context.RequestContext) -> bool:
    """Return whether the caller has marked the request as a retry."""
    marker = headers.find(context.head.headers, request_const.HEADER_RETRY)
    return marker is not None


def _with_true_outcome(
    error: errors.RequestError,
    may_have_sent: bool,
) -> errors.RequestError:
    """Replace a refusal if an earlier attempt of the request may have run."""
    if may_have_sent and isinstance(error, errors.RequestRefusedError):
        return errors.AnswerMissingError('an earlier attempt may have run')
    return error


def _result_of(error: errors.RequestError) -> sample.Result:
    if isinstance(error, errors.AnswerTimeoutError):
        return sample.Result.timed_out
    if isinstance(error, errors.RequestLostError):
        return sample.Result.broken
    return sample.Result.unreachable
