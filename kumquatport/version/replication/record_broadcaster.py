"""Broadcasts changed records in batches down the tree of their origin."""

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
    """Sends changes of this balancer's registry to the other balancers."""

    def __init__(
        self,
        context: process_context.ProcessContext,
        control: server.ControlServer,
    ) -> None:
        """Subscribe to the registry and register the message handler.

        Args:
            context: Context of this process.
            control: Server to register the handler with.
        """
        super().__init__()
        self._context = context
        self._pending: dict[str, dict[str, members.InstanceRecord]] = {}
        self._merge_origin = context.instance
        self._is_suppressed = False
        self._has_pending = asyncio.Event()
        context.registry.subscribe(self._on_record)
        control.handle(messages.RecordsPush, self._async_on_push)

    def merge_without_broadcast(self, records: messages.Records) -> int:
        """Merge records without a broadcast; return how many changed."""
        self._is_suppressed = True
        try:
            return self._merge(records)
        finally:
            self._is_suppressed = False

    async def on_start(self) -> None:
        """Start the broadcasts if this process is a balancer."""
        if self._context.is_balancer:
            self.add_future(self._async_run())

    async def async_flush(self) -> None:
        """Broadcast all pending records."""
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
        self._has_pending.clear()
        return pending

    async def _async_run(self) -> None:
        while not self.should_stop:
            await self.wait_first(self._has_pending.wait())
            await self.sleep(const.BATCH_DELAY_S)
            for origin, changed in self._take_pending().items():
                # Not awaited, so that a slow child delays only this batch.
                batch = tuple(changed.values())
                self.add_future(self._async_broadcast(origin, batch))

    async def _async_on_push(
        self,
        message: messages.RecordsPush,
    ) -> messages.KnownVersion:
        self._merge_origin = message.origin
        try:
            self._merge(message.records)
        finally:
            self._merge_origin = self._context.instance
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
        if self._is_suppressed or not self._context.is_balancer:
            return
        # A refutation of this instance's own record is published during the
        # merge of the record that it refutes, so its origin is this instance.
        is_own = record.instance == self._context.instance
        origin = self._context.instance if is_own else self._merge_origin
        self._pending.setdefault(origin, {})[record.instance] = record
        self._has_pending.set()

    async def _async_broadcast(
        self,
        origin: str,
        changed: messages.Records,
    ) -> None:
        tree = ranking.broadcast_tree(origin, self._context.balancer_names())
        child_names = push.own_children(self._context, tree)
        for start in range(0, len(changed), const.MAX_BATCH_RECORDS):
            batch = changed[start : start + const.MAX_BATCH_RECORDS]
            message = messages.RecordsPush(origin, batch)
            await asyncio.gather(
                *(
                    push.async_push(self._context, name, tree, message)
                    for name in child_names
                ),
            )
