"""Client of the platform's store, the only one in the project."""

import asyncio
import collections
import types
import typing
from collections import abc

import aiohttp
import mode
import structlog
import yarl

from kumquatport import exceptions, objects
from kumquatport.platform import calls, const, responses

_LOGGER = structlog.get_logger(__name__)

MS_PER_S: typing.Final = 1000

# Objects whose revision is remembered; others are read before a conditional
# write.
MAX_KNOWN_OBJECTS: typing.Final = 1024

_JSON: typing.Final = types.MappingProxyType(
    {'Content-Type': 'application/json'}
)


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
        self._read_session: aiohttp.ClientSession | None = None
        self._write_session: aiohttp.ClientSession | None = None
        self._unavailable = False
        self._known_objects: dict[str, objects.StoredObject] = {}

    async def on_start(self) -> None:
        """Open the connection pools when the service starts."""
        await self.async_setup()

    async def on_stop(self) -> None:
        """Close the connection pools when the service stops."""
        await self.async_stop()

    async def async_setup(self) -> None:
        """Open the connection pools; usable without starting the service."""
        if self._read_session is not None:
            return
        self._read_session = aiohttp.ClientSession()
        self._write_session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(force_close=True),
        )

    async def async_stop(self) -> None:
        """Close the connection pools."""
        sessions = (self._read_session, self._write_session)
        self._read_session = None
        self._write_session = None
        for session in sessions:
            if session is not None:
                await session.close()

    async def async_get(self, key: str) -> objects.StoredObject:
        """Read one object.

        Raises:
            ObjectMissingError: There is no such object.
            PlatformUnavailableError: The platform did not answer.
        """
        answer = await self._async_read(
            const.CALL_GET, calls.object_url(self._url, key)
        )
        return self._remember(responses.decode_object(answer.body, key))

    async def async_put(
        self, key: str, value: bytes, expected: int | None
    ) -> int:
        """Write one object.

        An unconditional write of an object that does not exist creates it,
        with a second call.

        Args:
            key: Kind and name of the object, joined by a slash.
            value: At most ``const.MAX_VALUE_BYTES`` as encoded.
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
        if expected == 0:
            return await self._async_write(calls.post(self._url, key, value))
        if expected is None:
            return await self._async_overwrite(key, value)
        seen = await self._async_get_at_version(key, expected)
        return await self._async_write(
            calls.put(self._url, key, value, expected + 1, seen.revision)
        )

    async def async_delete(self, key: str, expected: int | None) -> None:
        """Delete one object.

        Raises:
            ObjectMissingError: There is no such object.
            VersionConflictError: Another version is in place.
            OutcomeUnknownError: Sent, but the answer was lost.
            PlatformUnavailableError: Not sent, nothing changed.
        """
        revision = None
        if expected is not None:
            revision = (
                await self._async_get_at_version(key, expected)
            ).revision
        call = calls.delete(self._url, key, revision)
        answer = await self._async_send(call)
        responses.check_write(answer, key, deleting=True)
        self._known_objects.pop(key, None)

    async def async_list(self, prefix: str) -> objects.Listing:
        """Read all objects of a kind whose keys start with the prefix.

        Args:
            prefix: Kind, a slash and the start of the names.

        Returns:
            The objects, with the revision of the first page, from which a
            watch shows what changed while the others were read.

        Raises:
            PlatformUnavailableError: The platform did not answer.
        """
        kind, _, start = prefix.partition('/')
        page = await self.async_page(kind, '')
        revision = page.revision
        found = list(page.objects)
        while page.has_more and page.objects:
            page = await self.async_page(kind, page.objects[-1].name)
            found.extend(page.objects)
        return objects.Listing(revision, _starting(found, start))

    async def async_page(self, kind: str, after: str) -> objects.Listing:
        """Read one page of the objects of a kind, in the order of names.

        Args:
            kind: Of objects.
            after: Name after which the page begins.

        Raises:
            PlatformUnavailableError: The platform did not answer.
        """
        query = {const.QUERY_AFTER: after} if after else None
        answer = await self._async_read(
            const.CALL_LIST, calls.kind_url(self._url, kind, query)
        )
        return self._remember_all(responses.decode_page(answer.body, kind))

    async def async_watch(
        self, prefix: str, since: int, timeout: float
    ) -> objects.Listing:
        """Wait for writes under the prefix.

        Args:
            prefix: Kind, a slash and the start of the names to watch.
            since: Revision after which writes count.
            timeout: Longest wait at the platform, in seconds.

        Returns:
            The objects written since, or none when the wait ran out.

        Raises:
            HistoryGoneError: The platform forgot what came after ``since``.
            PlatformUnavailableError: The platform did not answer.
        """
        kind, _, start = prefix.partition('/')
        query = {
            const.QUERY_WATCH: str(since),
            const.QUERY_WAIT_MS: str(int(timeout * MS_PER_S)),
        }
        answer = await self._async_read(
            const.CALL_WATCH,
            calls.kind_url(self._url, kind, query),
            timeout,
        )
        listing = self._remember_all(responses.events(answer.body, kind))
        return listing._replace(objects=_starting(listing.objects, start))

    async def _async_read(
        self, kind: str, url: yarl.URL, extra_s: float = 0
    ) -> responses.Response:
        """Send one read; every failure but a missing object is unavailability."""
        self.calls[kind] += 1
        limit = aiohttp.ClientTimeout(total=self._timeout + extra_s)
        session = _opened(self._read_session)
        try:
            async with session.get(url, timeout=limit) as response:
                answer = await responses.async_read(response)
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
            self._note_unavailable(kind, error)
            raise exceptions.PlatformUnavailableError(
                f'{kind}: {type(error).__name__} {error}'
            ) from error
        responses.check_read(answer, str(url))
        self._note_available()
        return answer

    async def _async_send(self, call: calls.Call) -> responses.Response:
        """Send one write; a failure after connecting leaves the outcome open."""
        self.calls[call.kind] += 1
        limit = aiohttp.ClientTimeout(total=self._timeout)
        session = _opened(self._write_session)
        request = session.request(
            call.kind.upper(),
            call.url,
            headers=_JSON,
            data=call.body,
            timeout=limit,
            middlewares=(calls.send_once_middleware(),),
        )
        try:
            async with request as response:
                answer = await responses.async_read(response)
        except aiohttp.ClientConnectorError as unsent:
            self._note_unavailable(call.kind, unsent)
            raise exceptions.PlatformUnavailableError(
                f'{call.kind}: {type(unsent).__name__} {unsent}'
            ) from unsent
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
            self._note_unavailable(call.kind, error)
            raise exceptions.OutcomeUnknownError(
                f'{call.kind}: {type(error).__name__} {error}'
            ) from error
        self._note_available()
        return answer

    async def _async_write(self, call: calls.Call) -> int:
        """Send a write that carries a value; return the new version."""
        answer = await self._async_send(call)
        responses.check_write(answer, call.key, deleting=False)
        try:
            stored = responses.decode_object(answer.body, call.key)
        except exceptions.PlatformUnavailableError as error:
            raise exceptions.OutcomeUnknownError(
                f'{call.key}: answer has no version'
            ) from error
        return self._remember(stored).version

    async def _async_overwrite(self, key: str, value: bytes) -> int:
        """Write an object whatever it holds, or create it."""
        seen = self._known_objects.get(key)
        if seen is None:
            try:
                return await self._async_write(
                    calls.post(self._url, key, value)
                )
            except exceptions.VersionConflictError:
                seen = await self.async_get(key)
        return await self._async_write(
            calls.put(self._url, key, value, seen.version + 1, None)
        )

    async def _async_get_at_version(
        self, key: str, expected: int
    ) -> objects.StoredObject:
        """Return the object at a version, to learn its revision.

        Raises:
            VersionConflictError: Another version is in place.
        """
        seen = self._known_objects.get(key)
        if seen is not None and seen.version == expected:
            return seen
        try:
            seen = await self.async_get(key)
        except exceptions.ObjectMissingError as error:
            raise exceptions.VersionConflictError(key) from error
        if seen.version != expected:
            raise exceptions.VersionConflictError(key)
        return seen

    def _remember_all(self, listing: objects.Listing) -> objects.Listing:
        for stored in listing.objects:
            self._remember(stored)
        return listing

    def _remember(self, stored: objects.StoredObject) -> objects.StoredObject:
        """Remember the revision of an object, not its value."""
        self._known_objects.pop(stored.key, None)
        if len(self._known_objects) >= MAX_KNOWN_OBJECTS:
            self._known_objects.pop(next(iter(self._known_objects)))
        if not stored.deleted:
            self._known_objects[stored.key] = stored._replace(value=b'')
        return stored

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


def _starting(
    found: abc.Iterable[objects.StoredObject], start: str
) -> tuple[objects.StoredObject, ...]:
    """Return the objects whose names start with the given text."""
    return tuple(stored for stored in found if stored.name.startswith(start))
