"""Everything that an agent decides about requests."""

import typing
from collections import abc

import mode

from kumquatport.connection.quic import stream
from kumquatport.request import (
    arrival,
    cancellation,
    claims,
    const,
    errors,
    messages,
    openness,
    policy,
    progress,
    refusal,
    serving,
)
from kumquatport.request.admission import admission, feeds
from kumquatport.request.budget import budget
from kumquatport.request.health import hint
from kumquatport.request.limit import gradient, lag, limit, sample
from kumquatport.request.proxy import carrier, client, job


class Handler(mode.Service):
    """Admits requests, takes them to the backend server, answers callers."""

    def __init__(
        self,
        server: messages.BackendServer,
        metrics: messages.Metrics,
        clock: abc.Callable[[], float],
        claim: claims.Claim = claims.async_grant,
        step: sample.Step = gradient.step,
        **options: typing.Any,
    ) -> None:
        """Begin with nothing configured.

        Args:
            server: Where the backend server listens.
            metrics: Where counts, gauges and durations go.
            clock: Monotonic seconds, the event loop's.
            claim: Asked before a request that must not run twice.
            step: How the limit on requests in progress moves.
            options: For ``mode.Service``.
        """
        super().__init__(**options)
        limits = policy.Limits()
        self._metrics = metrics
        self._clock = clock
        self._policy: policy.Policy | None = None
        self._client = client.BackendServerClient(server)
        self._hint = hint.HealthHint(self._client, clock)
        self._lag = lag.LoopLag(clock)
        self._limit = limit.Limit(limit.bounds_of(limits), clock, step)
        self._retries = budget.RetryBudget(limits.retry_budget)
        self._gate = admission.Admission(self._limit, clock)
        self._feeds = feeds.Feeds()
        self._parts = serving.Parts(
            gate=self._gate,
            feeds=self._feeds,
            carrier=carrier.Carrier(
                self._client,
                self._limit,
                self._retries,
                clock,
                lambda: self._lag.lag_s,
                lambda: metrics.increment(const.COUNT_RETRIES, 1),
            ),
            claim=claim,
            answering=self._note_answering,
        )
        self._connections = 0
        self._progress = progress.Progress()
        self._draining = False

    @property
    def requests_in_progress(self) -> int:
        """Requests that have come in and are not fully answered."""
        return self._progress.count

    @property
    def current_limit(self) -> limit.Limit:
        """The limit on requests in progress, for status."""
        return self._limit

    @property
    def gate(self) -> admission.Admission:
        """Slots and queue, for status."""
        return self._gate

    async def on_start(self) -> None:
        """Make the client; start to poll health."""
        await self._client.async_setup()
        await self.add_runtime_dependency(self._hint)
        await self.add_runtime_dependency(self._lag)

    async def on_stop(self) -> None:
        """Close the connections to the backend server."""
        await self._client.async_stop()

    @mode.Service.timer(const.GAUGE_S)
    async def _async_measure(self) -> None:
        self._metrics.gauge(const.GAUGE_IN_PROGRESS, self._gate.in_progress)
        self._metrics.gauge(const.GAUGE_QUEUED, self._gate.queued)
        self._metrics.gauge(const.GAUGE_LIMIT, self._limit.value)
        self._metrics.gauge(const.GAUGE_FEEDS, self._feeds.open)

    def configure(self, service: policy.Section) -> None:
        """Take the service's entry of a new document."""
        current = policy.build(service)
        self._policy = current
        self._limit.configure(limit.bounds_of(current.limits))
        self._retries.configure(current.limits.retry_budget)
        self._gate.configure(current)
        self._feeds.configure(current.limits)

    def connection_opened(self) -> None:
        """Count a caller's connection."""
        self._connections += 1

    def connection_closed(self) -> None:
        """Stop counting a caller's connection."""
        self._connections -= 1

    def openness(self) -> messages.Openness:
        """Say whether a new flow may open here now."""
        return openness.decide(
            openness.View(
                policy=self._policy,
                leaving=self._draining or self._hint.leaving,
                reachable=self._hint.reachable,
                reported_cold=self._hint.cold,
                connections=self._connections,
                pressure=self._gate.pressure,
                share=self._limit.share,
            ),
        )

    async def async_drain(self) -> None:
        """Return when no request is in progress; announce leaving."""
        self._draining = True
        await self._progress.async_wait_idle()

    async def async_handle(
        self,
        head: messages.RequestHead,
        exchange: messages.Exchange,
    ) -> None:
        """Run a whole request; refusals are answered at once.

        Args:
            head: What is asked for.
            exchange: The way back to the caller.
        """
        with self._progress.counted():
            await self._async_answer(head, exchange)

    async def _async_answer(
        self,
        head: messages.RequestHead,
        exchange: messages.Exchange,
    ) -> None:
        self._metrics.increment(const.COUNT_REQUESTS, 1)
        try:
            whole = await cancellation.async_run(
                self._async_serve(head, exchange),
                exchange.cancelled,
            )
        except stream.StreamClosedError:
            self._metrics.increment(const.COUNT_CANCELLED, 1)
        except errors.AnswerBrokenError as broken:
            self._count_error(broken)
            exchange.reset(const.H3_INTERNAL_ERROR)
        except errors.REQUEST_ERRORS as error:
            self._count_error(error)
            await refusal.async_send(exchange, error)
        else:
            name = const.COUNT_ANSWERED if whole else const.COUNT_CANCELLED
            self._metrics.increment(name, 1)

    def _count_error(self, error: errors.RequestError) -> None:
        prefix = const.COUNT_UNKNOWN_PREFIX
        if isinstance(error, errors.RequestRefusedError):
            prefix = const.COUNT_REFUSED_PREFIX
        self._metrics.increment(f'{prefix}{error.code}', 1)

    async def _async_serve(
        self,
        head: messages.RequestHead,
        exchange: messages.Exchange,
    ) -> None:
        if self._hint.leaving:
            raise errors.LeavingError('the backend server is leaving')
        asked = arrival.build(self._policy, head, exchange, self._clock())
        await arrival.async_prefetch(asked)
        if asked.request_class.holds_slot:
            await serving.async_serve(asked, self._parts)
            self._record(asked)
            return
        self._feeds.begin()
        try:
            await serving.async_serve(asked, self._parts)
        finally:
            self._feeds.end()

    def _note_answering(self, asked: job.Job) -> None:
        """Record a feed once it begins: its end says nothing."""
        if not asked.request_class.holds_slot:
            self._record(asked)

    def _record(self, asked: job.Job) -> None:
        took_s = self._clock() - asked.arrived_at
        class_name = asked.request_class.name
        self._metrics.timing(asked.client_account, class_name, took_s)
