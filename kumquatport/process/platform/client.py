"""Client of the platform's object API, the only adapter to it."""

import asyncio
import collections
import typing

import aiohttp
import mode
import structlog
import yarl

from kumquatport import exceptions
from kumquatport.process.platform import answers, calls, const, model

_LOGGER = structlog.get_logger(__name__)


class PlatformClient(mode.Service):
    """One process's access to the platform.

    Nothing is retried here: callers know which calls may be repeated and how
    long they can wait. A write leaves this process once: the HTTP library
    silently repeats a PUT whose connection was dropped, a new one too, and a
    repeated conditional update would conflict with itself.

    Attributes:
        calls: Count of calls so far for each kind (get, put, delete, list,
            watch).
    """

    def __init__(self, url: str, timeout: float) -> None:
        """Set up a client that is not yet connected.

        Args:
            url: Root of the platform, for example ``http://127.0.0.1:9000``.
            timeout: Longest time for one call, in seconds; a watch may take
                its own timeout on top.
        """
        super().__init__()
        self.calls: collections.Counter[str] = collections.Counter()
        self._url = url.rstrip('/')
        self._timeout = timeout
        self._reads: aiohttp.ClientSession | None = None
        self._writes: aiohttp.ClientSession | None = None
        self._unavailable = False

    async def on_start(self) -> None:
        """Open the connection pools when the service starts."""
        await self.async_setup()

    async def on_stop(self) -> None:
        """Close the connection pools when the service stops."""
        await self.async_stop()

    async def async_setup(self) -> None:
        """Open the connection pools; usable without starting the service."""
        if self._reads is not None:
            return
        self._reads = aiohttp.ClientSession()
        self._writes = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(force_close=True),
        )

    async def async_stop(self) -> None:
        """Close the connection pools."""
        sessions = (self._reads, self._writes)
        self._reads = None
        self._writes = None
        for session in sessions:
            if session is not None:
                await session.close()

    async def async_get(self, key: str) -> model.StoredObject:
        """Read one object.

        Raises:
            ObjectMissingError: There is no such object.
            PlatformUnavailableError: The platform did not answer.
        """
        answer = await self._async_read(
            const.CALL_GET, calls.object_url(self._url, key)
        )
        return model.StoredObject(key, answer.version, answer.body)

    async def async_put(
        self, key: str, value: bytes, expected: int | None
    ) -> int:
        """Write one object.

        Args:
            key: Name of the object.
            value: At most ``const.MAX_VALUE_BYTES``.
            expected: Version that must be in place; 0 for an object that must
                not exist; None writes unconditionally.

        Returns:
            The new version.

        Raises:
            VersionConflictError: Another version is in place.
            OutcomeUnknownError: Sent, but the answer was lost.
            PlatformUnavailableError: Not sent, nothing changed.
        """
        if len(value) > const.MAX_VALUE_BYTES:
            raise exceptions.PlatformRefusedError(
                f'{key}: {len(value)} bytes exceed {const.MAX_VALUE_BYTES}'
            )
        answer = await self._async_write(
            const.CALL_PUT, key, calls.condition(expected), value
        )
        if answer.version == 0:
            raise exceptions.OutcomeUnknownError(
                f'{key}: answer has no version'
            )
        return answer.version

    async def async_delete(self, key: str, expected: int | None) -> None:
        """Delete one object.

        Raises:
            ObjectMissingError: There is no such object.
            VersionConflictError: Another version is in place.
            OutcomeUnknownError: Sent, but the answer was lost.
            PlatformUnavailableError: Not sent, nothing changed.
        """
        await self._async_write(
            const.CALL_DELETE, key, calls.condition(expected), None
        )

    async def async_list(self, prefix: str) -> model.Listing:
        """Read all objects whose keys start with the prefix.

        Raises:
            PlatformUnavailableError: The platform did not answer.
        """
        url = calls.query_url(self._url, 'objects', {'prefix': prefix})
        answer = await self._async_read(const.CALL_LIST, url)
        return answers.listing(answer.body)

    async def async_watch(
        self, prefix: str, since: int, timeout: float
    ) -> model.Listing:
        """Wait for writes under the prefix.

        Args:
            prefix: Start of the keys to watch.
            since: Revision after which writes count.
            timeout: Longest wait at the platform, in seconds.

        Returns:
            The objects written since, or none when the wait ran out.

        Raises:
            PlatformUnavailableError: The platform did not answer.
        """
        query = {'prefix': prefix, 'since': str(since), 'timeout': f'{timeout}'}
        answer = await self._async_read(
            const.CALL_WATCH,
            calls.query_url(self._url, 'watch', query),
            timeout,
        )
        return answers.listing(answer.body)

    async def _async_read(
        self, kind: str, url: yarl.URL, extra_s: float = 0
    ) -> answers.Answer:
        """Send one read; every failure but a missing object is unavailability."""
        self.calls[kind] += 1
        limit = aiohttp.ClientTimeout(total=self._timeout + extra_s)
        session = _opened(self._reads)
        try:
            async with session.get(url, timeout=limit) as response:
                answer = await answers.async_take(response)
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
            self._note_unavailable(kind, error)
            raise exceptions.PlatformUnavailableError(
                f'{kind}: {type(error).__name__} {error}'
            ) from error
        answers.check_read(answer, str(url))
        self._note_available()
        return answer

    async def _async_write(
        self,
        kind: str,
        key: str,
        headers: typing.Mapping[str, str],
        body: bytes | None,
    ) -> answers.Answer:
        """Send one write; a failure after connecting leaves the outcome open."""
        self.calls[kind] += 1
        limit = aiohttp.ClientTimeout(total=self._timeout)
        session = _opened(self._writes)
        request = session.request(
            kind.upper(),
            calls.object_url(self._url, key),
            headers=headers,
            data=body,
            timeout=limit,
            middlewares=(calls.sent_once(),),
        )
        try:
            async with request as response:
                answer = await answers.async_take(response)
        except aiohttp.ClientConnectorError as unsent:
            self._note_unavailable(kind, unsent)
            raise exceptions.PlatformUnavailableError(
                f'{kind}: {type(unsent).__name__} {unsent}'
            ) from unsent
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
            self._note_unavailable(kind, error)
            raise exceptions.OutcomeUnknownError(
                f'{kind}: {type(error).__name__} {error}'
            ) from error
        answers.check_write(answer, key, body is None)
        self._note_available()
        return answer

    def _note_unavailable(self, kind: str, error: BaseException) -> None:
        """Log an outage once."""
        if self._unavailable:
            return
        self._unavailable = True
        _LOGGER.warning('platform unavailable', call=kind, error=repr(error))

    def _note_available(self) -> None:
        """Log the end of an outage once."""
        if not self._unavailable:
            return
        self._unavailable = False
        _LOGGER.info('platform available again')


def _opened(session: aiohttp.ClientSession | None) -> aiohttp.ClientSession:
    """Return the session, or fail typed before set-up and after stop."""
    if session is None:
        raise exceptions.PlatformUnavailableError('client is not set up')
    return session
