"""Discovery of the other instances through the store.

Each instance first ensures that its own record is in the store and then reads
the first page of records. Balancers are listed first. So of any two balancers
at least one finds the other, and each agent finds some balancers. From then on
instances exchange their records with each other.
"""

import asyncio
import types
import typing
from collections import abc

import mode
import msgspec
import structlog

from kumquatport import exceptions, objects
from kumquatport.helpers import backoff, decoding
from kumquatport.process.packets import const, mesh
from kumquatport.version import members

_LOGGER = structlog.get_logger(__name__)

# Key prefixes that list balancers before agents.
_PREFIXES: typing.Final = types.MappingProxyType(
    {members.KIND_BALANCER: 'a', members.KIND_AGENT: 'b'}
)


class Discovery(mode.Service):
    """Maintains this instance's record in the store and reads the others."""

    def __init__(
        self,
        store: objects.ObjectStore,
        peers: mesh.Mesh,
        *,
        is_first_start: bool,
    ) -> None:
        """Initialize.

        Args:
            store: Store of the platform.
            peers: Mesh that learns the records.
            is_first_start: Whether the whole deployment starts for the first
                time, so that the store has no record of this instance yet.
        """
        super().__init__()
        self._store = store
        self._mesh = peers
        self._is_first_start = is_first_start
        # The record is written once, in the ready state. A vacant one would
        # stay in the store after the backend server has started.
        self._stored_record = peers.own_record.current
        self._has_listed_all = False
        self._has_joined = False
        self._should_be_stored = True
        self._is_withdrawn = False
        self._may_be_missing = False
        self._record_lock = asyncio.Lock()

    async def on_start(self) -> None:
        """Start the discovery."""
        self.add_future(self._async_run())

    async def async_withdraw(self) -> None:
        """Delete this instance's record, unless it is already deleted.

        An agent does so when its backend server announces its exit, because
        the agent goes away with it. If the agent then vanishes without a
        regular stop, a remaining record would delay lookups of lost flows
        until it expires.
        """
        self._should_be_stored = False
        async with self._record_lock:
            if self._should_be_stored or self._is_withdrawn:
                return
            # A delete that was not answered may have been done.
            self._may_be_missing = True
            is_deleted = await self._async_remove(self._mesh.own_record.current)
            # Until the instance has joined, ``async_join`` may write the record
            # again.
            self._is_withdrawn = is_deleted and self._has_joined

    async def async_restore(self) -> None:
        """Write the record again if it may be withdrawn, with retries."""
        self._should_be_stored = True
        retries = backoff.delays(
            const.STORE_RETRY_FIRST_S, const.STORE_RETRY_MAX_S
        )
        async with self._record_lock:
            while self._may_be_missing and self._should_be_stored:
                try:
                    await self._async_write_record(self._stored_record)
                    self._is_withdrawn = False
                    self._may_be_missing = False
                except exceptions.KumquatportError as error:
                    _LOGGER.warning('record not written', error=error)
                    await self.sleep(next(retries))

    async def async_remove_expired(
        self, record: members.InstanceRecord
    ) -> None:
        """Delete the record of an expired instance after a delay.

        If a peer still receives its heartbeats, anti-entropy restores the
        record during the delay, and it is kept.
        """
        await self.sleep(const.REMOVE_RECORD_DELAY_S)
        if self._mesh.registry.get(record.instance) is None:
            await self._async_remove(record)

    async def _async_run(self) -> None:
        is_agent = self._stored_record.kind == members.KIND_AGENT
        retries = backoff.delays(
            const.STORE_RETRY_FIRST_S,
            const.AGENT_RETRY_MAX_S if is_agent else const.STORE_RETRY_MAX_S,
        )
        is_logged = False
        while not self.should_stop:
            try:
                await self.async_join()
                break
            except exceptions.KumquatportError as error:
                if not is_logged:
                    _LOGGER.warning('members not read', error=error)
                is_logged = True
            await self.sleep(next(retries))
        self._has_joined = True
        _LOGGER.info('members read', known=len(self._mesh.registry))
        await self.sleep(const.READ_ALL_DELAY_S)
        if not self._has_listed_all and not self._mesh.has_required_peers():
            await self._async_read_all()

    async def _async_read_all(self) -> None:
        """Read all members, because no peer has answered."""
        after = ''
        has_more = True
        names: set[str] = set()
        while has_more and not self.should_stop:
            try:
                page = await self._store.async_page(const.KIND_INSTANCES, after)
            except exceptions.KumquatportError as error:
                _LOGGER.warning('members not read', error=error)
                await self.sleep(const.STORE_RETRY_MAX_S)
                continue
            self._mesh.note_store_era(page.era)
            names.update(self._learn(page.objects))
            has_more = page.has_more and bool(page.objects)
            if has_more:
                after = page.objects[-1].name
        self._mesh.note_members_listed(names)
        _LOGGER.info('all members read', known=len(self._mesh.registry))

    async def async_join(self) -> None:
        """Ensure that this instance's record is stored, and read the others.

        Raises:
            KumquatportError: A call to the store failed.
        """
        own = self._stored_record
        if self._is_first_start:
            await self._async_write_record(own)
            self._is_first_start = False
        if await self._async_read(own):
            return
        await self._async_write_record(own)
        await self._async_read(own)

    async def _async_write_record(self, own: members.InstanceRecord) -> None:
        try:
            await self._store.async_put(
                _object_key(own), msgspec.msgpack.encode(own), None
            )
        except exceptions.VersionConflictError:
            # The same record was written concurrently.
            _LOGGER.info('record written meanwhile', instance=own.instance)

    async def _async_read(self, own: members.InstanceRecord) -> bool:
        """Read some of the members.

        Returns:
            Whether this instance is among them.
        """
        page = await self._store.async_page(const.KIND_INSTANCES, '')
        self._mesh.note_store_era(page.era)
        stored_objects = list(page.objects)
        self._has_listed_all = not page.has_more
        if not self._has_listed_all:
            # A second page, which starts just before this record, spreads the
            # greetings of many instances over many peers.
            page = await self._store.async_page(
                const.KIND_INSTANCES, _object_name(own)[:-1]
            )
            stored_objects.extend(page.objects)
        names = self._learn(stored_objects)
        self._mesh.note_members_read()
        if self._has_listed_all:
            self._mesh.note_members_listed(names)
        return own.instance in names

    def _learn(
        self, stored_objects: abc.Iterable[objects.StoredObject]
    ) -> set[str]:
        """Pass records to the mesh.

        Returns:
            Names of their instances; this one's only if its record in the
            store has the current addresses.
        """
        own = self._mesh.own_record.current
        names = set()
        for stored in stored_objects:
            record = _decode(stored)
            if record is None:
                continue
            if record.instance != own.instance:
                self._mesh.learn_record(record)
            elif not _has_same_addresses(record, own):
                continue
            names.add(record.instance)
        return names

    async def _async_remove(self, record: members.InstanceRecord) -> bool:
        """Delete a record, unless the stored one has other addresses.

        Returns:
            False if a call to the store failed, so that the record may remain.
        """
        key = _object_key(record)
        try:
            stored = await self._store.async_get(key)
            stored_record = _decode(stored)
            if stored_record is None or _has_same_addresses(
                stored_record, record
            ):
                await self._store.async_delete(key, stored.version)
        except exceptions.ObjectMissingError:
            return True
        except exceptions.KumquatportError as error:
            _LOGGER.warning(
                'record not removed', peer=record.instance, error=error
            )
            return False
        return True


def _object_name(record: members.InstanceRecord) -> str:
    return f'{_PREFIXES[record.kind]}-{record.instance}'


def _object_key(record: members.InstanceRecord) -> str:
    return f'{const.KIND_INSTANCES}/{_object_name(record)}'


def _decode(stored: objects.StoredObject) -> members.InstanceRecord | None:
    try:
        record = msgspec.msgpack.decode(
            stored.value, type=members.InstanceRecord
        )
    except decoding.MALFORMED as error:
        _LOGGER.warning('record refused', key=stored.key, error=error)
        return None
    if members.is_valid(record):
        return record
    _LOGGER.warning(
        'record refused', key=stored.key, error='a field is out of range'
    )
    return None


def _has_same_addresses(
    first: members.InstanceRecord, second: members.InstanceRecord
) -> bool:
    return (first.address, first.control_port, first.service) == (
        second.address,
        second.control_port,
        second.service,
    )
