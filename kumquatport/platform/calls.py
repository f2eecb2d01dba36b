"""Parts of a request to the platform."""

import base64
import typing

import aiohttp
import msgspec
import yarl

from kumquatport.platform import const


class Call(typing.NamedTuple):
    """One write.

    Attributes:
        kind: One of ``const.CALL_*``; the HTTP method in lower case.
        key: Kind and name of the object.
        url: Where it goes.
        body: JSON text; None for none.
    """

    kind: str
    key: str
    url: yarl.URL
    body: bytes | None


def kind_url(
    root: str, kind: str, query: typing.Mapping[str, str] | None = None
) -> yarl.URL:
    """Return the URL of a kind of objects."""
    url = yarl.URL(root) / const.PATH_OBJECTS / kind
    return url.with_query(query) if query else url


def object_url(root: str, key: str) -> yarl.URL:
    """Return the URL of one object; the platform's names hold no slash."""
    kind, _, name = key.partition('/')
    return kind_url(root, kind) / name.replace('/', const.NAME_SEPARATOR)


def put(root: str, key: str, value: bytes, expected: int | None) -> Call:
    """Return the call that writes one object.

    Args:
        root: Root of the platform.
        key: Kind and name.
        value: Bytes to hold.
        expected: Version that must be in place; 0 for an object that must
            not exist; None writes unconditionally.
    """
    url = object_url(root, key)
    meta: dict[str, typing.Any] = {const.ATTR_NAME: url.name}
    kind = const.CALL_PUT
    if expected == 0:
        kind = const.CALL_POST
        url = url.parent
    elif expected is not None:
        meta[const.ATTR_REVISION] = expected
    text = base64.b64encode(value).decode('ascii')
    body = msgspec.json.encode({const.ATTR_META: meta, const.ATTR_SPEC: text})
    return Call(kind, key, url, body)


def delete(root: str, key: str, expected: int | None) -> Call:
    """Return the call that deletes one object."""
    url = object_url(root, key)
    if expected is not None:
        url = url.with_query({const.ATTR_REVISION: str(expected)})
    return Call(const.CALL_DELETE, key, url, None)


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
