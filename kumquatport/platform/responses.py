"""Responses of the platform, converted to typed values and errors."""

import base64
import typing

import aiohttp
import msgspec

from kumquatport import exceptions, objects
from kumquatport.helpers import decoding
from kumquatport.platform import calls, const
from kumquatport.version import routes

# Brackets around the content of an object in each kind of response.
_OBJECT_DEPTH: typing.Final = 1
_PAGE_DEPTH: typing.Final = 3
_EVENTS_DEPTH: typing.Final = 4


class Response(typing.NamedTuple):
    """A complete HTTP response.

    Attributes:
        status: HTTP status code.
        body: Response body.
        era: Era of the store; None if the response does not say.
    """

    status: int
    body: bytes
    era: int | None = None


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
    """Read the whole response."""
    body = await response.read()
    return Response(
        response.status,
        body,
        _parse_era(response.headers.get(const.HEADER_ERA)),
    )


def _parse_era(text: str | None) -> int | None:
    """Parse the era header; a value that cannot be used is none."""
    if text is None or not text.isascii() or not text.isdecimal():
        return None
    if len(text) > len(str(routes.MAX_VERSION)):
        return None
    era = int(text)
    return era if era <= routes.MAX_VERSION else None


def check_read(response: Response, subject: str) -> None:
    """Raise the typed error of a failed read.

    Raises:
        ObjectMissingError: There is no such object.
        HistoryGoneError: The watch starts before the history that the store
            retains.
        PlatformUnavailableError: Any other error status.
    """
    if response.status < const.STATUS_OK_LIMIT:
        return
    if response.status == const.STATUS_MISSING:
        raise exceptions.ObjectMissingError(subject)
    if response.status == const.STATUS_HISTORY_GONE:
        raise exceptions.HistoryGoneError(subject)
    raise exceptions.PlatformUnavailableError(f'{subject}: {response.status}')


def check_write(response: Response, key: str, deleting: bool) -> None:
    """Raise the typed error of a failed write.

    A server error, which may also come from a proxy, does not tell whether the
    write took effect. A 503 tells that it did not.

    Raises:
        VersionConflictError: The object has another version.
        ObjectMissingError: There is no object to delete.
        OutcomeUnknownError: The write may or may not have taken effect.
        PlatformRefusedError: The platform rejected the write; nothing changed.
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
    """Decode a response that contains one object.

    Raises:
        PlatformUnavailableError: The response is malformed.
    """
    return _to_stored_object(key, _decode(body, _Object, _OBJECT_DEPTH))


def decode_page(body: bytes, kind: str) -> objects.Listing:
    """Decode one page of a list response.

    Raises:
        PlatformUnavailableError: The response is malformed.
    """
    found = _decode(body, _Page, _PAGE_DEPTH)
    return objects.Listing(
        found.revision,
        tuple(_to_named_object(kind, item) for item in found.items),
        found.has_more,
    )


def decode_events(body: bytes, kind: str) -> objects.Listing:
    """Decode the response of a watch.

    Raises:
        PlatformUnavailableError: The response is malformed.
    """
    found = _decode(body, _Events, _EVENTS_DEPTH)
    return objects.Listing(
        found.revision,
        tuple(
            _to_named_object(kind, event.changed)._replace(
                deleted=event.deleted
            )
            for event in found.events
        ),
    )


_DecodedT = typing.TypeVar('_DecodedT')


def _decode(
    body: bytes, decoded_type: type[_DecodedT], depth: int
) -> _DecodedT:
    """Decode a response; deeply nested contents of an object become null.

    Args:
        body: JSON text.
        decoded_type: Type of the response.
        depth: Number of brackets around the content of an object.

    Raises:
        PlatformUnavailableError: The response is malformed.
    """
    try:
        return msgspec.json.decode(body, type=decoded_type)
    except RecursionError:
        body = decoding.without_deep_values(body, depth)
    except msgspec.MsgspecError as error:
        raise _malformed(error) from error
    try:
        return msgspec.json.decode(body, type=decoded_type)
    except decoding.MALFORMED as nested_error:
        raise _malformed(nested_error) from nested_error


def _malformed(error: Exception) -> exceptions.PlatformUnavailableError:
    return exceptions.PlatformUnavailableError(f'malformed response: {error}')


def _to_named_object(kind: str, item: _Object) -> objects.StoredObject:
    name = item.meta.name.replace(const.NAME_SEPARATOR, '/')
    return _to_stored_object(f'{kind}/{name}', item)


def _to_stored_object(key: str, item: _Object) -> objects.StoredObject:
    """Decode an object; one of a foreign format keeps its JSON as the value."""
    spec = bytes(item.spec)
    revision = item.meta.revision
    try:
        stored_spec = msgspec.json.decode(spec, type=calls.StoredSpec)
        value = base64.b64decode(stored_spec.data, validate=True)
    except decoding.MALFORMED:
        return objects.StoredObject(key, revision, spec, revision=revision)
    return objects.StoredObject(
        key, stored_spec.count, value, revision=revision
    )
