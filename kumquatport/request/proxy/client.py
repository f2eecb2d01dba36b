"""HTTP/1.1 client of the backend server."""

import asyncio
import typing

import aiohttp
import yarl

from kumquatport.request import const as request_const
from kumquatport.request import deadline, errors, messages
from kumquatport.request.proxy import attempt, const, headers, request_context

_NO_COOKIES = aiohttp.DummyCookieJar
_SKIPPED_AUTO_HEADERS = (
    'Accept',
    'Accept-Encoding',
    'Content-Type',
    'User-Agent',
)


class BackendServerClient:
    """Sends requests to one backend server.

    Repeatable requests share pooled connections. A request that must not run
    twice always gets a new connection: if the backend server closed a pooled
    one at the same time, the outcome would be unknown.
    """

    def __init__(self, server: messages.BackendServer) -> None:
        """Initialize without connections.

        Args:
            server: Address of the backend server.
        """
        self._base_url = f'http://{server.address}:{server.port}'
        self._pooled_session: aiohttp.ClientSession | None = None
        self._unpooled_session: aiohttp.ClientSession | None = None

    async def async_setup(self) -> None:
        """Create the sessions; needs a running event loop."""
        self._pooled_session = _session(
            keepalive_timeout=const.KEEPALIVE_TIMEOUT_S
        )
        self._unpooled_session = _session(force_close=True)

    async def async_stop(self) -> None:
        """Close all connections."""
        for session in (self._pooled_session, self._unpooled_session):
            if session is not None:
                await session.close()

    async def async_open(
        self,
        context: request_context.RequestContext,
        current_attempt: attempt.Attempt,
        left_s: float,
        extra: messages.Headers,
    ) -> aiohttp.ClientResponse:
        """Send a request and wait for the head of its answer.

        Args:
            context: The request.
            current_attempt: Records whether the request may have arrived.
            left_s: Seconds until the deadline.
            extra: Headers set by the agent.

        Raises:
            errors.BackendServerUnreachableError: Nothing can have arrived.
            errors.AnswerTimeoutError: Sent, but no answer by the deadline.
            errors.AnswerMissingError: Sent, but the connection broke.
        """
        session = self._session_for(context)
        try:
            async with asyncio.timeout(left_s):
                return await self._async_send(
                    session, context, current_attempt, extra
                )
        except TimeoutError as timeout:
            if current_attempt.may_have_sent:
                raise errors.AnswerTimeoutError(
                    'no answer before the deadline'
                ) from timeout
            raise _unreachable() from timeout
        except (aiohttp.ClientError, OSError, errors.RequestLostError) as error:
            if current_attempt.may_have_sent:
                raise errors.AnswerMissingError(
                    'no answer was received'
                ) from error
            raise _unreachable() from error

    async def async_get_json(self, path: str, timeout_s: float) -> typing.Any:
        """Get a small JSON document, independent of requests of callers."""
        session = _require_open(self._pooled_session)
        async with asyncio.timeout(timeout_s):
            async with session.get(
                f'{self._base_url}{path}',
                trace_request_ctx=attempt.Attempt(),
            ) as response:
                return await response.json(content_type=None)

    def _session_for(
        self, context: request_context.RequestContext
    ) -> aiohttp.ClientSession:
        if context.request_class.repeatable:
            return _require_open(self._pooled_session)
        return _require_open(self._unpooled_session)

    async def _async_send(
        self,
        session: aiohttp.ClientSession,
        context: request_context.RequestContext,
        current_attempt: attempt.Attempt,
        extra: messages.Headers,
    ) -> aiohttp.ClientResponse:
        return await session.request(
            context.head.method,
            yarl.URL(f'{self._base_url}{context.head.path}', encoded=True),
            data=context.body.payload(),
            headers=headers.to_backend_server(context.head, extra),
            allow_redirects=False,
            trace_request_ctx=current_attempt,
        )


def agent_headers(
    context: request_context.RequestContext,
    now: float,
    retry_count: int,
) -> messages.Headers:
    """Return the headers that the agent sets on a request.

    The deadline is sent if the caller has set one or if the request must not
    run twice. Otherwise the deadline of the class must not cut off a long
    download. A feed gets no deadline header from the agent.
    """
    agent_set = [(request_const.HEADER_SERVICE, context.service)]
    caller_deadline = headers.find(
        context.head.headers, request_const.HEADER_DEADLINE
    )
    if context.request_class.holds_slot:
        if caller_deadline is not None or not context.request_class.repeatable:
            agent_set.append(deadline.header(context.deadline_at, now))
    if retry_count:
        agent_set.append((request_const.HEADER_RETRY, str(retry_count)))
    return tuple(agent_set)


def _session(**options: typing.Any) -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0, **options),
        cookie_jar=_NO_COOKIES(),
        auto_decompress=False,
        read_bufsize=const.READ_BUFFER_BYTES,
        skip_auto_headers=_SKIPPED_AUTO_HEADERS,
        timeout=aiohttp.ClientTimeout(
            total=None,
            sock_connect=const.CONNECT_TIMEOUT_S,
        ),
        trace_configs=[attempt.trace_config()],
    )


def _require_open(
    session: aiohttp.ClientSession | None,
) -> aiohttp.ClientSession:
    if session is None or session.closed:
        raise _unreachable()
    return session


def _unreachable() -> errors.BackendServerUnreachableError:
    return errors.BackendServerUnreachableError(
        'could not connect to the backend server',
    )
