"""Watch of the store for routes and failure domains taken out.

Load pattern: the store is unavailable, or refuses some instances, while a
deployment of hundreds of instances restarts; configuration changes follow each
other quickly. Each call to the store has a price. So an instance retries only
one of the two parts during an outage, retries rarely while other instances are
served, and reads several changes with one call.
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
    """Objects in the store that operators write.

    Attributes:
        routes_key: Key of the object with the routes.
        domains_kind: Kind of the objects each of which takes out the failure
            domain of the same name.
        decode_routes: Decodes the routes; raises ``DocumentRejectedError``.
    """

    routes_key: str
    domains_kind: str
    decode_routes: abc.Callable[[bytes], routes.RouteTable]


class StoreWatch(mode.Service):
    """Watches the store while this process is one of the watchers.

    A few balancers watch the store and pass changes on to the other instances.
    A balancer that has received no confirmation for a while joins them, in the
    order of rank, since the store may be unreachable for the watchers alone.
    """

    def __init__(
        self,
        operator_objects: OperatorObjects,
        store: objects.ObjectStore,
        configuration: known_configuration.KnownConfiguration,
        peers: mesh.Mesh,
    ) -> None:
        """Initialize.

        Args:
            operator_objects: Objects that operators write.
            store: Store of the platform.
            configuration: Configuration known to this process.
            peers: Mesh of the other instances.
        """
        super().__init__()
        self._operator_objects = operator_objects
        self._store = store
        self._configuration = configuration
        self._mesh = peers
        self._report_outage = faults.reporter(
            _LOGGER, 'store lost', 'store regained'
        )
        self._retries = {ROUTES: _retries(), DOMAINS: _retries()}
        self._confirmed_at: dict[str, float] = {}
        self._failed_at: dict[str, float] = {}
        self._domains_out: set[str] = set()
        self._routes_available = asyncio.Event()
        self._routes_available.set()

    async def on_start(self) -> None:
        """Start the tasks that watch while this process is a watcher."""
        self.add_future(self._async_run(ROUTES, self._async_watch_routes))
        self.add_future(self._async_run(DOMAINS, self._async_watch_domains))

    @property
    def rank(self) -> int:
        """Return the index of this process among the live balancers."""
        names = self._mesh.live_balancers()
        own = self._mesh.own_record.current.instance
        return names.index(own) if own in names else len(names)

    def is_watcher(self) -> bool:
        """Return whether this process should watch the store."""
        return should_watch(self.rank, self._configuration.age_s)

    async def _async_run(
        self,
        part: str,
        watch: abc.Callable[[], abc.Awaitable[None]],
    ) -> None:
        while not self.should_stop:
            if part == DOMAINS:
                await self._routes_available.wait()
            if self.is_watcher():
                self._log_join(part)
                await self._async_try(part, watch)
            else:
                await self.sleep(backoff.jittered(const.WATCH_POLL_S))

    def _log_join(self, part: str) -> None:
        """Log that this process reads the store in place of the watchers."""
        age_s = self._configuration.age_s
        if self.rank >= const.MIN_WATCHERS and part not in self._failed_at:
            _LOGGER.info(
                'store read for the watchers',
                part=part,
                rank=self.rank,
                age_s=round(age_s, 3) if math.isfinite(age_s) else None,
            )

    async def _async_try(
        self,
        part: str,
        watch: abc.Callable[[], abc.Awaitable[None]],
    ) -> None:
        try:
            await watch()
        except exceptions.HistoryGoneError:
            _LOGGER.info('store history expired; reading again', part=part)
        except exceptions.KumquatportError as error:
            self._report_outage(error, part)
            self._failed_at.setdefault(part, clock.now())
            if part == ROUTES:
                self._routes_available.clear()
            await self.sleep(self._retry_delay_s(part))

    def _retry_delay_s(self, part: str) -> float:
        """Return the delay in seconds before a failed part is retried.

        If the store has answered other instances since the failure, it
        refuses only this instance or is unreachable only for it.
        """
        confirmed_at = clock.now() - self._configuration.age_s
        if confirmed_at > self._failed_at[part]:
            return backoff.jittered(const.WATCH_TIMEOUT_S)
        return next(self._retries[part])

    async def _async_watch_routes(self) -> None:
        """Read the routes, then wait for changes while this is a watcher."""
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
        """Read the failure domains, then wait for changes likewise."""
        prefix = f'{self._operator_objects.domains_kind}/'
        listing = await self._store.async_list(prefix)
        self._domains_out = {stored.name for stored in listing.objects}
        self._update_domains(listing.revision)
        await self.sleep(const.WATCH_START_DELAY_S)
        while self.is_watcher():
            listing = await self._store.async_watch(
                prefix, listing.revision, const.WATCH_TIMEOUT_S
            )
            for stored in listing.objects:
                if stored.deleted:
                    self._domains_out.discard(stored.name)
                else:
                    self._domains_out.add(stored.name)
            self._update_domains(listing.revision)

    def _update_domains(self, revision: int) -> None:
        is_known = self._configuration.has_domains
        if not is_known or self._domains_out != self._configuration.domains_out:
            self._configuration.update_domains(
                revision, self._domains_out, known_configuration.SOURCE_STORE
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
        """Record the confirmation of a part.

        The configuration is as old as the older confirmation of its two parts.
        """
        self._report_outage(None, part)
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
    """Return whether the balancer of a rank should watch the store.

    Args:
        rank: Index among the live balancers, from 0.
        age_s: Seconds since the last known confirmation by the store.
    """
    if rank < const.MIN_WATCHERS:
        return True
    waiting_groups = rank // const.MIN_WATCHERS - 1
    return (
        age_s
        > const.WATCH_JOIN_AGE_S + waiting_groups * const.WATCH_JOIN_STEP_S
    )


def _retries() -> abc.Iterator[float]:
    return backoff.delays(const.STORE_RETRY_FIRST_S, const.STORE_RETRY_MAX_S)
