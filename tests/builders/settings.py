"""Builders of settings files."""

import pathlib
import typing

import yaml

Settings = dict[str, typing.Any]

CONTROL_PORT = 7000
STATUS_PORT = 7001
DATA_PORT = 7100
CONSOLE_PORT = 8443
SHARED_KEY = '5a' * 32
SESSION_KEY = 'c3' * 32


class Common(typing.NamedTuple):
    """Settings shared by all processes of a deployment."""

    region: str
    platform_url: str
    statsd: tuple[str, int]
    seeds: tuple[str, ...] = ()
    log_level: str = 'info'


def process(
    common: Common, instance: str, failure_domain: str, address: str
) -> Settings:
    """Build the settings of a balancer, which every process needs."""
    host, port = common.statsd
    return {
        'instance': instance,
        'failure_domain': failure_domain,
        'region': common.region,
        'address': address,
        'control_port': CONTROL_PORT,
        'status_port': STATUS_PORT,
        'platform': {'url': common.platform_url, 'timeout_s': 2.0},
        'seeds': [
            seed for seed in common.seeds if not seed.startswith(f'{address}:')
        ],
        'shared_key_file': 'keys/shared.hex',
        'statsd': {'host': host, 'port': port, 'prefix': 'kumquatport'},
        'log': {'format': 'json', 'level': common.log_level},
    }


def agent(
    common: Common,
    instance: str,
    failure_domain: str,
    address: str,
    service: str,
    backend_server: tuple[str, int],
) -> Settings:
    """Build the settings of the agent of one backend server."""
    host, port = backend_server
    return {
        **process(common, instance, failure_domain, address),
        'service': service,
        'data_port': DATA_PORT,
        'backend_server': {'address': host, 'port': port},
        'tls': {'certificate': 'cert.pem', 'key': 'key.pem'},
    }


def console(
    common: Common,
    instance: str,
    failure_domain: str,
    address: str,
    operators: list[Settings],
) -> Settings:
    """Build the settings of a console."""
    return {
        **process(common, instance, failure_domain, address),
        'tls': {'certificate': 'cert.pem', 'key': 'key.pem'},
        'listen': {'address': address, 'port': CONSOLE_PORT},
        'operators': operators,
        'session_key_file': 'keys/session.hex',
    }


def write_keys(folder: pathlib.Path) -> None:
    """Write the key files that the settings refer to."""
    keys = folder / 'keys'
    keys.mkdir(parents=True, exist_ok=True)
    (keys / 'shared.hex').write_text(f'{SHARED_KEY}\n')
    (keys / 'session.hex').write_text(f'{SESSION_KEY}\n')


def write(folder: pathlib.Path, entries: Settings) -> pathlib.Path:
    """Write one settings file, named after its instance."""
    path = folder / f'{entries["instance"]}.yaml'
    path.write_text(yaml.safe_dump(entries, sort_keys=False))
    return path
