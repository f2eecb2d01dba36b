"""Finding the other instances through the store.

Each instance first makes sure that its record is there and then reads the
others'. Balancers come first in the list: of any two of them at least one so
finds the other, and each agent finds some. After that instances tell each
other who is there.
"""

import asyncio
import types
import typing
from collections import abc

import mode
import msgspec
import structlog

from kumquatport import exceptions, objects
from kumquatport.helpers import backoff
from kumquatport.process.packets import const, mesh
from kumquatport.version import members

_LOGGER = structlog.get_logger(__name__)

# First letters of the keys, so that balancers come first in the list.
_PREFIXES: typing.Final = types.MappingProxyType(
    {members.KIND_BALANCER: 'a', members.KIND_AGENT: 'b'}
)


class Discovery(mode.Service):
    """This instance's record in the store, and those of others."""

    def __init__(
        self,
        store: objects.ObjectStore,
        peers: mesh.Mesh,
        *,
        is_first_start: bool,
    ) -> None:
        """Set up.

        Args:
            store: The platform's store.
            peers: Takes the records found.
            is_first_start: Whether the whole deployment starts for the first time,
                so that no record of this instance can be there.
        """
        super().__init__()
        self._store = store
        self._mesh = peers
        self._is_first_start = is_first_start
        # The store is written once. The record in it is the ready one, since a
        # vacant one would stay there after the backend server has started.
        self._stored_record = peers.own_record.current
        self._is_complete = False
        self._is_registered = False
        self._should_be_registered = True
        self._is_withdrawn = False
        self._record_lock = asyncio.Lock()

    async def on_start(self) -> None:
        """Begin to look for others."""
        self.add_future(self._async_run())

    async def async_withdraw(self) -> None:
        """Delete this instance's record, unless that is done already.

        An agent does so when its backend server says that it exits. The
        machine goes with it, and if that is without another word, a record
        that stays holds up the searches for lost flows until it is forgotten.
        """
        self._should_be_registered = False
        async with self._record_lock:
            if self._should_be_registered or self._is_withdrawn:
                return
            is_deleted = await self._async_remove(self._mesh.own_record.current)
            # Before it was found the record may still be written once more.
            self._is_withdrawn = is_deleted and self._is_registered

    async def async_restore(self) -> None:
        """Write the record again if it was withdrawn."""
        self._should_be_registered = True
        retries = backoff.delays(
            const.STORE_RETRY_FIRST_S, const.STORE_RETRY_MAX_S
        )
        async with self._record_lock:
            while self._is_withdrawn and self._should_be_registered:
                try:
                    await self._async_register(self._stored_record)
                    self._is_withdrawn = False
                except exceptions.KumquatportError as error:
                    _LOGGER.warning('record not written', error=error)
                    await self.sleep(next(retries))

    async def async_remove_expired(
        self, record: members.InstanceRecord
    ) -> None:
        """Delete the record of an instance that nobody hears any more.

        Peers that hear it bring its record back when members are compared.
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
        reported = False
        while not self.should_stop:
            try:
                await self.async_join()
                break
            except exceptions.KumquatportError as error:
                if not reported:
                    _LOGGER.warning('members not read', error=error)
                reported = True
            await self.sleep(next(retries))
        self._is_registered = True
        _LOGGER.info('members read', known=len(self._mesh.registry))
        await self.sleep(const.READ_ALL_DELAY_S)
        if not self._is_complete and not self._mesh.has_required_peers():
            await self._async_read_all()

    async def _async_read_all(self) -> None:
        """Read all members, since nobody answers who knows the others."""
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
            names.update(self._learn(page.objects))
            has_more = page.has_more and bool(page.objects)
            if has_more:
                after = page.objects[-1].name
        self._mesh.note_members_listed(names)
        _LOGGER.info('all members read', known=len(self._mesh.registry))

    async def async_join(self) -> None:
        """Make sure that this record is there, and read the others.

        Raises:
            KumquatportError: The store did not take or answer a call.
        """
        own = self._stored_record
        if self._is_first_start:
            await self._async_register(own)
            self._is_first_start = False
        if await self._async_read(own):
            return
        await self._async_register(own)
        await self._async_read(own)

    async def _async_register(self, own: members.InstanceRecord) -> None:
        try:
            await self._store.async_put(
                _key(own), msgspec.msgpack.encode(own), None
            )
        except exceptions.VersionConflictError:
            # Another write of the same record came in between.
            _LOGGER.info('record written meanwhile', instance=own.instance)

    async def _async_read(self, own: members.InstanceRecord) -> bool:
        """Read some of the members; tell whether this one is among them."""
        page = await self._store.async_page(const.KIND_INSTANCES, '')
        found = list(page.objects)
        self._is_complete = not page.has_more
        if not self._is_complete:
            # A second page, which begins just before this record, spreads
            # the greetings of many instances over many others.
            page = await self._store.async_page(
                const.KIND_INSTANCES, _name(own)[:-1]
            )
            found.extend(page.objects)
        names = self._learn(found)
        if self._is_complete:
            self._mesh.note_members_listed(names)
        return own.instance in names

    def _learn(self, found: abc.Iterable[objects.StoredObject]) -> set[str]:
        """Take records; return whose they were, this one's if it is as now."""
        own = self._mesh.own_record.current
        names = set()
        for stored in found:
            record = _decoded(stored)
            if record is None:
                continue
            if record.instance != own.instance:
                self._mesh.learn_record(record)
            elif not _is_same_place(record, own):
                continue
            names.add(record.instance)
        return names

    async def _async_remove(self, record: members.InstanceRecord) -> bool:
        """Delete a record; tell whether it is not there any more."""
        key = _key(record)
        try:
            stored = await self._store.async_get(key)
            held = _decoded(stored)
            if held is None or _is_same_place(held, record):
                await self._store.async_delete(key, stored.version)
        except exceptions.ObjectMissingError:
            return True
        except exceptions.KumquatportError as error:
            _LOGGER.warning(
                'record not removed', peer=record.instance, error=error
            )
            return False
        return True


def _name(record: members.InstanceRecord) -> str:
    return f'{_PREFIXES[record.kind]}-{record.instance}'


def _key(record: members.InstanceRecord) -> str:
    return f'{const.KIND_INSTANCES}/{_name(record)}'


def _decoded(stored: objects.StoredObject) -> members.InstanceRecord | None:
    try:
        return msgspec.msgpack.decode(stored.value, type=members.InstanceRecord)
    except msgspec.MsgspecError as error:
        _LOGGER.warning('record refused', key=stored.key, error=error)
        return None


def _is_same_place(
    one: members.InstanceRecord, other: members.InstanceRecord
) -> bool:
    return (one.address, one.control_port, one.service) == (
        other.address,
        other.control_port,
        other.service,
    )
