"""Pushes messages down a broadcast tree, bypassing unresponsive nodes."""

import asyncio

import structlog

from kumquatport import exceptions
from kumquatport.connection.control import frame
from kumquatport.version.replication import const, process_context, ranking

_LOGGER = structlog.get_logger(__name__)


async def async_push(
    context: process_context.ProcessContext,
    name: str,
    tree: list[str],
    message: frame.Message,
) -> None:
    """Push a message to a node, or to its children if it does not answer.

    Args:
        context: Context of this process.
        name: Name of the node.
        tree: The tree, from ``ranking.broadcast_tree``.
        message: Message to push.
    """
    endpoint = context.endpoint_of(name)
    if endpoint is not None:
        try:
            await context.client.async_ask(
                endpoint, message, const.PUSH_TIMEOUT_S
            )
        except exceptions.PeerUnavailableError:
            _LOGGER.debug('push not answered', instance=name)
        else:
            return
    child_names = ranking.children(tree, tree.index(name), const.FANOUT)
    await asyncio.gather(
        *(async_push(context, child, tree, message) for child in child_names),
    )


def own_children(
    context: process_context.ProcessContext, tree: list[str]
) -> list[str]:
    """Return the child nodes of this process in a tree."""
    position = tree.index(context.instance)
    return ranking.children(tree, position, const.FANOUT)
