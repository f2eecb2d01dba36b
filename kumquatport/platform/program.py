"""Programs that run on the users' platform."""

# Imported before the libraries.
from kumquatport.process.program import skipped_imports  # noqa: F401, I001 - it acts when imported

import argparse
import asyncio
import pathlib
import typing
from collections import abc

import mode
import structlog

import kumquatport
from kumquatport import exceptions
from kumquatport.platform import configuration, packet, settings
from kumquatport.platform import const as platform_const
from kumquatport.process import logs
from kumquatport.process.packets import (
    http_services,
    models,
    reload,
    store_watch,
)
from kumquatport.process.program import const, runner

_LOGGER = structlog.get_logger(__name__)

ROLE_AGENT: typing.Final = 'agent'
ROLE_BALANCER: typing.Final = 'balancer'

# Long enough for a slow response, short enough to notice a dead connection.
STORE_TIMEOUT_S: typing.Final = 0.9


def main(argv: typing.Sequence[str] | None = None) -> int:
    """Run a program until it stops and return its exit code."""
    options = _build_parser().parse_args(argv)
    logs.setup_stdout('info')
    try:
        source = pathlib.Path(options.settings or settings.path())
        current_settings = _load_settings(source, options.metrics)
    except exceptions.KumquatportError as error:
        _LOGGER.error('settings refused', error=error, role=options.role)
        return const.EXIT_USAGE
    if options.check:
        _LOGGER.info('settings accepted', role=options.role)
        return const.EXIT_GRACEFUL
    logs.bind(current_settings.instance, current_settings.failure_domain)
    return asyncio.run(
        runner.async_run(
            lambda: _create_service(options.role, current_settings, source)
        )
    )


def _load_settings(source: pathlib.Path, metrics_port: int) -> models.Settings:
    return settings.load(source)._replace(metrics_port=metrics_port)


def _settings_loader(
    current_settings: models.Settings,
) -> abc.Callable[[pathlib.Path], models.Settings]:
    """Return a settings loader that preserves command line options."""
    return lambda source: _load_settings(source, current_settings.metrics_port)


def _build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='python3 -m kumquatport.platform', description=__doc__
    )
    parser.add_argument('role', choices=(ROLE_BALANCER, ROLE_AGENT))
    parser.add_argument(
        '--settings',
        metavar='FILE',
        help=f'settings; else the file named by {platform_const.ENVIRONMENT_VARIABLE}',
    )
    parser.add_argument(
        '--metrics',
        metavar='PORT',
        type=int,
        default=0,
        help='TCP port that serves /metrics; not served without it',
    )
    parser.add_argument(
        '--check', action='store_true', help='check the settings and exit'
    )
    parser.add_argument(
        '--version',
        action='version',
        version=f'%(prog)s {kumquatport.__version__}',
    )
    return parser


def _create_service(
    role: str, current_settings: models.Settings, source: pathlib.Path
) -> mode.Service:
    def load_http_services() -> http_services.HttpServices:
        return _create_http_services(current_settings.store.url)

    # Imported here so that a role imports only the modules it uses.
    if role == ROLE_AGENT:
        from kumquatport.process.packets import agent

        service: typing.Any = agent.Agent(
            current_settings, packet.CODEC, load_http_services
        )
        return _with_reload(service, current_settings, source)
    from kumquatport.process.packets import balancer

    operator_objects = store_watch.OperatorObjects(
        configuration.KEY_CONFIGURATION,
        configuration.KIND_EVACUATIONS,
        configuration.decode,
    )
    service = balancer.Balancer(
        current_settings, packet.CODEC, operator_objects, load_http_services
    )
    return _with_reload(service, current_settings, source)


def _create_http_services(url: str) -> http_services.HttpServices:
    """Import and create what depends on the HTTP library."""
    from kumquatport.platform import client, inbound
    from kumquatport.process.packets import http_server, metrics

    return http_services.HttpServices(
        client.PlatformClient(url, STORE_TIMEOUT_S),
        inbound.ready,
        inbound.heartbeats,
        metrics.Metrics(),
        http_server.async_serve,
    )


def _with_reload(
    service: typing.Any, current_settings: models.Settings, source: pathlib.Path
) -> mode.Service:
    """Return the service with reloading of its settings file added."""
    service.add_dependency(
        reload.Reloader(
            source,
            current_settings,
            _settings_loader(current_settings),
            service.apply_settings,
        )
    )
    return typing.cast(mode.Service, service)
