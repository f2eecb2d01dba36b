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
from kumquatport.process.packets import (
    const,
    known_configuration,
    mesh,
    models,
    watch_timing,
)
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
    A balancer that has received no confirmation for a while reads the store
    itself, in the order of rank, since the watchers may have lost it.
    """

    def __init__(
        self,
        operator_objects: OperatorObjects,
        store: objects.ObjectStore,
        configuration: known_configuration.KnownConfiguration,
        peers: mesh.Mesh,
        bounds: models.Bounds,
    ) -> None:
        """Initialize.

        Args:
            operator_objects: Objects that operators write.
            store: Store of the platform.
            configuration: Configuration known to this process.
            peers: Mesh of the other instances.
            bounds: Limits guaranteed to the users.
        """
        super().__init__()
        self._operator_objects = operator_objects
        self._store = store
        self._configuration = configuration
        self._mesh = peers
        self._timing = watch_timing.from_bound(bounds.configuration_s)
        self._report_outage = faults.reporter(
            _LOGGER, 'store lost', 'store regained'
        )
        self._retries = {ROUTES: _retries(), DOMAINS: _retries()}
        self._answered_at: dict[str, float] = {}
        self._failed_at: dict[str, float] = {}
        self._domains_out: set[str] = set()
        self._routes_available = asyncio.Event()
        self._routes_available.set()

    async def on_start(self) -> None:
        """Start the tasks that watch while this process is a watcher."""
        self.add_future(self._async_run(ROUTES, self._async_watch_routes))
        self.add_future(self._async_run(DOMAINS, self._async_watch_domains))

    def apply_bounds(self, bounds: models.Bounds) -> None:
        """Apply bounds that changed at run time."""
        self._timing = watch_timing.from_bound(bounds.configuration_s)

    def is_watcher(self) -> bool:
        """Return whether this process should watch the store."""
        names, rank = self._watch_order()
        return self._timing.should_watch(
            rank, len(names), self._configuration.age_s
        )

    def _watch_order(self) -> tuple[list[str], int]:
        """Return the balancers in the order of watching, and the own rank."""
        names = watch_timing.watch_order(self._mesh.live_balancer_domains())
        own = self._mesh.own_record.current.instance
        return names, names.index(own) if own in names else len(names)

    def _until_overdue_s(self) -> float:
        """Return the seconds until this process reads for the watchers."""
        names, rank = self._watch_order()
        join_age_s = self._timing.join_age_s(rank, len(names))
        return max(join_age_s - self._configuration.age_s, 0)

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
                await self._async_poll()

    async def _async_poll(self) -> None:
        """Sleep until the next check whether this process should watch."""
        delay_s = min(
            backoff.jittered(const.WATCH_POLL_S), self._until_overdue_s()
        )
        await self.sleep(delay_s + const.TIMER_SLACK_S)

    def _log_join(self, part: str) -> None:
        """Log that this process reads the store in place of the watchers."""
        age_s = self._configuration.age_s
        _, rank = self._watch_order()
        is_substitute = rank >= watch_timing.MIN_WATCHERS
        if is_substitute and part not in self._failed_at:
            _LOGGER.info(
                'store read for the watchers',
                part=part,
                rank=rank,
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
            await self._async_wait_for_retry(part)
        except Exception:
            # One answer that cannot be handled does not end the watch.
            if part not in self._failed_at:
                _LOGGER.exception('store answer not handled', part=part)
            self._failed_at.setdefault(part, clock.now())
            await self.sleep(self._retry_delay_s(part))

    async def _async_wait_for_retry(self, part: str) -> None:
        """Wait until a failed part is due to be tried again.

        If the store has answered other instances since the failure, it
        refuses only this instance or is unreachable only for it. This process
        then waits longer, but no longer than they keep confirming.
        """
        if not self._is_refused_alone(part) or not self._until_overdue_s():
            await self.sleep(self._retry_delay_s(part))
            return
        retry_at = clock.now() + backoff.jittered(const.REFUSED_RETRY_S)
        while clock.now() < retry_at and self._until_overdue_s():
            await self._async_poll()
            if self.should_stop:
                return

    def _is_refused_alone(self, part: str) -> bool:
        confirmed_at = clock.now() - self._configuration.age_s
        return confirmed_at > self._failed_at[part]

    def _retry_delay_s(self, part: str) -> float:
        """Return the delay in seconds before a failed part is retried.

        In an outage the first balancers retry soon, for all others.
        """
        _, rank = self._watch_order()
        if rank < const.FAST_RETRY_RANKS:
            return next(self._retries[part])
        return backoff.jittered(self._timing.watch_s)

    async def _async_watch_routes(self) -> None:
        """Read the routes, then wait for changes while this is a watcher."""
        kind = self._operator_objects.routes_key.partition('/')[0]
        listing = await self._async_list(ROUTES, f'{kind}/')
        self._update_routes(listing)
        await self.sleep(const.WATCH_START_DELAY_S)
        while self.is_watcher():
            listing = await self._async_wait(ROUTES, f'{kind}/', listing)
            self._update_routes(listing)
            if listing.objects:
                await self.sleep(self._timing.batch_s)

    async def _async_watch_domains(self) -> None:
        """Read the failure domains, then wait for changes likewise."""
        prefix = f'{self._operator_objects.domains_kind}/'
        listing = await self._async_list(DOMAINS, prefix)
        self._domains_out = {stored.name for stored in listing.objects}
        self._update_domains(listing)
        await self.sleep(const.WATCH_START_DELAY_S)
        while self.is_watcher():
            listing = await self._async_wait(DOMAINS, prefix, listing)
            for stored in listing.objects:
                if stored.deleted:
                    self._domains_out.discard(stored.name)
                else:
                    self._domains_out.add(stored.name)
            self._update_domains(listing)

    async def _async_list(self, part: str, prefix: str) -> objects.Listing:
        """Read a part, which confirms it as of the start of the call."""
        started_at = clock.now()
        listing = await self._store.async_list(prefix)
        self._answered_at[part] = started_at
        return listing

    async def _async_wait(
        self, part: str, prefix: str, previous: objects.Listing
    ) -> objects.Listing:
        """Wait for changes of a part.

        The wait ends ``watch_s`` after the time as of which the part was
        confirmed last, also if changes have interrupted it. An answer without
        changes confirms the part as of the end of the wait, one with changes
        only as of its start: it may have been on its way for long.

        Raises:
            HistoryGoneError: The store does not have the history since the
                previous answer, or was restored from a copy since.
            PlatformUnavailableError: The store did not answer in time.
        """
        started_at = clock.now()
        elapsed_s = started_at - self._answered_at[part]
        wait_s = max(self._timing.watch_s - elapsed_s, 0)
        try:
            async with asyncio.timeout(wait_s + self._timing.answer_s):
                listing = await self._store.async_watch(
                    prefix, previous.revision, wait_s
                )
        except TimeoutError as error:
            raise exceptions.PlatformUnavailableError(
                f'watch of {prefix}: no answer'
            ) from error
        if listing.era != previous.era:
            # Revisions up to the previous one may have been assigned again.
            raise exceptions.HistoryGoneError(prefix)
        confirmed_at = started_at if listing.objects else started_at + wait_s
        self._answered_at[part] = min(confirmed_at, clock.now())
        return listing

    def _update_domains(self, listing: objects.Listing) -> None:
        known = self._configuration
        if (
            not known.has_domains
            or listing.era != known.store_era
            or self._domains_out != known.stored_domains_out
        ):
            known.update_domains(
                listing.revision,
                self._domains_out,
                known_configuration.SOURCE_STORE,
                era=listing.era,
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
        oldest = min(
            self._answered_at.get(ROUTES, -math.inf),
            self._answered_at.get(DOMAINS, -math.inf),
        )
        if self._configuration.confirm(clock.now() - oldest):
            names, _ = self._watch_order()
            self._mesh.tell_confirmation(names[: const.CONFIRMATION_RECEIVERS])


def _retries() -> abc.Iterator[float]:
    return backoff.delays(const.STORE_RETRY_FIRST_S, const.STORE_RETRY_MAX_S)
