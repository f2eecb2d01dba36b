"""Settings of the programs: one YAML file for each process."""

import pathlib
import typing
from collections import abc

import voluptuous as vol

from kumquatport import exceptions
from kumquatport.helpers import yaml
from kumquatport.process.settings import const, models, schema

_ValidatedSettings: typing.TypeAlias = dict[str, typing.Any]
_SchemaBuilder: typing.TypeAlias = abc.Callable[[pathlib.Path], vol.Schema]


def load_balancer(path: str | pathlib.Path) -> models.BalancerSettings:
    """Load the settings of a balancer.

    Raises:
        SettingsError: The file is missing or malformed, or a setting is
            not valid.
    """
    validated = _load(path, schema.balancer)
    return models.BalancerSettings(common=_build_common_settings(validated))


def load_agent(path: str | pathlib.Path) -> models.AgentSettings:
    """Load the settings of an agent.

    Raises:
        SettingsError: The file is missing or malformed, or a setting is
            not valid.
    """
    validated = _load(path, schema.agent)
    return models.AgentSettings(
        common=_build_common_settings(validated),
        service=validated[const.CONF_SERVICE],
        data_port=validated[const.CONF_DATA_PORT],
        backend_server=models.Endpoint(**validated[const.CONF_BACKEND_SERVER]),
        tls=models.TlsSettings(**validated[const.CONF_TLS]),
    )


def load_console(path: str | pathlib.Path) -> models.ConsoleSettings:
    """Load the settings of a console.

    Raises:
        SettingsError: The file is missing or malformed, or a setting is
            not valid.
    """
    validated = _load(path, schema.console)
    tls = validated.get(const.CONF_TLS)
    return models.ConsoleSettings(
        common=_build_common_settings(validated),
        listen=models.Endpoint(**validated[const.CONF_LISTEN]),
        operators=tuple(
            models.OperatorSettings(**entry)
            for entry in validated[const.CONF_OPERATORS]
        ),
        session_key=validated[const.CONF_SESSION_KEY_FILE],
        tls=models.TlsSettings(**tls) if tls else None,
        instances=tuple(validated[const.CONF_INSTANCES]),
    )


def _load(
    path: str | pathlib.Path, build_schema: _SchemaBuilder
) -> _ValidatedSettings:
    file = pathlib.Path(path)
    parsed = yaml.parse(_read_file(file), str(file))
    try:
        return build_schema(file.absolute().parent)(parsed.content)
    except vol.MultipleInvalid as err:
        raise _settings_error(str(file), parsed.lines, err) from None


def _read_file(file: pathlib.Path) -> bytes:
    try:
        with file.open('rb') as stream:
            content = stream.read(const.MAX_SETTINGS_BYTES + 1)
    except (OSError, ValueError) as err:
        reason = 'expected a readable file'
        raise exceptions.SettingsError(str(file), 0, '', reason) from err
    if len(content) > const.MAX_SETTINGS_BYTES:
        reason = f'expected at most {const.MAX_SETTINGS_BYTES} bytes'
        raise exceptions.SettingsError(str(file), 0, '', reason)
    return content


def _settings_error(
    file: str, lines: dict[yaml.KeyPath, int], err: vol.MultipleInvalid
) -> exceptions.SettingsError:
    # The first error is reported. Missing keys of a section have the same line
    # number; comparing the key names too makes the choice deterministic.
    line, key, expected = min(
        _locate_error(lines, error) for error in err.errors
    )
    return exceptions.SettingsError(file, line, key, expected)


def _locate_error(
    lines: dict[yaml.KeyPath, int], error: vol.Invalid
) -> tuple[int, str, str]:
    """Return the line, the dotted key and what was expected there."""
    path = _key_path(error)
    key = '.'.join(str(part) for part in path)
    expected = _describe_expected(error.error_message)
    return yaml.line_of(lines, path), key, expected


def _key_path(error: vol.Invalid) -> yaml.KeyPath:
    return tuple(
        part if isinstance(part, int) else str(part) for part in error.path
    )


def _describe_expected(message: str) -> str:
    if message == 'extra keys not allowed':
        return 'unknown key, expected none of this name'
    if message == 'required key not provided':
        return 'missing, expected this key'
    return message


def _build_common_settings(
    validated: _ValidatedSettings,
) -> models.CommonSettings:
    return models.CommonSettings(
        instance=validated[const.CONF_INSTANCE],
        failure_domain=validated[const.CONF_FAILURE_DOMAIN],
        region=validated[const.CONF_REGION],
        address=validated[const.CONF_ADDRESS],
        listen_address=(
            validated.get(const.CONF_LISTEN_ADDRESS)
            or validated[const.CONF_ADDRESS]
        ),
        control_port=validated[const.CONF_CONTROL_PORT],
        status_port=validated[const.CONF_STATUS_PORT],
        platform=models.PlatformSettings(**validated[const.CONF_PLATFORM]),
        seeds=tuple(validated[const.CONF_SEEDS]),
        shared_key=validated[const.CONF_SHARED_KEY_FILE],
        statsd=models.StatsdSettings(**validated[const.CONF_STATSD]),
        log=models.LogSettings(**validated[const.CONF_LOG]),
    )
