"""Validators of settings that refer to files.

Paths are relative to the folder of the settings file.
"""

import pathlib
import typing

import voluptuous as vol

from kumquatport import const
from kumquatport.process.settings import const as settings_const
from kumquatport.process.settings import fields, models

_KEY_HEX_DIGITS: typing.Final = settings_const.KEY_BYTES * 2


def path_or_object_key(folder: pathlib.Path) -> fields.Validator:
    """Return a validator of a path or ``platform:KEY``.

    Args:
        folder: Folder of the settings file.
    """

    def validate(candidate: object) -> str:
        source = fields.non_empty_string(candidate)
        if not source.startswith(const.PLATFORM_REFERENCE_PREFIX):
            return str(folder / source)
        if source == const.PLATFORM_REFERENCE_PREFIX:
            raise vol.Invalid('expected a path or platform:KEY')
        return source

    return validate


def key_file(folder: pathlib.Path) -> fields.Validator:
    """Return a validator that reads the key from a file of 64 hex digits.

    Errors never contain the content of the file, since it is secret.

    Args:
        folder: Folder of the settings file.
    """

    def read_key(candidate: object) -> models.Secret:
        path = folder / fields.non_empty_string(candidate)
        reason = f'expected {path} to hold {_KEY_HEX_DIGITS} hex digits'
        try:
            digits = path.read_bytes()[: _KEY_HEX_DIGITS * 2].strip()
        except (OSError, ValueError) as err:
            raise vol.Invalid(f'expected {path} to be readable') from err
        if len(digits) != _KEY_HEX_DIGITS:
            raise vol.Invalid(reason)
        try:
            return models.Secret(bytes.fromhex(digits.decode('ascii')))
        except ValueError:
            raise vol.Invalid(reason) from None

    return read_key
