"""Transfer of routes between instances over TCP."""

import asyncio
import struct
import typing
from collections import abc

from kumquatport import exceptions
from kumquatport.process.packets import const

_LENGTH: typing.Final = struct.Struct('!I')


async def async_serve(
    endpoint: tuple[str, int], encoded: abc.Callable[[], bytes]
) -> asyncio.Server:
    """Serve the current routes to each connection.

    Args:
        endpoint: IPv4 address and port to listen on.
        encoded: Returns the encoded routes.

    Raises:
        StartError: The address or port cannot be bound.
    """

    async def send_routes(
        _reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        body = encoded()
        try:
            async with asyncio.timeout(const.FETCH_TIMEOUT_S):
                writer.write(_LENGTH.pack(len(body)) + body)
                await writer.drain()
        except (OSError, TimeoutError):
            # The peer retries the fetch.
            writer.transport.abort()
        else:
            writer.close()

    try:
        return await asyncio.start_server(send_routes, *endpoint)
    except OSError as error:
        raise exceptions.StartError(f'cannot bind {endpoint}') from error


async def async_fetch(endpoint: tuple[str, int]) -> bytes:
    """Fetch the encoded routes of another instance.

    Raises:
        PeerUnavailableError: The instance did not answer in time, or the
            routes are too large.
    """
    try:
        async with asyncio.timeout(const.FETCH_TIMEOUT_S):
            return await _async_read(endpoint)
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        raise exceptions.PeerUnavailableError(
            f'{endpoint[0]}: {type(error).__name__}'
        ) from error


async def _async_read(endpoint: tuple[str, int]) -> bytes:
    async with asyncio.timeout(const.FETCH_CONNECT_TIMEOUT_S):
        reader, writer = await asyncio.open_connection(*endpoint)
    try:
        header = await reader.readexactly(_LENGTH.size)
        size = int.from_bytes(header)
        if size > const.MAX_ROUTES_BYTES:
            raise exceptions.PeerUnavailableError(
                f'{endpoint[0]}: routes of {size} B are too large'
            )
        return await reader.readexactly(size)
    finally:
        writer.transport.abort()
