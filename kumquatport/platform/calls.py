"""Build requests to the platform's store."""

import base64
import typing

import aiohttp
import msgspec
import yarl

from kumquatport.platform import const

# Largest count of changes that is taken for one.
_MAX_COUNT: typing.Final = 2**53


class StoredSpec(msgspec.Struct, forbid_unknown_fields=True):
    """Content of an object that this project writes.

    It carries its own count of changes, because the platform's revision counts
    the changes of the whole store, while conditional writes of this project
    refer to the changes of one object.
    """

    count: typing.Annotated[int, msgspec.Meta(ge=0, le=_MAX_COUNT)]
    data: str


class Call(typing.NamedTuple):
    """A write request.

    Attributes:
        kind: One of ``const.CALL_*``; the HTTP method in lower case.
        key: Kind and name of the object.
        url: Target URL.
        body: JSON text; None for an empty body.
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
    """Return the URL of an object.

    Slashes in the name are replaced, because the platform does not allow them.
    """
    kind, _, name = key.partition('/')
    return kind_url(root, kind) / name.replace('/', const.NAME_SEPARATOR)


def put(
    root: str, key: str, value: bytes, version: int, revision: int | None
) -> Call:
    """Return the call that replaces an object.

    Args:
        root: Base URL of the platform.
        key: Kind and name of the object.
        value: New content.
        version: Version of the new content.
        revision: Expected current revision of the object; None writes
            unconditionally.
    """
    url = object_url(root, key)
    meta: dict[str, typing.Any] = {const.ATTR_NAME: url.name}
    if revision is not None:
        meta[const.ATTR_REVISION] = revision
    return Call(const.CALL_PUT, key, url, _body(meta, value, version))


def post(root: str, key: str, value: bytes) -> Call:
    """Return the call that creates an object with version 1."""
    url = object_url(root, key)
    meta = {const.ATTR_NAME: url.name}
    return Call(const.CALL_POST, key, url.parent, _body(meta, value, 1))


def delete(root: str, key: str, revision: int | None) -> Call:
    """Return the call that deletes an object."""
    url = object_url(root, key)
    if revision is not None:
        url = url.with_query({const.ATTR_REVISION: str(revision)})
    return Call(const.CALL_DELETE, key, url, None)


def _body(meta: dict[str, typing.Any], value: bytes, version: int) -> bytes:
    stored_spec = StoredSpec(version, base64.b64encode(value).decode('ascii'))
    return msgspec.json.encode(
        {const.ATTR_META: meta, const.ATTR_SPEC: stored_spec}
    )


def send_once_middleware() -> aiohttp.ClientMiddlewareType:
    """Return a middleware that passes one request and fails any resend."""
    sent: list[aiohttp.ClientRequest] = []

    async def middleware(
        request: aiohttp.ClientRequest,
        handler: aiohttp.ClientHandlerType,
    ) -> aiohttp.ClientResponse:
        if sent:
            raise aiohttp.ClientError('connection closed before the response')
        sent.append(request)
        return await handler(request)

    return middleware
