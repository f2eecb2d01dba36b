"""Tries at the backend server, within deadline, budget and safety."""

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
    """Opens requests, and tells the limit what became of each try."""

    def __init__(
        self,
        server: client.BackendServerClient,
        concurrency_limit: limit.ConcurrencyLimit,
        retry_budget: budget.RetryBudget,
        clock: abc.Callable[[], float],
        lag_s: abc.Callable[[], float],
        on_retry: abc.Callable[[], None],
    ) -> None:
        """Send nothing yet.

        Args:
            server: The backend server's client.
            concurrency_limit: The limit to tell.
            retry_budget: The budget of retries.
            clock: Monotonic seconds.
            lag_s: How late this process's event loop is now.
            on_retry: Called at each retry.
        """
        self._lag_s = lag_s
        self._on_retry = on_retry
        self._server = server
        self._limit = concurrency_limit
        self._retry_budget = retry_budget
        self._clock = clock

    async def async_open(
        self, asked: request_context.RequestContext, in_progress: int
    ) -> aiohttp.ClientResponse:
        """Return the answer's head, trying again where that is safe.

        Args:
            asked: The request.
            in_progress: Requests in progress, this one included.

        Raises:
            errors.RequestRefusedError: No byte of any try can have arrived.
            errors.RequestLostError: A try may have run.
        """
        if not _is_retry(asked):
            self._retry_budget.deposit()
        tries = 0
        begun = False
        while True:
            tried = attempt.Attempt()
            try:
                return await self._async_try(asked, tried, in_progress, tries)
            except errors.REQUEST_ERRORS as error:
                begun = begun or tried.may_have_sent
                if not self._may_retry(asked, tried, error, tries):
                    raise _with_true_outcome(error, begun) from error
                self._on_retry()
                await asyncio.sleep(const.RETRY_DELAY_S)
                tries += 1

    async def _async_try(
        self,
        asked: request_context.RequestContext,
        tried: attempt.Attempt,
        in_progress: int,
        tries: int,
    ) -> aiohttp.ClientResponse:
        now = self._clock()
        watched = attempt_observer.AttemptObserver(
            asked, self._limit, self._clock, in_progress, self._lag_s
        )
        watched.start()
        try:
            response = await self._server.async_open(
                asked,
                tried,
                asked.deadline_at - now,
                client.agent_headers(asked, now, tries),
            )
        except errors.REQUEST_ERRORS as error:
            watched.finish(_result_of(error))
            raise
        finally:
            watched.cancel()
        shed = response.status == const.STATUS_SHED
        watched.finish(sample.Result.shed if shed else sample.Result.answered)
        return response

    def _may_retry(
        self,
        asked: request_context.RequestContext,
        tried: attempt.Attempt,
        error: errors.RequestError,
        tries: int,
    ) -> bool:
        if tries + 1 >= const.MAX_ATTEMPTS or not asked.body.is_replayable:
            return False
        if isinstance(error, errors.AnswerTimeoutError):
            return False
        if tried.may_have_sent and not asked.request_class.repeatable:
            return False
        left_s = deadline.remaining_s(asked.deadline_at, self._clock)
        if _is_retry(asked) or left_s <= const.RETRY_DELAY_S:
            return False
        return self._retry_budget.try_withdraw()


def _is_retry(asked: request_context.RequestContext) -> bool:
    """Tell whether the caller marked the request as a retry of its own."""
    marker = headers.find(asked.head.headers, request_const.HEADER_RETRY)
    return marker is not None


def _with_true_outcome(
    error: errors.RequestError,
    begun: bool,
) -> errors.RequestError:
    """Never call a request not run if an earlier try of it may have."""
    if begun and isinstance(error, errors.RequestRefusedError):
        return errors.AnswerMissingError('an earlier try may have run')
    return error


def _result_of(error: errors.RequestError) -> sample.Result:
    if isinstance(error, errors.AnswerTimeoutError):
        return sample.Result.timed_out
    if isinstance(error, errors.RequestLostError):
        return sample.Result.broken
    return sample.Result.unreachable
