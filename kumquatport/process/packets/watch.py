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
from kumquatport.process.packets import beliefs, const, mesh
from kumquatport.version import routes

_LOGGER = structlog.get_logger(__name__)

ROUTES: typing.Final = 'routes'
DOMAINS: typing.Final = 'domains'


class Operators(typing.NamedTuple):
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
        operators: Operators,
        store: objects.ObjectStore,
        held: beliefs.Beliefs,
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
        self._operators = operators
        self._store = store
        self._beliefs = held
        self._mesh = peers
        self._report = faults.reporter(_LOGGER, 'store lost', 'store regained')
        self._retries = {ROUTES: _retries(), DOMAINS: _retries()}
        self._confirmed: dict[str, float] = {}
        self._failed_at: dict[str, float] = {}
        self._domains: set[str] = set()
        self._routes_come = asyncio.Event()
        self._routes_come.set()

    async def on_start(self) -> None:
        """Begin to watch when it is this process's turn."""
        self.add_future(self._async_run(ROUTES, self._async_watch_routes))
        self.add_future(self._async_run(DOMAINS, self._async_watch_domains))

    def is_watcher(self) -> bool:
        """Tell whether this process is to ask the store."""
        names = self._mesh.live_balancers()
        own = self._mesh.own.present.instance
        rank = names.index(own) if own in names else len(names)
        return watches(rank, self._beliefs.age_s)

    async def _async_run(
        self,
        part: str,
        watch: abc.Callable[[], abc.Awaitable[None]],
    ) -> None:
        while not self.should_stop:
            if part == DOMAINS:
                await self._routes_come.wait()
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
                self._routes_come.clear()
            await self.sleep(self._pause_s(part))

    def _pause_s(self, part: str) -> float:
        """Return the seconds until a part is asked for again after a failure.

        If others have had an answer since, the store refuses just this
        instance or does not reach it.
        """
        confirmed_at = clock.now() - self._beliefs.age_s
        if confirmed_at > self._failed_at[part]:
            return backoff.jittered(const.WATCH_S)
        return next(self._retries[part])

    async def _async_watch_routes(self) -> None:
        """Read the routes, then wait for changes until others watch."""
        kind = self._operators.routes_key.partition('/')[0]
        listing = await self._store.async_list(f'{kind}/')
        self._take_routes(listing)
        await self.sleep(const.WATCH_SETTLE_S)
        while self.is_watcher():
            listing = await self._store.async_watch(
                f'{kind}/', listing.revision, const.WATCH_S
            )
            self._take_routes(listing)
            if listing.objects:
                await self.sleep(const.WATCH_GAP_S)

    async def _async_watch_domains(self) -> None:
        """Read the failure domains, then wait for changes."""
        prefix = f'{self._operators.domains_kind}/'
        listing = await self._store.async_list(prefix)
        self._domains = {stored.name for stored in listing.objects}
        self._take_domains(listing.revision)
        await self.sleep(const.WATCH_SETTLE_S)
        while self.is_watcher():
            listing = await self._store.async_watch(
                prefix, listing.revision, const.WATCH_S
            )
            for stored in listing.objects:
                if stored.deleted:
                    self._domains.discard(stored.name)
                else:
                    self._domains.add(stored.name)
            self._take_domains(listing.revision)

    def _take_domains(self, revision: int) -> None:
        is_known = self._beliefs.knows_domains
        if not is_known or self._domains != self._beliefs.domains_out:
            self._beliefs.offer_domains(revision, self._domains, beliefs.STORE)
        self._confirm(DOMAINS)

    def _take_routes(self, listing: objects.Listing) -> None:
        for stored in listing.objects:
            if stored.key == self._operators.routes_key and not stored.deleted:
                self._take_table(stored)
        self._confirm(ROUTES)

    def _take_table(self, stored: objects.StoredObject) -> None:
        try:
            table = self._operators.decode_routes(stored.value)
        except exceptions.DocumentRejectedError as error:
            _LOGGER.error(
                'routes refused', error=error, revision=stored.version
            )
            return
        self._beliefs.offer_routes(routes.encode(table), beliefs.STORE)

    def _confirm(self, part: str) -> None:
        """Both parts must be confirmed; the older one counts."""
        self._report(None, part)
        self._retries[part] = _retries()
        self._failed_at.pop(part, None)
        if part == ROUTES:
            self._routes_come.set()
        now = clock.now()
        self._confirmed[part] = now
        oldest = min(
            self._confirmed.get(ROUTES, -math.inf),
            self._confirmed.get(DOMAINS, -math.inf),
        )
        self._beliefs.confirm(now - oldest)


def watches(rank: int, age_s: float) -> bool:
    """Tell whether the instance of a rank asks the store.

    Args:
        rank: Place among the live balancers, from 0.
        age_s: Seconds since anybody was known to have an answer.
    """
    if rank < const.WATCHERS:
        return True
    groups = rank // const.WATCHERS - 1
    return age_s > const.WATCH_JOIN_S + groups * const.WATCH_JOIN_STEP_S


def _retries() -> abc.Iterator[float]:
    return backoff.delays(const.STORE_RETRY_FIRST_S, const.STORE_RETRY_MAX_S)
