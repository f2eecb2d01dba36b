"""Concurrent HTTP queries for the status of several instances."""

import asyncio
import typing
from collections import abc

import aiohttp
import msgspec

from kumquatport import exceptions
from kumquatport.helpers import decoding
from kumquatport.process.status import const as status_const
from kumquatport.process.status import models

QUERY_TIMEOUT_S: typing.Final = 1.0
MAX_CONCURRENT_QUERIES: typing.Final = 64


class StatusResult(typing.NamedTuple):
    """Result of the status query to one instance.

    Attributes:
        url: Root URL of its status server.
        status: Its status; None if the query failed.
        reason: Why the query failed; empty if it succeeded.
    """

    url: str
    status: models.Status | None
    reason: str


async def async_query(
    urls: abc.Sequence[str], timeout_s: float = QUERY_TIMEOUT_S
) -> list[StatusResult]:
    """Query the status of every instance.

    Args:
        urls: Root URLs of status servers, such as ``http://127.0.0.1:7001``.
        timeout_s: Maximum wait for one instance, in seconds.

    Returns:
        One result for each URL, in the same order.
    """
    connector = aiohttp.TCPConnector(limit=MAX_CONCURRENT_QUERIES)
    timeout = aiohttp.ClientTimeout(total=timeout_s)
    async with aiohttp.ClientSession(
        connector=connector, timeout=timeout
    ) as session:
        return await asyncio.gather(
            *(_async_query_one(session, url) for url in urls)
        )


async def _async_query_one(
    session: aiohttp.ClientSession, url: str
) -> StatusResult:
    try:
        return StatusResult(url, await _async_fetch_status(session, url), '')
    except exceptions.PeerUnavailableError as error:
        return StatusResult(url, None, str(error))


async def _async_fetch_status(
    session: aiohttp.ClientSession, url: str
) -> models.Status:
    """Fetch the status of one instance.

    Raises:
        PeerUnavailableError: The instance did not reply, or its reply is
            malformed.
    """
    root = url.rstrip('/')
    try:
        async with session.get(f'{root}{status_const.PATH_STATUS}') as response:
            body = await response.read()
        return msgspec.json.decode(body, type=models.Status)
    except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
        raise exceptions.PeerUnavailableError(
            f'{type(error).__name__} {error}'
        ) from error
    except decoding.MALFORMED as decode_error:
        raise exceptions.PeerUnavailableError(
            str(decode_error)
        ) from decode_error
