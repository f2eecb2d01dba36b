"""Hand a document that was just accepted to some processes at once."""

import asyncio
import typing
from collections import abc

from kumquatport import exceptions
from kumquatport.connection.control import client
from kumquatport.version.replication import const, delta, messages

_PUBLISHER: typing.Final = ''


async def async_publish(
    control_client: client.ControlClient,
    endpoints: abc.Iterable[str],
    version: int,
    encoded: bytes,
) -> int:
    """Push an accepted document, so that it spreads if the platform fails now.

    Args:
        control_client: Started client.
        endpoints: Control endpoints of a few balancers.
        version: Version that the platform gave it.
        encoded: The object's bytes.

    Returns:
        How many of the endpoints hold that version, or a higher one, now.
    """
    message = messages.DocumentPush(
        _PUBLISHER, '', delta.full_update(version, encoded)
    )
    known = await asyncio.gather(
        *(
            _async_push(control_client, endpoint, message)
            for endpoint in endpoints
        ),
    )
    return sum(held >= version for held in known)


async def _async_push(
    asker: client.ControlClient,
    endpoint: str,
    message: messages.DocumentPush,
) -> int:
    try:
        answer = await asker.async_ask(endpoint, message, const.PUSH_TIMEOUT_S)
    except exceptions.PeerUnavailableError:
        return 0
    return int(answer.version)
