"""Status of several instances, asked over HTTP all at once."""

import asyncio
import typing
from collections import abc

import aiohttp
import msgspec

from kumquatport import exceptions
from kumquatport.process.status import const as status_const
from kumquatport.process.status import models

QUERY_TIMEOUT_S: typing.Final = 1.0
MAX_CONCURRENT_QUERIES: typing.Final = 64


class StatusResult(typing.NamedTuple):
    """What one instance answered.

    Attributes:
        url: Root of its status server.
        status: Its status; None when it did not answer.
        reason: Why it did not; empty when it did.
    """

    url: str
    status: models.Status | None
    reason: str


async def async_query(
    urls: abc.Sequence[str], timeout_s: float = QUERY_TIMEOUT_S
) -> list[StatusResult]:
    """Ask every instance for its status; one answer each, in order.

    Args:
        urls: Roots of status servers, for example ``http://127.0.0.1:7001``.
        timeout_s: Longest wait for one instance.
    """
    connector = aiohttp.TCPConnector(limit=MAX_CONCURRENT_QUERIES)
    limit = aiohttp.ClientTimeout(total=timeout_s)
    async with aiohttp.ClientSession(
        connector=connector, timeout=limit
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
    """Ask one instance.

    Raises:
        PeerUnavailableError: No answer, or a malformed one.
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
    except msgspec.DecodeError as malformed:
        raise exceptions.PeerUnavailableError(str(malformed)) from malformed
