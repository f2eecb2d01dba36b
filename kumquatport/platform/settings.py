"""The settings file that the platform writes for each process."""

import os
import pathlib
import tomllib
import typing

import voluptuous as vol

from kumquatport import exceptions
from kumquatport.platform import const
from kumquatport.process.packets import models

_MS_PER_S: typing.Final = 1000.0


def _endpoint(text: object) -> models.Endpoint:
    address, separator, port = str(text).rpartition(':')
    if not separator or not port.isdecimal():
        raise vol.Invalid('expected ADDRESS:PORT')
    return models.Endpoint(address, int(port))


_NUMBER: typing.Final = vol.All(vol.Any(int, float), vol.Range(min=0))

_SCHEMA: typing.Final = vol.Schema(
    {
        vol.Required('NodeName'): vol.All(str, vol.Length(min=1)),
        vol.Required('Ip'): str,
        vol.Required('Zone'): str,
        vol.Required('Region'): str,
        vol.Required('InternalPorts'): vol.All([int], vol.Length(min=2)),
        vol.Optional('Seeds', default=list): [_endpoint],
        vol.Optional('Bootstrap', default=False): bool,
        vol.Optional('HeartbeatMs', default=1000): _NUMBER,
        vol.Optional('Service', default=''): str,
        vol.Optional('app'): _endpoint,
        vol.Required('Listen'): vol.Schema(
            {
                vol.Required('DatagramAddr'): _endpoint,
                vol.Required('Ready'): _endpoint,
                vol.Optional('Control'): _endpoint,
                vol.Optional('outbound'): _endpoint,
            },
            extra=vol.ALLOW_EXTRA,
        ),
        vol.Required('Bounds'): vol.Schema(
            {
                vol.Optional('WarmupFactor', default=1.0): _NUMBER,
                vol.Optional('WarmupSlack', default=0): _NUMBER,
                vol.Optional('ReorderMs', default=2000): _NUMBER,
                vol.Optional('FlowTtlS', default=60): _NUMBER,
                vol.Optional('GraceS', default=5): _NUMBER,
                vol.Optional('DrainMs', default=3000): _NUMBER,
            },
            extra=vol.ALLOW_EXTRA,
        ),
        vol.Required('platform'): vol.Schema(
            {
                vol.Required('Address'): _endpoint,
                vol.Optional('HistoryS', default=20): _NUMBER,
            },
            extra=vol.ALLOW_EXTRA,
        ),
    },
    extra=vol.ALLOW_EXTRA,
)


def path() -> pathlib.Path:
    """Return where the platform has put the settings file.

    Raises:
        SettingsError: The environment does not name it.
    """
    found = os.environ.get(const.ENVIRONMENT_VARIABLE, '')
    if not found:
        raise exceptions.SettingsError(
            const.ENVIRONMENT_VARIABLE,
            0,
            '',
            'expected the path of a settings file',
        )
    return pathlib.Path(found)


def load(source: pathlib.Path) -> models.Settings:
    """Read the settings of this process.

    Raises:
        SettingsError: The file is missing, malformed or does not fit.
    """
    try:
        text = source.read_text('utf-8')
        checked = _SCHEMA(tomllib.loads(text))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise exceptions.SettingsError(
            str(source), 0, '', str(error)
        ) from error
    except vol.Invalid as error:
        key = '.'.join(str(part) for part in error.path)
        raise exceptions.SettingsError(
            str(source), 0, key, error.error_message
        ) from error
    return _settings(checked)


def _settings(checked: dict[str, typing.Any]) -> models.Settings:
    listen = checked['Listen']
    packets = listen['DatagramAddr']
    outbound = listen.get('outbound')
    is_agent = outbound is not None
    return models.Settings(
        instance=checked['NodeName'],
        failure_domain=checked['Zone'],
        region=checked['Region'],
        address=checked['Ip'],
        peer_port=checked['InternalPorts'][0],
        ready=listen['Ready'],
        entry=None if is_agent else packets,
        # Clients listen on the port that instances use for packets.
        client_port=packets.port,
        heartbeats=listen.get('Control') if is_agent else None,
        outbound=outbound,
        backend_server=checked.get('app'),
        service=checked['Service'],
        heartbeat_s=checked['HeartbeatMs'] / _MS_PER_S,
        seeds=tuple(seed.address for seed in checked['Seeds']),
        is_first_start=checked['Bootstrap'],
        store=_store(checked['platform']),
        bounds=_bounds(checked['Bounds']),
    )


def _store(section: dict[str, typing.Any]) -> models.StoreSettings:
    where = section['Address']
    return models.StoreSettings(
        f'http://{where.address}:{where.port}', section['HistoryS']
    )


def _bounds(section: dict[str, typing.Any]) -> models.Bounds:
    return models.Bounds(
        cold_factor=section['WarmupFactor'],
        cold_slack=section['WarmupSlack'],
        reorder_s=section['ReorderMs'] / _MS_PER_S,
        flow_ttl_s=section['FlowTtlS'],
        grace_s=section['GraceS'],
        drain_s=section['DrainMs'] / _MS_PER_S,
    )
