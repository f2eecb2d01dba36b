"""Parts of a request to the platform."""

import base64
import typing

import aiohttp
import msgspec
import yarl

from kumquatport.platform import const


class StoredSpec(msgspec.Struct, forbid_unknown_fields=True):
    """What an object of this project's own kinds holds.

    The platform counts changes of the whole store; conditions of this project
    are on the changes of one object.
    """

    count: int
    data: str


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


def put(
    root: str, key: str, value: bytes, version: int, revision: int | None
) -> Call:
    """Return the call that replaces one object.

    Args:
        root: Root of the platform.
        key: Kind and name.
        value: Bytes to hold.
        version: Version that they get.
        revision: Revision at which the object must have changed last; None
            for any.
    """
    url = object_url(root, key)
    meta: dict[str, typing.Any] = {const.ATTR_NAME: url.name}
    if revision is not None:
        meta[const.ATTR_REVISION] = revision
    return Call(const.CALL_PUT, key, url, _body(meta, value, version))


def post(root: str, key: str, value: bytes) -> Call:
    """Return the call that creates one object, with version 1."""
    url = object_url(root, key)
    meta = {const.ATTR_NAME: url.name}
    return Call(const.CALL_POST, key, url.parent, _body(meta, value, 1))


def delete(root: str, key: str, revision: int | None) -> Call:
    """Return the call that deletes one object."""
    url = object_url(root, key)
    if revision is not None:
        url = url.with_query({const.ATTR_REVISION: str(revision)})
    return Call(const.CALL_DELETE, key, url, None)


def _body(meta: dict[str, typing.Any], value: bytes, version: int) -> bytes:
    own = StoredSpec(version, base64.b64encode(value).decode('ascii'))
    return msgspec.json.encode({const.ATTR_META: meta, const.ATTR_SPEC: own})


def send_once_middleware() -> aiohttp.ClientMiddlewareType:
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
