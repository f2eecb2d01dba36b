"""Publishes a newly accepted document to some balancers directly."""

import asyncio
import typing
from collections import abc

from kumquatport import exceptions
from kumquatport.connection.control import client
from kumquatport.version.replication import const, delta, messages

_PUBLISHER_ORIGIN: typing.Final = ''


async def async_publish(
    control_client: client.ControlClient,
    endpoints: abc.Iterable[str],
    version: int,
    encoded: bytes,
) -> int:
    """Push an accepted document to balancers.

    They replicate it to the others even if the platform fails now.

    Args:
        control_client: Started client.
        endpoints: Control endpoints of a few balancers.
        version: Version that the platform assigned.
        encoded: Bytes of the platform's object.

    Returns:
        Number of endpoints that now hold this version or a higher one.
    """
    message = messages.DocumentPush(
        _PUBLISHER_ORIGIN, '', delta.full_update(version, encoded)
    )
    versions = await asyncio.gather(
        *(
            _async_push(control_client, endpoint, message)
            for endpoint in endpoints
        ),
    )
    return sum(known_version >= version for known_version in versions)


async def _async_push(
    control_client: client.ControlClient,
    endpoint: str,
    message: messages.DocumentPush,
) -> int:
    try:
        answer = await control_client.async_ask(
            endpoint, message, const.PUSH_TIMEOUT_S
        )
    except exceptions.PeerUnavailableError:
        return 0
    return int(answer.version)
