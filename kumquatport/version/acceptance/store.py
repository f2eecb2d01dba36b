"""Read the document in force from the platform's store."""

import asyncio

from kumquatport import exceptions, objects
from kumquatport.version import document
from kumquatport.version.acceptance import const, model, retries
from kumquatport.version.document import const as document_const


async def async_read_in_force(
    client: objects.ObjectStore,
    retry_window_s: float = const.READ_RETRY_WINDOW_S,
) -> model.DocumentInForce:
    """Read the document in force, retrying while the platform is unavailable.

    Args:
        client: Object store of the platform.
        retry_window_s: Time during which a failed read is retried, in seconds.

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
    """Read the document in force with a single call.

    Raises:
        PlatformUnavailableError: The platform did not answer.
        DocumentRejectedError: The stored document is not valid.
    """
    try:
        stored = await client.async_get(document_const.DOCUMENT_KEY)
    except exceptions.ObjectMissingError:
        return model.DocumentInForce(0, document.empty(), b'')
    # Parsing a large document would block the event loop for too long.
    parsed = await asyncio.to_thread(document.parse, stored.value)
    return model.DocumentInForce(stored.version, parsed, stored.value)
