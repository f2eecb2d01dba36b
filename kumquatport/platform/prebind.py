"""Bind the sockets of a process before its program is imported."""

import os
import sys
import tomllib
import typing
from collections import abc

from kumquatport import exceptions
from kumquatport.connection.forward import prebound
from kumquatport.platform import const
from kumquatport.process.packets import const as packets_const

# Arguments with which the process binds no sockets, or other ones.
_SKIP_ARGUMENTS: typing.Final = frozenset(
    ('--check', '--help', '-h', '--version', '--settings')
)

# Errors that a missing or malformed settings file can raise.
_SETTINGS_ERRORS: typing.Final = (
    OSError,
    ValueError,
    LookupError,
    TypeError,
    AttributeError,
)


def bind() -> None:
    """Bind the packet sockets, if this process uses any."""
    source = os.environ.get(const.ENVIRONMENT_VARIABLE, '')
    if not source or _SKIP_ARGUMENTS.intersection(sys.argv):
        return
    try:
        with open(source, 'rb') as stream:
            endpoints = list(_endpoints(tomllib.load(stream)))
        for endpoint in endpoints:
            prebound.bind(endpoint, packets_const.RECEIVE_BUFFER_BYTES)
    except _SETTINGS_ERRORS:
        # The program validates the settings later and reports the error.
        return
    except exceptions.StartError:
        # The program tries to bind it again and reports the error.
        return


def _endpoints(
    settings: dict[str, typing.Any],
) -> abc.Iterator[tuple[str, int]]:
    listen = settings['Listen']
    packet_endpoint = listen.get('outbound') or listen['DatagramAddr']
    address, _, port = packet_endpoint.rpartition(':')
    yield address, int(port)
    yield settings['Ip'], settings['InternalPorts'][0]
