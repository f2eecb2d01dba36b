"""Answers of the platform, turned into typed values and errors."""

import base64
import json
import typing

import aiohttp

from kumquatport import exceptions
from kumquatport.process.platform import const, model


class Answer(typing.NamedTuple):
    """One HTTP answer, read to its end.

    Attributes:
        status: HTTP status code.
        version: Version of the object, 0 when the answer names none.
        body: The bytes.
    """

    status: int
    version: int
    body: bytes


async def async_take(response: aiohttp.ClientResponse) -> Answer:
    """Read an answer to its end."""
    version = response.headers.get(const.HEADER_VERSION, '')
    body = await response.read()
    number = int(version) if version.isdecimal() else 0
    return Answer(response.status, number, body)


def check_read(answer: Answer, subject: str) -> None:
    """Raise the typed error of a read that was not answered with its value.

    Raises:
        ObjectMissingError: There is no such object.
        PlatformUnavailableError: Any other refusal or fault.
    """
    if answer.status < const.STATUS_OK_LIMIT:
        return
    if answer.status == const.STATUS_MISSING:
        raise exceptions.ObjectMissingError(subject)
    raise exceptions.PlatformUnavailableError(f'{subject}: {answer.status}')


def check_write(answer: Answer, key: str, deleting: bool) -> None:
    """Raise the typed error of a write that was not answered as done.

    A fault of the server, also one reported by something in between, says
    nothing about whether the write took effect.

    Raises:
        VersionConflictError: Another version is in place.
        ObjectMissingError: A delete found no object.
        OutcomeUnknownError: The write may or may not have taken effect.
        PlatformRefusedError: The platform refused; nothing changed.
    """
    status = answer.status
    if status < const.STATUS_OK_LIMIT:
        return
    if status == const.STATUS_MISSING and deleting:
        raise exceptions.ObjectMissingError(key)
    if status in {const.STATUS_CONFLICT, const.STATUS_MISSING}:
        raise exceptions.VersionConflictError(key)
    if (
        status >= const.STATUS_SERVER_FAULT
        or status == const.STATUS_REQUEST_TIMEOUT
    ):
        raise exceptions.OutcomeUnknownError(f'{key}: {status}')
    raise exceptions.PlatformRefusedError(f'{key}: {status}')


def listing(body: bytes) -> model.Listing:
    """Decode the answer of a list or a watch.

    Raises:
        PlatformUnavailableError: The answer is malformed.
    """
    try:
        return _decode_listing(json.loads(body))
    except (ValueError, KeyError, TypeError) as error:
        raise exceptions.PlatformUnavailableError(
            f'malformed listing: {error!r}'
        ) from error


def _decode_listing(answer: dict[str, typing.Any]) -> model.Listing:
    """Turn a decoded listing into typed objects."""
    stored = tuple(_decode_object(row) for row in answer[const.ATTR_OBJECTS])
    return model.Listing(int(answer[const.ATTR_REVISION]), stored)


def _decode_object(row: dict[str, typing.Any]) -> model.StoredObject:
    """Turn one row of a listing into a typed object."""
    return model.StoredObject(
        key=row[const.ATTR_KEY],
        version=int(row[const.ATTR_VERSION]),
        value=base64.b64decode(row.get(const.ATTR_VALUE) or ''),
        deleted=bool(row.get(const.ATTR_DELETED)),
    )
