"""Check whether the backend server process of an agent exists."""

import asyncio
import typing

import structlog

_LOGGER = structlog.get_logger(__name__)

# Seconds to wait for a connection on the same host to be accepted or refused,
# which normally takes far less. A frozen process does neither.
CONNECT_TIMEOUT_S: typing.Final = 0.5


async def async_is_absent(endpoint: tuple[str, int]) -> bool:
    """Return whether no process listens on the backend server's port.

    Only then the kernel refuses a connection. A timeout is no proof, since the
    process may be frozen.

    Args:
        endpoint: Endpoint of the backend server, on this host.
    """
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, writer = await asyncio.open_connection(*endpoint)
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError) as error:
        _LOGGER.warning(
            'backend server check failed', error=type(error).__name__
        )
        return False
    writer.transport.abort()
    return False
