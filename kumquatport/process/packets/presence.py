"""Whether the process of the backend server beside an agent is there."""

import asyncio
import typing

import structlog

_LOGGER = structlog.get_logger(__name__)

# Seconds until a connection on one machine is made or refused, many times
# over; a process that stands still takes none and refuses none.
CONNECT_TIMEOUT_S: typing.Final = 0.5


async def async_is_absent(endpoint: tuple[str, int]) -> bool:
    """Tell whether nobody listens at the backend server's port.

    The kernel refuses a connection only then. A time-out proves nothing: the
    process may stand still.

    Args:
        endpoint: Where the backend server listens, on this machine.
    """
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, writer = await asyncio.open_connection(*endpoint)
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError) as error:
        _LOGGER.warning(
            'backend server not looked for', error=type(error).__name__
        )
        return False
    writer.transport.abort()
    return False
