"""Parts of a request to the platform."""

import typing

import aiohttp
import yarl

from kumquatport.process.platform import const


def object_url(root: str, key: str) -> yarl.URL:
    """Return the URL of one object."""
    return yarl.URL(root) / 'v1' / 'objects' / key


def query_url(
    root: str, resource: str, query: typing.Mapping[str, str]
) -> yarl.URL:
    """Return the URL of a query."""
    return (yarl.URL(root) / 'v1' / resource).with_query(query)


def condition(expected: int | None) -> dict[str, str]:
    """Return the headers of a conditional write."""
    if expected is None:
        return {}
    if expected == 0:
        return {const.HEADER_IF_NONE_MATCH: '*'}
    return {const.HEADER_IF_MATCH: str(expected)}


def sent_once() -> aiohttp.ClientMiddlewareType:
    """Build a middleware that lets one request out and no second one."""
    sent: list[aiohttp.ClientRequest] = []

    async def middleware(
        request: aiohttp.ClientRequest,
        handler: aiohttp.ClientHandlerType,
    ) -> aiohttp.ClientResponse:
        if sent:
            raise aiohttp.ClientError('connection dropped before the answer')
        sent.append(request)
        return await handler(request)

    return middleware
