"""The request handler of an agent."""

import typing
from collections import abc

import mode

from kumquatport.connection.quic import stream
from kumquatport.request import (
    arrival,
    cancellation,
    claims,
    const,
    error_response,
    errors,
    in_flight,
    messages,
    policy,
    readiness,
    serving,
)
from kumquatport.request.admission import admission, feeds
from kumquatport.request.budget import budget
from kumquatport.request.health import poller
from kumquatport.request.limit import gradient, limit, loop_lag, sample
from kumquatport.request.proxy import client, request_context, retrying_client


class RequestHandler(mode.Service):
    """Admits requests, forwards them to the backend server, sends answers."""

    def __init__(
        self,
        server: messages.BackendServer,
        metrics: messages.Metrics,
        clock: abc.Callable[[], float],
        claim: claims.ClaimFunction = claims.async_grant_unclaimed,
        step: sample.Step = gradient.step,
        **options: typing.Any,
    ) -> None:
        """Start without a policy; ``configure`` sets it.

        Args:
            server: Address of the backend server.
            metrics: Functions that report metrics.
            clock: Returns monotonic seconds of the event loop.
            claim: Awaited before a request that must not run twice is sent.
            step: Step function of the concurrency limit.
            options: Options of ``mode.Service``.
        """
        super().__init__(**options)
        limits = policy.Limits()
        self._metrics = metrics
        self._clock = clock
        self._policy: policy.Policy | None = None
        self._client = client.BackendServerClient(server)
        self._health = poller.HealthPoller(self._client, clock)
        self._loop_lag = loop_lag.LoopLag(clock)
        self._limit = limit.ConcurrencyLimit(
            limit.bounds_of(limits), clock, step
        )
        self._retry_budget = budget.RetryBudget(limits.retry_budget)
        self._admission_control = admission.AdmissionControl(self._limit, clock)
        self._feeds = feeds.Feeds()
        self._dependencies = serving.Dependencies(
            admission_control=self._admission_control,
            feeds=self._feeds,
            client=retrying_client.RetryingClient(
                self._client,
                self._limit,
                self._retry_budget,
                clock,
                lambda: self._loop_lag.lag_s,
                lambda: metrics.increment(const.COUNT_RETRIES, 1),
            ),
            claim=claim,
            on_answer_started=self._on_answer_started,
        )
        self._connections = 0
        self._in_flight = in_flight.InFlightRequests()
        self._draining = False

    @property
    def requests_in_progress(self) -> int:
        """Number of requests that have arrived and are not fully answered."""
        return self._in_flight.count

    @property
    def current_limit(self) -> limit.ConcurrencyLimit:
        """The concurrency limit, for status."""
        return self._limit

    @property
    def admission_control(self) -> admission.AdmissionControl:
        """Admission control, for status."""
        return self._admission_control

    async def on_start(self) -> None:
        """Set up the client and start the health poller and lag monitor."""
        await self._client.async_setup()
        await self.add_runtime_dependency(self._health)
        await self.add_runtime_dependency(self._loop_lag)

    async def on_stop(self) -> None:
        """Close the connections to the backend server."""
        await self._client.async_stop()

    @mode.Service.timer(const.GAUGE_INTERVAL_S)
    async def _async_report_gauges(self) -> None:
        self._metrics.gauge(
            const.GAUGE_IN_PROGRESS, self._admission_control.in_progress
        )
        self._metrics.gauge(const.GAUGE_QUEUED, self._admission_control.queued)
        self._metrics.gauge(const.GAUGE_LIMIT, self._limit.value)
        self._metrics.gauge(const.GAUGE_FEEDS, self._feeds.open)

    def configure(self, service: policy.Section) -> None:
        """Apply the service's entry of a new document."""
        current = policy.build(service)
        self._policy = current
        self._limit.configure(limit.bounds_of(current.limits))
        self._retry_budget.configure(current.limits.retry_budget)
        self._admission_control.configure(current)
        self._feeds.configure(current.limits)

    def connection_opened(self) -> None:
        """Count a new connection of a caller."""
        self._connections += 1

    def connection_closed(self) -> None:
        """Stop counting a closed connection of a caller."""
        self._connections -= 1

    def readiness(self) -> messages.Readiness:
        """Return whether new flows are accepted now, and the weight."""
        return readiness.decide(
            readiness.Inputs(
                policy=self._policy,
                leaving=self._draining or self._health.leaving,
                reachable=self._health.reachable,
                reported_cold=self._health.cold,
                connections=self._connections,
                queue_pressure=self._admission_control.queue_pressure,
                slot_share=self._limit.slot_share,
            ),
        )

    async def async_drain(self) -> None:
        """Report leaving and wait until no request is in progress."""
        self._draining = True
        await self._in_flight.async_wait_idle()

    async def async_handle(
        self,
        head: messages.RequestHead,
        exchange: messages.Exchange,
    ) -> None:
        """Handle a request until its answer or error response has been sent.

        Args:
            head: Head of the request.
            exchange: The exchange with the caller.
        """
        with self._in_flight.track():
            await self._async_answer(head, exchange)

    async def _async_answer(
        self,
        head: messages.RequestHead,
        exchange: messages.Exchange,
    ) -> None:
        self._metrics.increment(const.COUNT_REQUESTS, 1)
        try:
            is_completed = await cancellation.async_run(
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
            await error_response.async_send(exchange, error)
        else:
            name = (
                const.COUNT_ANSWERED if is_completed else const.COUNT_CANCELLED
            )
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
        if self._health.leaving:
            raise errors.LeavingError('the backend server is leaving')
        context = arrival.build_context(
            self._policy, head, exchange, self._clock()
        )
        await arrival.async_prefetch(context)
        if context.request_class.holds_slot:
            await serving.async_serve(context, self._dependencies)
            self._record_duration(context)
            return
        self._feeds.add()
        try:
            await serving.async_serve(context, self._dependencies)
        finally:
            self._feeds.remove()

    def _on_answer_started(
        self, context: request_context.RequestContext
    ) -> None:
        """Record a feed when its answer begins.

        The time of its end says nothing about latency.
        """
        if not context.request_class.holds_slot:
            self._record_duration(context)

    def _record_duration(self, context: request_context.RequestContext) -> None:
        duration_s = self._clock() - context.arrived_at
        class_name = context.request_class.name
        self._metrics.timing(context.client_account, class_name, duration_s)
