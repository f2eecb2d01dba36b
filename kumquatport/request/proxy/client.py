"""The HTTP/1.1 client towards the backend server."""

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
    """Opens requests at one backend server.

    Repeatable requests share kept connections. A request that must not run
    twice always gets a connection of its own: on a kept one, a backend server
    that is just closing it would leave the outcome unknown for no need.
    """

    def __init__(self, server: messages.BackendServer) -> None:
        """Open nothing yet.

        Args:
            server: Where the backend server listens.
        """
        self._base_url = f'http://{server.address}:{server.port}'
        self._pooled_session: aiohttp.ClientSession | None = None
        self._unpooled_session: aiohttp.ClientSession | None = None

    async def async_setup(self) -> None:
        """Make the sessions; needs a running event loop."""
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
        asked: request_context.RequestContext,
        tried: attempt.Attempt,
        left_s: float,
        extra: messages.Headers,
    ) -> aiohttp.ClientResponse:
        """Send a request and return once the head of its answer is here.

        Args:
            asked: The request.
            tried: Told whether a byte may have reached the backend server.
            left_s: Seconds until its deadline.
            extra: Headers of ours.

        Raises:
            errors.BackendServerUnreachableError: No byte can have arrived.
            errors.AnswerTimeoutError: Sent, and no answer by the deadline.
            errors.AnswerMissingError: Sent, and the connection broke.
        """
        session = self._session_for(asked)
        try:
            async with asyncio.timeout(left_s):
                return await self._async_send(session, asked, tried, extra)
        except TimeoutError as timeout:
            if tried.may_have_sent:
                raise errors.AnswerTimeoutError(
                    'no answer in time'
                ) from timeout
            raise _unreachable() from timeout
        except (aiohttp.ClientError, OSError, errors.RequestLostError) as fault:
            if tried.may_have_sent:
                raise errors.AnswerMissingError('no answer came') from fault
            raise _unreachable() from fault

    async def async_get_json(self, path: str, timeout_s: float) -> typing.Any:
        """Get a small JSON document that belongs to no request."""
        session = _require_open(self._pooled_session)
        async with asyncio.timeout(timeout_s):
            async with session.get(
                f'{self._base_url}{path}',
                trace_request_ctx=attempt.Attempt(),
            ) as response:
                return await response.json(content_type=None)

    def _session_for(
        self, asked: request_context.RequestContext
    ) -> aiohttp.ClientSession:
        if asked.request_class.repeatable:
            return _require_open(self._pooled_session)
        return _require_open(self._unpooled_session)

    async def _async_send(
        self,
        session: aiohttp.ClientSession,
        asked: request_context.RequestContext,
        tried: attempt.Attempt,
        extra: messages.Headers,
    ) -> aiohttp.ClientResponse:
        return await session.request(
            asked.head.method,
            yarl.URL(f'{self._base_url}{asked.head.path}', encoded=True),
            data=asked.body.payload(),
            headers=headers.to_backend_server(asked.head, extra),
            allow_redirects=False,
            trace_request_ctx=tried,
        )


def agent_headers(
    asked: request_context.RequestContext,
    now: float,
    tries: int,
) -> messages.Headers:
    """Return the headers that the agent sets on a request.

    A deadline is sent on if the caller set one, or if the request must not
    run twice; a long pull of a patient caller is not cut by its class.
    """
    own = [(request_const.HEADER_SERVICE, asked.service)]
    given = headers.find(asked.head.headers, request_const.HEADER_DEADLINE)
    if asked.request_class.holds_slot:
        if given is not None or not asked.request_class.repeatable:
            own.append(deadline.header(asked.deadline_at, now))
    if tries:
        own.append((request_const.HEADER_RETRY, str(tries)))
    return tuple(own)


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
        'no connection to the backend server',
    )
