"""Client of the platform's object store."""

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

# Objects whose revision is cached; others are read before a conditional write.
MAX_KNOWN_OBJECTS: typing.Final = 1024

_JSON: typing.Final = types.MappingProxyType(
    {'Content-Type': 'application/json'}
)


class PlatformClient(mode.Service):
    """Asynchronous client of the platform's store.

    Nothing is retried here: callers know which calls may be repeated and how
    long they can wait. Each write is sent at most once: the HTTP library
    silently resends a PUT whose connection was closed, even if it was new,
    and a resent conditional update would conflict with itself.

    A response without an era is of the latest era known.

    Attributes:
        calls: Number of calls of each kind (get, put, delete, list, watch).
    """

    def __init__(self, url: str, timeout: float) -> None:
        """Initialize the client without connecting.

        Args:
            url: Base URL of the platform, for example
                ``http://127.0.0.1:9000``.
            timeout: Timeout of a call, in seconds; the wait of a watch is
                added to it.
        """
        super().__init__()
        self.calls: collections.Counter[str] = collections.Counter()
        self._url = url.rstrip('/')
        self._timeout = timeout
        self._watch_session: aiohttp.ClientSession | None = None
        self._single_session: aiohttp.ClientSession | None = None
        self._unavailable = False
        self._era: int | None = None
        self._known_objects: dict[str, objects.StoredObject] = {}

    async def on_start(self) -> None:
        """Open the connection pools when the service starts."""
        await self.async_setup()

    async def on_stop(self) -> None:
        """Close the connection pools when the service stops."""
        await self.async_stop()

    async def async_setup(self) -> None:
        """Open the connection pools, for use without starting the service.

        Only watches, which follow each other at once, use a connection again.
        One that has been idle may have gone silent meanwhile, and a call on it
        would wait for its timeout.
        """
        if self._watch_session is not None:
            return
        self._watch_session = aiohttp.ClientSession()
        self._single_session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(force_close=True),
        )

    async def async_stop(self) -> None:
        """Close the connection pools."""
        sessions = (self._watch_session, self._single_session)
        self._watch_session = None
        self._single_session = None
        for session in sessions:
            if session is not None:
                await session.close()

    async def async_get(self, key: str) -> objects.StoredObject:
        """Read an object.

        Raises:
            ObjectMissingError: There is no such object.
            PlatformUnavailableError: The platform did not answer.
        """
        response = await self._async_read(
            const.CALL_GET, calls.object_url(self._url, key)
        )
        return self._remember(responses.decode_object(response.body, key))

    async def async_put(
        self, key: str, value: bytes, expected: int | None
    ) -> int:
        """Write an object.

        An unconditional write may take several calls, because the platform
        distinguishes creating an object from replacing it.

        Args:
            key: Kind and name of the object, joined by a slash.
            value: At most ``const.MAX_VALUE_BYTES``.
            expected: Version that the object must have; 0 if it must not
                exist; None writes unconditionally.

        Returns:
            The new version.

        Raises:
            VersionConflictError: The object has another version.
            OutcomeUnknownError: Sent, but the response was lost.
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
        known = await self._async_get_at_version(key, expected)
        return await self._async_write(
            calls.put(self._url, key, value, expected + 1, known.revision)
        )

    async def async_delete(self, key: str, expected: int | None) -> None:
        """Delete an object.

        Raises:
            ObjectMissingError: There is no such object.
            VersionConflictError: The object has another version.
            OutcomeUnknownError: Sent, but the response was lost.
            PlatformUnavailableError: Not sent, nothing changed.
        """
        revision = None
        if expected is not None:
            revision = (
                await self._async_get_at_version(key, expected)
            ).revision
        call = calls.delete(self._url, key, revision)
        response = await self._async_send(call)
        responses.check_write(response, key, deleting=True)
        self._known_objects.pop(key, None)

    async def async_list(self, prefix: str) -> objects.Listing:
        """Read all objects of a kind whose keys start with the prefix.

        Args:
            prefix: Kind, a slash and a prefix of the names.

        Returns:
            The objects, with the revision of the first page: a watch from it
            also shows the changes made while later pages were read.

        Raises:
            HistoryGoneError: The store was restored between two pages.
            PlatformUnavailableError: The platform did not answer.
        """
        kind, _, name_prefix = prefix.partition('/')
        first_page = await self.async_page(kind, '')
        page = first_page
        stored_objects = list(page.objects)
        while page.has_more and page.objects:
            page = await self.async_page(kind, page.objects[-1].name)
            if page.era != first_page.era:
                raise exceptions.HistoryGoneError(prefix)
            stored_objects.extend(page.objects)
        return objects.Listing(
            first_page.revision,
            _filter_by_prefix(stored_objects, name_prefix),
            era=first_page.era,
        )

    async def async_page(self, kind: str, after: str) -> objects.Listing:
        """Read one page of the objects of a kind, ordered by name.

        Args:
            kind: Kind of the objects.
            after: Last name of the previous page; empty for the first page.

        Raises:
            PlatformUnavailableError: The platform did not answer.
        """
        query = {const.QUERY_AFTER: after} if after else None
        response = await self._async_read(
            const.CALL_LIST, calls.kind_url(self._url, kind, query)
        )
        return self._remember_all(
            responses.decode_page(response.body, kind), response
        )

    async def async_watch(
        self, prefix: str, since: int, timeout: float
    ) -> objects.Listing:
        """Wait for writes under the prefix.

        Args:
            prefix: Kind, a slash and a prefix of the names to watch.
            since: Revision after which writes are returned.
            timeout: Longest wait at the platform, in seconds.

        Returns:
            The objects written since then; empty on timeout.

        Raises:
            HistoryGoneError: The platform no longer has the history since
                that revision.
            PlatformUnavailableError: The platform did not answer.
        """
        kind, _, name_prefix = prefix.partition('/')
        query = {
            const.QUERY_WATCH: str(since),
            const.QUERY_WAIT_MS: str(int(timeout * MS_PER_S)),
        }
        response = await self._async_read(
            const.CALL_WATCH,
            calls.kind_url(self._url, kind, query),
            timeout,
        )
        listing = self._remember_all(
            responses.decode_events(response.body, kind), response
        )
        return listing._replace(
            objects=_filter_by_prefix(listing.objects, name_prefix)
        )

    async def _async_read(
        self, kind: str, url: yarl.URL, extra_s: float = 0
    ) -> responses.Response:
        """Send a read; any failure but a missing object means unavailable."""
        self.calls[kind] += 1
        timeout = aiohttp.ClientTimeout(total=self._timeout + extra_s)
        session = _require_session(
            self._watch_session
            if kind == const.CALL_WATCH
            else self._single_session
        )
        try:
            async with session.get(url, timeout=timeout) as http_response:
                response = await responses.async_read(http_response)
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
            self._log_unavailable(kind, error)
            raise exceptions.PlatformUnavailableError(
                f'{kind}: {type(error).__name__} {error}'
            ) from error
        self._note_era(response)
        responses.check_read(response, str(url))
        self._log_available()
        return response

    async def _async_send(self, call: calls.Call) -> responses.Response:
        """Send a write; its outcome is unknown if it fails after connecting."""
        self.calls[call.kind] += 1
        timeout = aiohttp.ClientTimeout(total=self._timeout)
        session = _require_session(self._single_session)
        request = session.request(
            call.kind.upper(),
            call.url,
            headers=_JSON,
            data=call.body,
            timeout=timeout,
            middlewares=(calls.send_once_middleware(),),
        )
        try:
            async with request as http_response:
                response = await responses.async_read(http_response)
        except aiohttp.ClientConnectorError as connect_error:
            self._log_unavailable(call.kind, connect_error)
            raise exceptions.PlatformUnavailableError(
                f'{call.kind}: {type(connect_error).__name__} {connect_error}'
            ) from connect_error
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
            self._log_unavailable(call.kind, error)
            raise exceptions.OutcomeUnknownError(
                f'{call.kind}: {type(error).__name__} {error}'
            ) from error
        self._note_era(response)
        self._log_available()
        return response

    async def _async_write(self, call: calls.Call) -> int:
        """Send a write of a value and return the new version."""
        response = await self._async_send(call)
        responses.check_write(response, call.key, deleting=False)
        try:
            stored = responses.decode_object(response.body, call.key)
        except exceptions.PlatformUnavailableError as error:
            raise exceptions.OutcomeUnknownError(
                f'{call.key}: response has no version'
            ) from error
        return self._remember(stored).version

    async def _async_overwrite(self, key: str, value: bytes) -> int:
        """Replace an object unconditionally, or create it."""
        known = self._known_objects.get(key)
        if known is None:
            try:
                return await self._async_write(
                    calls.post(self._url, key, value)
                )
            except exceptions.VersionConflictError:
                known = await self.async_get(key)
        return await self._async_write(
            calls.put(self._url, key, value, known.version + 1, None)
        )

    async def _async_get_at_version(
        self, key: str, expected: int
    ) -> objects.StoredObject:
        """Return the object at the expected version, with its revision.

        Raises:
            VersionConflictError: The object has another version.
        """
        known = self._known_objects.get(key)
        if known is not None and known.version == expected:
            return known
        try:
            known = await self.async_get(key)
        except exceptions.ObjectMissingError as error:
            raise exceptions.VersionConflictError(key) from error
        if known.version != expected:
            raise exceptions.VersionConflictError(key)
        return known

    def _note_era(self, response: responses.Response) -> None:
        """Forget all revisions when the store was restored from a copy.

        The store assigns them again, so a conditional write with an earlier
        one could replace a value that this process has never read.
        """
        if response.era is None or response.era <= (self._era or 0):
            return
        if self._era is not None:
            _LOGGER.warning(
                'store restored from a copy', era=response.era, former=self._era
            )
        self._era = response.era
        self._known_objects.clear()

    def _remember_all(
        self, listing: objects.Listing, response: responses.Response
    ) -> objects.Listing:
        """Cache the revisions of the objects, and add the era."""
        for stored in listing.objects:
            self._remember(stored)
        era = self._era if response.era is None else response.era
        return listing._replace(era=era or 0)

    def _remember(self, stored: objects.StoredObject) -> objects.StoredObject:
        """Cache the revision of an object, without its value."""
        self._known_objects.pop(stored.key, None)
        if len(self._known_objects) >= MAX_KNOWN_OBJECTS:
            self._known_objects.pop(next(iter(self._known_objects)))
        if not stored.deleted:
            self._known_objects[stored.key] = stored._replace(value=b'')
        return stored

    def _log_unavailable(self, kind: str, error: BaseException) -> None:
        """Log the start of an outage once."""
        if self._unavailable:
            return
        self._unavailable = True
        _LOGGER.warning('platform unavailable', call=kind, error=repr(error))

    def _log_available(self) -> None:
        """Log the end of an outage once."""
        if not self._unavailable:
            return
        self._unavailable = False
        _LOGGER.info('platform available again')


def _require_session(
    session: aiohttp.ClientSession | None,
) -> aiohttp.ClientSession:
    """Return the session; raise before setup and after stop."""
    if session is None:
        raise exceptions.PlatformUnavailableError('client is not set up')
    return session


def _filter_by_prefix(
    stored_objects: abc.Iterable[objects.StoredObject], name_prefix: str
) -> tuple[objects.StoredObject, ...]:
    """Return the objects whose names start with the prefix."""
    return tuple(
        stored
        for stored in stored_objects
        if stored.name.startswith(name_prefix)
    )
