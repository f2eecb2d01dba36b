"""Routes passed from one instance to another over TCP."""

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
    """Answer each connection with the routes in force.

    Args:
        endpoint: Where to listen.
        encoded: Returns the routes.

    Raises:
        StartError: The address or port cannot be had.
    """

    async def answer(
        _reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        body = encoded()
        try:
            async with asyncio.timeout(const.FETCH_TIMEOUT_S):
                writer.write(_LENGTH.pack(len(body)) + body)
                await writer.drain()
        except (OSError, TimeoutError):
            # Whoever asked asks again.
            writer.transport.abort()
        else:
            writer.close()

    try:
        return await asyncio.start_server(answer, *endpoint)
    except OSError as error:
        raise exceptions.StartError(f'cannot bind {endpoint}') from error


async def async_fetch(endpoint: tuple[str, int]) -> bytes:
    """Return the routes of another instance.

    Raises:
        PeerUnavailableError: It did not answer in time.
    """
    try:
        async with asyncio.timeout(const.FETCH_TIMEOUT_S):
            return await _async_read(endpoint)
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        raise exceptions.PeerUnavailableError(
            f'{endpoint[0]}: {type(error).__name__}'
        ) from error


async def _async_read(endpoint: tuple[str, int]) -> bytes:
    reader, writer = await asyncio.open_connection(*endpoint)
    try:
        head = await reader.readexactly(_LENGTH.size)
        size = int.from_bytes(head)
        if size > const.MAX_ROUTES_BYTES:
            raise exceptions.PeerUnavailableError(f'{endpoint[0]}: {size} B')
        return await reader.readexactly(size)
    finally:
        writer.transport.abort()
