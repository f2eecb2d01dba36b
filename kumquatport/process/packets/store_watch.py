"""Routes and failure domains taken out, as the store has them.

Load pattern: a store that is away, or refuses some instances, while a
deployment of hundreds starts again, and configurations in quick succession.
Each call is priced, so the instances that ask do so once for both parts while
nothing comes back, rarely where others are served, and once for several
changes.
"""

import asyncio
import math
import typing
from collections import abc

import mode
import structlog

from kumquatport import exceptions, objects
from kumquatport.helpers import backoff, clock
from kumquatport.process.logs import faults
from kumquatport.process.packets import const, known_configuration, mesh
from kumquatport.version import routes

_LOGGER = structlog.get_logger(__name__)

ROUTES: typing.Final = 'routes'
DOMAINS: typing.Final = 'domains'


class OperatorObjects(typing.NamedTuple):
    """How operators write to the store.

    Attributes:
        routes_key: Key of the object with the routes.
        domains_kind: Kind of the objects that each take out the failure
            domain of their name.
        decode_routes: Reads the routes; raises ``DocumentRejectedError``.
    """

    routes_key: str
    domains_kind: str
    decode_routes: abc.Callable[[bytes], routes.RouteTable]


class StoreWatch(mode.Service):
    """Watches the store while this process is one of those that do.

    A few instances watch and the others hear from them. One that has heard
    of no confirmation for a while joins, by its rank, since the store may
    refuse or not reach just the ones that watch.
    """

    def __init__(
        self,
        operators: OperatorObjects,
        store: objects.ObjectStore,
        held: known_configuration.KnownConfiguration,
        peers: mesh.Mesh,
    ) -> None:
        """Set up.

        Args:
            operators: How operators write.
            store: The platform's store.
            held: Beliefs of this process.
            peers: The other instances.
        """
        super().__init__()
        self._operator_objects = operators
        self._store = store
        self._configuration = held
        self._mesh = peers
        self._report = faults.reporter(_LOGGER, 'store lost', 'store regained')
        self._retries = {ROUTES: _retries(), DOMAINS: _retries()}
        self._confirmed_at: dict[str, float] = {}
        self._failed_at: dict[str, float] = {}
        self._domains: set[str] = set()
        self._routes_available = asyncio.Event()
        self._routes_available.set()

    async def on_start(self) -> None:
        """Begin to watch when it is this process's turn."""
        self.add_future(self._async_run(ROUTES, self._async_watch_routes))
        self.add_future(self._async_run(DOMAINS, self._async_watch_domains))

    def is_watcher(self) -> bool:
        """Tell whether this process is to ask the store."""
        names = self._mesh.live_balancers()
        own = self._mesh.own_record.current.instance
        rank = names.index(own) if own in names else len(names)
        return should_watch(rank, self._configuration.age_s)

    async def _async_run(
        self,
        part: str,
        watch: abc.Callable[[], abc.Awaitable[None]],
    ) -> None:
        while not self.should_stop:
            if part == DOMAINS:
                await self._routes_available.wait()
            if self.is_watcher():
                await self._async_try(part, watch)
            else:
                await self.sleep(backoff.jittered(const.WATCH_POLL_S))

    async def _async_try(
        self,
        part: str,
        watch: abc.Callable[[], abc.Awaitable[None]],
    ) -> None:
        try:
            await watch()
        except exceptions.HistoryGoneError:
            _LOGGER.info('store forgot its history', part=part)
        except exceptions.KumquatportError as error:
            self._report(error, part)
            self._failed_at.setdefault(part, clock.now())
            if part == ROUTES:
                self._routes_available.clear()
            await self.sleep(self._retry_delay_s(part))

    def _retry_delay_s(self, part: str) -> float:
        """Return the seconds until a part is asked for again after a failure.

        If others have had an answer since, the store refuses just this
        instance or does not reach it.
        """
        confirmed_at = clock.now() - self._configuration.age_s
        if confirmed_at > self._failed_at[part]:
            return backoff.jittered(const.WATCH_TIMEOUT_S)
        return next(self._retries[part])

    async def _async_watch_routes(self) -> None:
        """Read the routes, then wait for changes until others watch."""
        kind = self._operator_objects.routes_key.partition('/')[0]
        listing = await self._store.async_list(f'{kind}/')
        self._update_routes(listing)
        await self.sleep(const.WATCH_START_DELAY_S)
        while self.is_watcher():
            listing = await self._store.async_watch(
                f'{kind}/', listing.revision, const.WATCH_TIMEOUT_S
            )
            self._update_routes(listing)
            if listing.objects:
                await self.sleep(const.WATCH_BATCH_S)

    async def _async_watch_domains(self) -> None:
        """Read the failure domains, then wait for changes."""
        prefix = f'{self._operator_objects.domains_kind}/'
        listing = await self._store.async_list(prefix)
        self._domains = {stored.name for stored in listing.objects}
        self._update_domains(listing.revision)
        await self.sleep(const.WATCH_START_DELAY_S)
        while self.is_watcher():
            listing = await self._store.async_watch(
                prefix, listing.revision, const.WATCH_TIMEOUT_S
            )
            for stored in listing.objects:
                if stored.deleted:
                    self._domains.discard(stored.name)
                else:
                    self._domains.add(stored.name)
            self._update_domains(listing.revision)

    def _update_domains(self, revision: int) -> None:
        is_known = self._configuration.has_domains
        if not is_known or self._domains != self._configuration.domains_out:
            self._configuration.update_domains(
                revision, self._domains, known_configuration.SOURCE_STORE
            )
        self._confirm(DOMAINS)

    def _update_routes(self, listing: objects.Listing) -> None:
        for stored in listing.objects:
            if (
                stored.key == self._operator_objects.routes_key
                and not stored.deleted
            ):
                self._update_table(stored)
        self._confirm(ROUTES)

    def _update_table(self, stored: objects.StoredObject) -> None:
        try:
            table = self._operator_objects.decode_routes(stored.value)
        except exceptions.DocumentRejectedError as error:
            _LOGGER.error(
                'routes refused', error=error, revision=stored.version
            )
            return
        self._configuration.update_routes(
            routes.encode(table), known_configuration.SOURCE_STORE
        )

    def _confirm(self, part: str) -> None:
        """Both parts must be confirmed; the older one counts."""
        self._report(None, part)
        self._retries[part] = _retries()
        self._failed_at.pop(part, None)
        if part == ROUTES:
            self._routes_available.set()
        now = clock.now()
        self._confirmed_at[part] = now
        oldest = min(
            self._confirmed_at.get(ROUTES, -math.inf),
            self._confirmed_at.get(DOMAINS, -math.inf),
        )
        self._configuration.confirm(now - oldest)


def should_watch(rank: int, age_s: float) -> bool:
    """Tell whether the instance of a rank asks the store.

    Args:
        rank: Place among the live balancers, from 0.
        age_s: Seconds since anybody was known to have an answer.
    """
    if rank < const.MIN_WATCHERS:
        return True
    groups = rank // const.MIN_WATCHERS - 1
    return age_s > const.WATCH_JOIN_AGE_S + groups * const.WATCH_JOIN_STEP_S


def _retries() -> abc.Iterator[float]:
    return backoff.delays(const.STORE_RETRY_FIRST_S, const.STORE_RETRY_MAX_S)
