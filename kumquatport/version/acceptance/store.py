"""Reading the document in force from the platform."""

import asyncio

from kumquatport import exceptions, objects
from kumquatport.version import document
from kumquatport.version.acceptance import const, model, retries
from kumquatport.version.document import const as document_const


async def async_read_in_force(
    client: objects.ObjectStore,
    retry_window_s: float = const.READ_RETRY_WINDOW_S,
) -> model.DocumentInForce:
    """Read the document in force, repeating the read for a while.

    Args:
        client: Access to the platform.
        retry_window_s: Seconds during which a failed read is repeated.

    Raises:
        PlatformUnavailableError: The platform did not answer in that time.
        DocumentRejectedError: The stored document is not valid.
    """
    failure: exceptions.KumquatportError | None = None
    async for _ in retries.async_attempts(retry_window_s):
        try:
            return await async_read_once(client)
        except exceptions.PlatformUnavailableError as error:
            failure = error
    raise exceptions.PlatformUnavailableError(str(failure)) from failure


async def async_read_once(client: objects.ObjectStore) -> model.DocumentInForce:
    """Read the document in force with one call.

    Raises:
        PlatformUnavailableError: The platform did not answer.
        DocumentRejectedError: The stored document is not valid.
    """
    try:
        stored = await client.async_get(document_const.DOCUMENT_KEY)
    except exceptions.ObjectMissingError:
        return model.DocumentInForce(0, document.empty(), b'')
    # A large document takes long enough to hold up everything else.
    parsed = await asyncio.to_thread(document.parse, stored.value)
    return model.DocumentInForce(stored.version, parsed, stored.value)
