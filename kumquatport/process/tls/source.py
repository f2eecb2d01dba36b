"""Read certificates and keys from files or from the platform."""

import asyncio
import datetime
import pathlib
from collections import abc

from kumquatport import const, exceptions
from kumquatport.process.settings import models
from kumquatport.process.tls import const as tls_const
from kumquatport.process.tls import material

ReadObject = abc.Callable[[str], abc.Awaitable[bytes]]


def uses_platform(settings: models.TlsSettings) -> bool:
    """Return whether the certificate or the key is a platform object."""
    return any(
        source.startswith(const.PLATFORM_REFERENCE_PREFIX)
        for source in settings
    )


def load_from_files(settings: models.TlsSettings) -> material.Material | None:
    """Load and validate material from files, for ``--check``.

    Returns:
        The material; None if any of it is a platform object.

    Raises:
        TlsMaterialError: The files are unreadable or not valid.
    """
    if uses_platform(settings):
        return None
    pem = material.Pem(
        certificate=_read_file(settings.certificate),
        key=models.Secret(_read_file(settings.key)),
    )
    return material.parse(pem, settings, _now())


async def async_load(
    settings: models.TlsSettings, read_object: ReadObject | None
) -> material.Material:
    """Load and validate material.

    Args:
        settings: Sources of the certificate and the key.
        read_object: Reads a platform object by its key; None if there is no
            platform.

    Raises:
        TlsMaterialError: The material is unreadable or not valid.
        PlatformUnavailableError: The platform did not answer.
    """
    pem = await async_read(settings, read_object)
    return material.parse(pem, settings, _now())


async def async_read(
    settings: models.TlsSettings, read_object: ReadObject | None
) -> material.Pem:
    """Read material without validating it; raises like ``async_load``."""
    certificate = await _async_read(settings.certificate, read_object)
    key = await _async_read(settings.key, read_object)
    return material.Pem(certificate, models.Secret(key))


async def _async_read(source: str, read_object: ReadObject | None) -> bytes:
    prefix = const.PLATFORM_REFERENCE_PREFIX
    if not source.startswith(prefix):
        return await asyncio.to_thread(_read_file, source)
    if read_object is None:
        raise _unreadable(source)
    try:
        return await read_object(source.removeprefix(prefix))
    except exceptions.ObjectMissingError as err:
        raise _unreadable(source) from err


def _read_file(source: str) -> bytes:
    try:
        with pathlib.Path(source).open('rb') as stream:
            return stream.read(tls_const.MAX_PEM_BYTES)
    except (OSError, ValueError) as err:
        raise _unreadable(source) from err


def _unreadable(source: str) -> exceptions.TlsMaterialError:
    return exceptions.TlsMaterialError(exceptions.TlsReason.UNREADABLE, source)


def _now() -> datetime.datetime:
    return datetime.datetime.now(tz=datetime.UTC)
