"""Settings of the command line, from its options or a YAML file."""

import getpass
import pathlib
import typing
from collections import abc

import voluptuous

from kumquatport import exceptions
from kumquatport.helpers import yaml
from kumquatport.process.ctl import const
from kumquatport.process.settings import const as settings_const
from kumquatport.process.settings import fields
from kumquatport.version.document import fields as document_fields


class CtlSettings(typing.NamedTuple):
    """What a call of the command line needs.

    Attributes:
        platform_url: Root of the platform.
        operator: Name for the audit.
        instances: Roots of instances' status servers.
    """

    platform_url: str
    operator: str
    instances: tuple[str, ...]


_SCHEMA: typing.Final = voluptuous.Schema(
    {
        voluptuous.Required(const.CONF_PLATFORM): voluptuous.Schema(
            {voluptuous.Required(const.CONF_URL): fields.url},
            extra=voluptuous.ALLOW_EXTRA,
        ),
        voluptuous.Optional(
            const.CONF_OPERATOR, default=''
        ): document_fields.operator,
        voluptuous.Optional(const.CONF_INSTANCES, default=list): [fields.url],
    },
    extra=voluptuous.ALLOW_EXTRA,
)


def load(
    file: str | None,
    platform_url: str | None,
    operator: str | None,
    instances: abc.Sequence[str],
) -> CtlSettings:
    """Return the settings; options go before the file.

    A file with the keys of any process will do, because only ``platform``,
    ``operator`` and ``instances`` are read.

    Raises:
        SettingsError: The file or an option does not fit.
    """
    content: typing.Any = {const.CONF_PLATFORM: {const.CONF_URL: platform_url}}
    if file is not None:
        content = _read(pathlib.Path(file))
    checked = _validate(content, file or 'command line')
    own = _validate_operator(operator or checked[const.CONF_OPERATOR])
    return CtlSettings(
        platform_url or checked[const.CONF_PLATFORM][const.CONF_URL],
        own,
        tuple(instances) or tuple(checked[const.CONF_INSTANCES]),
    )


def _read(file: pathlib.Path) -> object:
    """Return the plain content of a settings file."""
    try:
        with file.open('rb') as stream:
            text = stream.read(settings_const.MAX_SETTINGS_BYTES)
    except OSError as error:
        raise exceptions.SettingsError(
            str(file), 0, '', 'expected a readable file'
        ) from error
    return yaml.parse(text, str(file)).content


def _validate(content: object, file: str) -> dict[str, typing.Any]:
    """Return the content when it fits."""
    try:
        return _SCHEMA(content)
    except voluptuous.MultipleInvalid as invalid:
        first = invalid.errors[0]
        key = '.'.join(str(part) for part in first.path)
        raise exceptions.SettingsError(
            file, 0, key, first.error_message
        ) from invalid


def _validate_operator(name: str) -> str:
    """Return the operator's name, from the shell's user when there is none."""
    try:
        return document_fields.operator(name or _login_name())
    except voluptuous.Invalid as invalid:
        raise exceptions.SettingsError(
            'command line', 0, const.CONF_OPERATOR, invalid.error_message
        ) from invalid


def _login_name() -> str:
    """Return the name of the shell's user."""
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return const.DEFAULT_OPERATOR
