"""Changed records, passed on in batches down the tree of their origin."""

import asyncio

import mode

from kumquatport.connection.control import server
from kumquatport.version import members
from kumquatport.version.replication import (
    const,
    messages,
    process_context,
    push,
    ranking,
)


class RecordBroadcaster(mode.Service):
    """Tells the other balancers what changed in this one's registry."""

    def __init__(
        self,
        context: process_context.ProcessContext,
        control: server.ControlServer,
    ) -> None:
        """Follow the registry.

        Args:
            context: Of this process.
            control: Where the handler is added.
        """
        super().__init__()
        self._context = context
        self._pending: dict[str, dict[str, members.InstanceRecord]] = {}
        self._origin = context.instance
        self._suppressed = False
        self._due = asyncio.Event()
        context.registry.subscribe(self._on_record)
        control.handle(messages.RecordsPush, self._async_on_push)

    def merge_without_broadcast(self, records: messages.Records) -> int:
        """Merge records without passing them on; return how many changed."""
        self._suppressed = True
        try:
            return self._merge(records)
        finally:
            self._suppressed = False

    async def on_start(self) -> None:
        """Begin to pass records on, in a balancer."""
        if self._context.is_balancer:
            self.add_future(self._async_run())

    async def async_flush(self) -> None:
        """Pass on what waits."""
        pending = self._take_pending()
        await asyncio.gather(
            *(
                self._async_broadcast(origin, tuple(changed.values()))
                for origin, changed in pending.items()
            ),
        )

    def _take_pending(self) -> dict[str, dict[str, members.InstanceRecord]]:
        pending = self._pending
        self._pending = {}
        self._due.clear()
        return pending

    async def _async_run(self) -> None:
        while not self.should_stop:
            await self.wait_first(self._due.wait())
            await self.sleep(const.BATCH_S)
            for origin, changed in self._take_pending().items():
                # A slow child of one batch must not hold up the next.
                batch = tuple(changed.values())
                self.add_future(self._async_broadcast(origin, batch))

    async def _async_on_push(
        self,
        message: messages.RecordsPush,
    ) -> messages.KnownVersion:
        self._origin = message.origin
        try:
            self._merge(message.records)
        finally:
            self._origin = self._context.instance
        return messages.KnownVersion(
            self._context.current.version,
            self._context.freshness.is_fresh(),
        )

    def _merge(self, records: messages.Records) -> int:
        return sum(
            self._context.registry.merge(record)
            for record in records
            if record.region == self._context.region
        )

    def _on_record(
        self,
        record: members.InstanceRecord,
        _previous: members.InstanceRecord | None,
    ) -> None:
        if self._suppressed or not self._context.is_balancer:
            return
        # A refutation comes up inside the merge of what it refutes.
        own = record.instance == self._context.instance
        origin = self._context.instance if own else self._origin
        self._pending.setdefault(origin, {})[record.instance] = record
        self._due.set()

    async def _async_broadcast(
        self,
        origin: str,
        changed: messages.Records,
    ) -> None:
        names = ranking.broadcast_tree(origin, self._context.balancer_names())
        below = push.own_children(self._context, names)
        for first in range(0, len(changed), const.MAX_BATCH_RECORDS):
            batch = changed[first : first + const.MAX_BATCH_RECORDS]
            message = messages.RecordsPush(origin, batch)
            await asyncio.gather(
                *(
                    push.async_push(self._context, name, names, message)
                    for name in below
                ),
            )
