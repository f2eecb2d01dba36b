"""Programs that run on the users' platform."""

# Before the libraries.
from kumquatport.process.program import omitted  # noqa: F401, I001 - it acts when imported

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
    models,
    http_services,
    reload,
    store_watch,
)
from kumquatport.process.program import const, runner

_LOGGER = structlog.get_logger(__name__)

ROLE_AGENT: typing.Final = 'agent'
ROLE_BALANCER: typing.Final = 'balancer'

# Seconds for one call to the store; a slow answer is worth waiting for, but a
# connection may also have gone silent.
STORE_TIMEOUT_S: typing.Final = 0.9


def main(argv: typing.Sequence[str] | None = None) -> int:
    """Run a program until it is stopped; return its exit code."""
    options = _parser().parse_args(argv)
    logs.setup_output('info')
    try:
        source = pathlib.Path(options.settings or settings.path())
        own = _load(source, options.metrics)
    except exceptions.KumquatportError as error:
        _LOGGER.error('settings refused', error=error, role=options.role)
        return const.EXIT_USAGE
    if options.check:
        _LOGGER.info('settings accepted', role=options.role)
        return const.EXIT_GRACEFUL
    logs.bind(own.instance, own.failure_domain)
    return asyncio.run(
        runner.async_run(lambda: _service(options.role, own, source))
    )


def _load(source: pathlib.Path, metrics_port: int) -> models.Settings:
    return settings.load(source)._replace(metrics_port=metrics_port)


def _keeping(
    own: models.Settings,
) -> abc.Callable[[pathlib.Path], models.Settings]:
    """Return a reader of settings that keeps what the command line said."""
    return lambda source: _load(source, own.metrics_port)


def _parser() -> argparse.ArgumentParser:
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
        help='TCP port of the metrics, at /metrics; none without it',
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


def _service(
    role: str, own: models.Settings, source: pathlib.Path
) -> mode.Service:
    def load() -> http_services.HttpServices:
        return _outside(own.store.url)

    # Imported here, so that a role loads what it uses and nothing else.
    if role == ROLE_AGENT:
        from kumquatport.process.packets import agent

        service: typing.Any = agent.Agent(own, packet.CODEC, load)
        return _reloaded(service, own, source)
    from kumquatport.process.packets import balancer

    operators = store_watch.OperatorObjects(
        configuration.KEY_CONFIGURATION,
        configuration.KIND_EVACUATIONS,
        configuration.decode,
    )
    service = balancer.Balancer(own, packet.CODEC, operators, load)
    return _reloaded(service, own, source)


def _outside(url: str) -> http_services.HttpServices:
    """Load what needs the HTTP library."""
    from kumquatport.platform import client, inbound
    from kumquatport.process.packets import http_server, metrics

    return http_services.HttpServices(
        client.PlatformClient(url, STORE_TIMEOUT_S),
        inbound.ready,
        inbound.heartbeats,
        metrics.Metrics(),
        http_server.async_serve,
    )


def _reloaded(
    service: typing.Any, own: models.Settings, source: pathlib.Path
) -> mode.Service:
    """Return a service that follows its settings file."""
    service.add_dependency(
        reload.Reloader(source, own, _keeping(own), service.apply_settings)
    )
    return typing.cast(mode.Service, service)
