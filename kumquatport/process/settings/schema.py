"""Schemas of the settings files, one per program."""

import pathlib
import typing

import voluptuous as vol

from kumquatport.process.settings import const, fields, files

_Keys: typing.TypeAlias = dict[vol.Marker, typing.Any]


def balancer(folder: pathlib.Path) -> vol.Schema:
    """Build the schema of a balancer's settings.

    Args:
        folder: Folder of the settings file.
    """
    return vol.Schema(_common_keys(folder) | _control_port_key(required=True))


def agent(folder: pathlib.Path) -> vol.Schema:
    """Build the schema of an agent's settings.

    Args:
        folder: Folder of the settings file.
    """
    keys: _Keys = {
        vol.Required(const.CONF_SERVICE): fields.name,
        vol.Required(const.CONF_DATA_PORT): fields.port,
        vol.Required(const.CONF_BACKEND_SERVER): _endpoint_keys(),
        vol.Required(const.CONF_TLS): _tls_keys(folder),
    }
    return vol.Schema(
        _common_keys(folder) | _control_port_key(required=True) | keys
    )


def console(folder: pathlib.Path) -> vol.Schema:
    """Build the schema of a console's settings.

    Args:
        folder: Folder of the settings file.
    """
    operator_keys: _Keys = {
        vol.Required(const.CONF_NAME): fields.name,
        vol.Required(const.CONF_PASSWORD_HASH): fields.password_hash,
    }
    keys: _Keys = {
        vol.Required(const.CONF_LISTEN): _endpoint_keys(),
        vol.Required(const.CONF_OPERATORS): vol.All(
            [operator_keys], _validate_operators
        ),
        vol.Required(const.CONF_SESSION_KEY_FILE): files.key_file(folder),
        vol.Optional(const.CONF_TLS): _tls_keys(folder),
        vol.Optional(const.CONF_INSTANCES, default=list): [fields.url],
    }
    return vol.Schema(
        _common_keys(folder) | _control_port_key(required=False) | keys
    )


def _common_keys(folder: pathlib.Path) -> _Keys:
    return {
        vol.Required(const.CONF_INSTANCE): fields.name,
        vol.Required(const.CONF_FAILURE_DOMAIN): fields.name,
        vol.Required(const.CONF_REGION): fields.name,
        vol.Required(const.CONF_ADDRESS): fields.address,
        vol.Optional(const.CONF_LISTEN_ADDRESS): fields.address,
        vol.Required(const.CONF_STATUS_PORT): fields.port,
        vol.Required(const.CONF_PLATFORM): _platform_keys(),
        vol.Required(const.CONF_SHARED_KEY_FILE): files.key_file(folder),
        vol.Optional(const.CONF_SEEDS, default=list): vol.All(
            [fields.endpoint],
            vol.Length(
                max=const.MAX_SEEDS,
                msg=f'expected at most {const.MAX_SEEDS} seeds',
            ),
        ),
        vol.Optional(const.CONF_STATSD, default=dict): _statsd_keys(),
        vol.Optional(const.CONF_LOG, default=dict): _log_keys(),
    }


def _control_port_key(*, required: bool) -> _Keys:
    if required:
        return {vol.Required(const.CONF_CONTROL_PORT): fields.port}
    port_key = vol.Optional(const.CONF_CONTROL_PORT, default=0)
    return {port_key: fields.optional_port}


def _platform_keys() -> _Keys:
    timeout_key = vol.Optional(
        const.CONF_TIMEOUT_S, default=const.DEFAULT_PLATFORM_TIMEOUT_S
    )
    return {
        vol.Required(const.CONF_URL): fields.url,
        timeout_key: fields.seconds(const.MAX_PLATFORM_TIMEOUT_S),
    }


def _statsd_keys() -> _Keys:
    host_key = vol.Optional(const.CONF_HOST, default=const.DEFAULT_STATSD_HOST)
    port_key = vol.Optional(const.CONF_PORT, default=const.DEFAULT_STATSD_PORT)
    prefix_key = vol.Optional(
        const.CONF_PREFIX, default=const.DEFAULT_STATSD_PREFIX
    )
    return {
        host_key: fields.address,
        port_key: fields.port,
        prefix_key: fields.metric_prefix,
    }


def _log_keys() -> _Keys:
    format_key = vol.Optional(
        const.CONF_FORMAT, default=const.DEFAULT_LOG_FORMAT
    )
    level_key = vol.Optional(const.CONF_LEVEL, default=const.DEFAULT_LOG_LEVEL)
    return {
        format_key: fields.one_of(const.LOG_FORMATS),
        level_key: fields.one_of(const.LOG_LEVELS),
    }


def _endpoint_keys() -> _Keys:
    return {
        vol.Required(const.CONF_ADDRESS): fields.address,
        vol.Required(const.CONF_PORT): fields.port,
    }


def _tls_keys(folder: pathlib.Path) -> _Keys:
    return {
        vol.Required(const.CONF_CERTIFICATE): files.path_or_object_key(folder),
        vol.Required(const.CONF_KEY): files.path_or_object_key(folder),
    }


def _validate_operators(entries: list[dict[str, str]]) -> list[dict[str, str]]:
    names = {entry[const.CONF_NAME] for entry in entries}
    if not entries or len(names) != len(entries):
        raise vol.Invalid(
            'expected at least one operator and no duplicate names'
        )
    return entries
