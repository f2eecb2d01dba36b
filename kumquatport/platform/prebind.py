"""The sockets of a process, bound from its settings before all is loaded."""

import os
import sys
import tomllib
import typing
from collections import abc

from kumquatport import exceptions
from kumquatport.connection.forward import prebound
from kumquatport.platform import const
from kumquatport.process.packets import const as packets_const

# With one of these the process takes no packets, or has other settings.
_OTHER: typing.Final = frozenset(
    ('--check', '--help', '-h', '--version', '--settings')
)

# What a file that is no settings file, or none at all, may raise.
_MALFORMED: typing.Final = (
    OSError,
    ValueError,
    LookupError,
    TypeError,
    AttributeError,
)


def bind() -> None:
    """Bind the sockets for packets, if this process is to take any."""
    source = os.environ.get(const.ENVIRONMENT_VARIABLE, '')
    if not source or _OTHER.intersection(sys.argv):
        return
    try:
        with open(source, 'rb') as stream:
            endpoints = list(_endpoints(tomllib.load(stream)))
        for endpoint in endpoints:
            prebound.bind(endpoint, packets_const.RECEIVE_BUFFER_BYTES)
    except _MALFORMED:
        # The check of the settings, which follows, says what is wrong.
        return
    except exceptions.StartError:
        # The start binds it again, and says that it cannot.
        return


def _endpoints(
    settings: dict[str, typing.Any],
) -> abc.Iterator[tuple[str, int]]:
    listen = settings['Listen']
    packets = listen.get('outbound') or listen['DatagramAddr']
    address, _, port = packets.rpartition(':')
    yield address, int(port)
    yield settings['Ip'], settings['InternalPorts'][0]
