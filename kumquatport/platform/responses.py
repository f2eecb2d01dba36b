"""Answers of the platform, turned into typed values and errors."""

import base64
import binascii
import typing

import aiohttp
import msgspec

from kumquatport import exceptions, objects
from kumquatport.platform import calls, const


class Response(typing.NamedTuple):
    """One HTTP answer, read to its end.

    Attributes:
        status: HTTP status code.
        body: The bytes.
    """

    status: int
    body: bytes


class _Meta(msgspec.Struct):
    name: str = msgspec.field(name='Name')
    # Revision of the store at which the object last changed.
    revision: int = msgspec.field(name='Revision')


class _Object(msgspec.Struct):
    meta: _Meta
    spec: msgspec.Raw = msgspec.Raw(b'null')


class _Page(msgspec.Struct):
    items: list[_Object]
    # Revision of the whole store, not of an object.
    revision: int = msgspec.field(name='StoreRevision')
    has_more: bool = msgspec.field(name='HasMore', default=False)


class _Event(msgspec.Struct):
    changed: _Object = msgspec.field(name='Object')
    deleted: bool = msgspec.field(name='Deleted', default=False)


class _Events(msgspec.Struct):
    events: list[_Event]
    revision: int = msgspec.field(name='StoreRevision')


async def async_read(response: aiohttp.ClientResponse) -> Response:
    """Read an answer to its end."""
    return Response(response.status, await response.read())


def check_read(response: Response, subject: str) -> None:
    """Raise the typed error of a read that was not answered with its value.

    Raises:
        ObjectMissingError: There is no such object.
        HistoryGoneError: A watch began before what the store remembers.
        PlatformUnavailableError: Any other refusal or fault.
    """
    if response.status < const.STATUS_OK_LIMIT:
        return
    if response.status == const.STATUS_MISSING:
        raise exceptions.ObjectMissingError(subject)
    if response.status == const.STATUS_HISTORY_GONE:
        raise exceptions.HistoryGoneError(subject)
    raise exceptions.PlatformUnavailableError(f'{subject}: {response.status}')


def check_write(response: Response, key: str, deleting: bool) -> None:
    """Raise the typed error of a write that was not answered as done.

    A fault of the server, also one reported by something in between, says
    nothing about whether the write took effect; a 503 says that it did not.

    Raises:
        VersionConflictError: Another version is in place.
        ObjectMissingError: A delete found no object.
        OutcomeUnknownError: The write may or may not have taken effect.
        PlatformRefusedError: The platform refused; nothing changed.
    """
    status = response.status
    if status < const.STATUS_OK_LIMIT:
        return
    if status == const.STATUS_MISSING and deleting:
        raise exceptions.ObjectMissingError(key)
    if status in {const.STATUS_CONFLICT, const.STATUS_MISSING}:
        raise exceptions.VersionConflictError(key)
    if status == const.STATUS_UNAVAILABLE:
        raise exceptions.PlatformRefusedError(f'{key}: {status}')
    if (
        status >= const.STATUS_SERVER_FAULT
        or status == const.STATUS_REQUEST_TIMEOUT
    ):
        raise exceptions.OutcomeUnknownError(f'{key}: {status}')
    raise exceptions.PlatformRefusedError(f'{key}: {status}')


def decode_object(body: bytes, key: str) -> objects.StoredObject:
    """Decode the answer that holds one object.

    Raises:
        PlatformUnavailableError: The answer is malformed.
    """
    return _object(key, _decoded(body, _Object))


def decode_page(body: bytes, kind: str) -> objects.Listing:
    """Decode one page of a list.

    Raises:
        PlatformUnavailableError: The answer is malformed.
    """
    found = _decoded(body, _Page)
    return objects.Listing(
        found.revision,
        tuple(_named(kind, row) for row in found.items),
        found.has_more,
    )


def events(body: bytes, kind: str) -> objects.Listing:
    """Decode the answer of a watch.

    Raises:
        PlatformUnavailableError: The answer is malformed.
    """
    found = _decoded(body, _Events)
    return objects.Listing(
        found.revision,
        tuple(
            _named(kind, event.changed)._replace(deleted=event.deleted)
            for event in found.events
        ),
    )


_ShapeT = typing.TypeVar('_ShapeT')


def _decoded(body: bytes, shape: type[_ShapeT]) -> _ShapeT:
    try:
        return msgspec.json.decode(body, type=shape)
    except msgspec.MsgspecError as error:
        raise exceptions.PlatformUnavailableError(
            f'malformed answer: {error}'
        ) from error


def _named(kind: str, row: _Object) -> objects.StoredObject:
    name = row.meta.name.replace(const.NAME_SEPARATOR, '/')
    return _object(f'{kind}/{name}', row)


def _object(key: str, row: _Object) -> objects.StoredObject:
    """Read an object; one that this project did not write stays as it is."""
    spec = bytes(row.spec)
    revision = row.meta.revision
    try:
        own = msgspec.json.decode(spec, type=calls.StoredSpec)
        value = base64.b64decode(own.data, validate=True)
    except (msgspec.MsgspecError, binascii.Error):
        return objects.StoredObject(key, revision, spec, revision=revision)
    return objects.StoredObject(key, own.count, value, revision=revision)
