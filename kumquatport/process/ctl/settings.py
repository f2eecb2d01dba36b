"""Settings of kumquatportctl, from its options or a YAML file."""

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
    """Settings of one command.

    Attributes:
        platform_url: Root URL of the platform.
        operator: Operator name for the audit entry.
        instances: Root URLs of the status servers of instances.
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
    """Load the settings; options take precedence over the file.

    The settings file of any process can be used, because only ``platform``,
    ``operator`` and ``instances`` are read.

    Raises:
        SettingsError: The file cannot be read, or the file or an option is
            not valid.
    """
    content: typing.Any = {const.CONF_PLATFORM: {const.CONF_URL: platform_url}}
    if file is not None:
        content = _read(pathlib.Path(file))
    validated = _validate(content, file or 'command line')
    operator_name = _validate_operator(
        operator or validated[const.CONF_OPERATOR]
    )
    return CtlSettings(
        platform_url or validated[const.CONF_PLATFORM][const.CONF_URL],
        operator_name,
        tuple(instances) or tuple(validated[const.CONF_INSTANCES]),
    )


def _read(file: pathlib.Path) -> object:
    """Return the parsed content of a settings file."""
    try:
        with file.open('rb') as stream:
            text = stream.read(settings_const.MAX_SETTINGS_BYTES)
    except OSError as error:
        raise exceptions.SettingsError(
            str(file), 0, '', 'expected a readable file'
        ) from error
    return yaml.parse(text, str(file)).content


def _validate(content: object, file: str) -> dict[str, typing.Any]:
    """Return the content after validation against the schema."""
    try:
        return _SCHEMA(content)
    except voluptuous.MultipleInvalid as invalid:
        first_error = invalid.errors[0]
        key = '.'.join(str(segment) for segment in first_error.path)
        raise exceptions.SettingsError(
            file, 0, key, first_error.error_message
        ) from invalid


def _validate_operator(name: str) -> str:
    """Return the operator name, by default the login name."""
    try:
        return document_fields.operator(name or _login_name())
    except voluptuous.Invalid as invalid:
        raise exceptions.SettingsError(
            'command line', 0, const.CONF_OPERATOR, invalid.error_message
        ) from invalid


def _login_name() -> str:
    """Return the login name of the user, or a default if it is not known."""
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return const.DEFAULT_OPERATOR
