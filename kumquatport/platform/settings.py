"""Read the settings file that the platform writes for each process."""

import os
import pathlib
import tomllib
import typing

import voluptuous as vol

from kumquatport import exceptions
from kumquatport.platform import const
from kumquatport.process.packets import models

_MS_PER_S: typing.Final = 1000.0
_BYTES_PER_MEGABIT: typing.Final = 125_000


def _parse_endpoint(text: object) -> models.Endpoint:
    address, separator, port = str(text).rpartition(':')
    if not separator or not port.isdecimal():
        raise vol.Invalid('expected ADDRESS:PORT')
    return models.Endpoint(address, int(port))


_NON_NEGATIVE_NUMBER: typing.Final = vol.All(
    vol.Any(int, float), vol.Range(min=0)
)

_POSITIVE_NUMBER: typing.Final = vol.All(
    vol.Any(int, float), vol.Range(min=0, min_included=False)
)

_SCHEMA: typing.Final = vol.Schema(
    {
        vol.Required('NodeName'): vol.All(str, vol.Length(min=1)),
        vol.Required('Ip'): str,
        vol.Required('Zone'): str,
        vol.Required('Region'): str,
        vol.Required('InternalPorts'): vol.All([int], vol.Length(min=2)),
        vol.Optional('Seeds', default=list): [_parse_endpoint],
        vol.Optional('Bootstrap', default=False): bool,
        vol.Optional('HeartbeatMs', default=1000): _NON_NEGATIVE_NUMBER,
        vol.Optional('Service', default=''): str,
        # Own key, which the template of a deployment may add.
        vol.Optional('ScheduleByClass', default=False): bool,
        vol.Optional('app'): _parse_endpoint,
        vol.Required('Listen'): vol.Schema(
            {
                vol.Required('DatagramAddr'): _parse_endpoint,
                vol.Required('Ready'): _parse_endpoint,
                vol.Optional('Control'): _parse_endpoint,
                vol.Optional('outbound'): _parse_endpoint,
            },
            extra=vol.ALLOW_EXTRA,
        ),
        vol.Optional('Limits', default=dict): vol.Schema(
            {vol.Optional('LinkMbps', default=0): _NON_NEGATIVE_NUMBER},
            extra=vol.ALLOW_EXTRA,
        ),
        vol.Required('Bounds'): vol.Schema(
            {
                vol.Optional('WarmupFactor', default=1.0): _NON_NEGATIVE_NUMBER,
                vol.Optional('WarmupSlack', default=0): _NON_NEGATIVE_NUMBER,
                vol.Optional('ReorderMs', default=2000): _NON_NEGATIVE_NUMBER,
                vol.Optional('FlowTtlS', default=60): _NON_NEGATIVE_NUMBER,
                vol.Optional('GraceS', default=5): _NON_NEGATIVE_NUMBER,
                vol.Optional('DrainMs', default=3000): _NON_NEGATIVE_NUMBER,
                vol.Optional('ConfigApplyMs', default=4000): _POSITIVE_NUMBER,
                vol.Optional('EvacMs', default=4000): _POSITIVE_NUMBER,
            },
            extra=vol.ALLOW_EXTRA,
        ),
        vol.Required('platform'): vol.Schema(
            {
                vol.Required('Address'): _parse_endpoint,
                vol.Optional('HistoryS', default=20): _NON_NEGATIVE_NUMBER,
            },
            extra=vol.ALLOW_EXTRA,
        ),
    },
    extra=vol.ALLOW_EXTRA,
)


def path() -> pathlib.Path:
    """Return the path of the settings file.

    Raises:
        SettingsError: The environment variable is not set.
    """
    file_path = os.environ.get(const.ENVIRONMENT_VARIABLE, '')
    if not file_path:
        raise exceptions.SettingsError(
            const.ENVIRONMENT_VARIABLE,
            0,
            '',
            'expected the path of a settings file',
        )
    return pathlib.Path(file_path)


def load(source: pathlib.Path) -> models.Settings:
    """Read the settings of this process.

    Raises:
        SettingsError: The file is missing, malformed or invalid.
    """
    try:
        text = source.read_text('utf-8')
        checked = _SCHEMA(tomllib.loads(text))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise exceptions.SettingsError(
            str(source), 0, '', str(error)
        ) from error
    except vol.Invalid as error:
        first, *others = _list_errors(error)
        raise exceptions.SettingsError(
            str(source),
            0,
            _format_key(first),
            '; '.join(
                (
                    first.error_message,
                    *(
                        f'{_format_key(other)}: {other.error_message}'
                        for other in others
                    ),
                )
            ),
        ) from error
    return _to_settings(checked)


def _list_errors(invalid: vol.Invalid) -> list[vol.Invalid]:
    if isinstance(invalid, vol.MultipleInvalid):
        return list(invalid.errors)
    return [invalid]


def _format_key(invalid: vol.Invalid) -> str:
    return '.'.join(str(part) for part in invalid.path)


def _to_settings(checked: dict[str, typing.Any]) -> models.Settings:
    listen = checked['Listen']
    packet_endpoint = listen['DatagramAddr']
    outbound = listen.get('outbound')
    is_agent = outbound is not None
    return models.Settings(
        instance=checked['NodeName'],
        failure_domain=checked['Zone'],
        region=checked['Region'],
        address=checked['Ip'],
        peer_port=checked['InternalPorts'][0],
        ready=listen['Ready'],
        entry=None if is_agent else packet_endpoint,
        # Clients receive packets on the same port as the instances.
        client_port=packet_endpoint.port,
        heartbeats=listen.get('Control') if is_agent else None,
        outbound=outbound,
        backend_server=checked.get('app'),
        service=checked['Service'],
        heartbeat_s=checked['HeartbeatMs'] / _MS_PER_S,
        seeds=tuple(seed.address for seed in checked['Seeds']),
        is_first_start=checked['Bootstrap'],
        store=_to_store_settings(checked['platform']),
        bounds=_to_bounds(checked['Bounds']),
        schedules_by_class=checked['ScheduleByClass'],
        link_bytes_per_s=checked['Limits']['LinkMbps'] * _BYTES_PER_MEGABIT,
    )


def _to_store_settings(section: dict[str, typing.Any]) -> models.StoreSettings:
    endpoint = section['Address']
    return models.StoreSettings(
        f'http://{endpoint.address}:{endpoint.port}', section['HistoryS']
    )


def _to_bounds(section: dict[str, typing.Any]) -> models.Bounds:
    return models.Bounds(
        cold_factor=section['WarmupFactor'],
        cold_slack=section['WarmupSlack'],
        reorder_s=section['ReorderMs'] / _MS_PER_S,
        flow_ttl_s=section['FlowTtlS'],
        grace_s=section['GraceS'],
        drain_s=section['DrainMs'] / _MS_PER_S,
        apply_s=section['ConfigApplyMs'] / _MS_PER_S,
        evacuate_s=section['EvacMs'] / _MS_PER_S,
    )
