"""Pushes down a tree, past nodes that do not answer."""

import asyncio

import structlog

from kumquatport import exceptions
from kumquatport.connection.control import frame
from kumquatport.version.replication import const, process_context, ranking

_LOGGER = structlog.get_logger(__name__)


async def async_push(
    context: process_context.ProcessContext,
    name: str,
    names: list[str],
    message: frame.Message,
) -> None:
    """Push to a node of the tree, or in its stead to those below it.

    Args:
        context: Of this process.
        name: The node.
        names: The tree, from ``order.tree``.
        message: What is to be passed on.
    """
    endpoint = context.endpoint_of(name)
    if endpoint is not None:
        try:
            await context.client.async_ask(
                endpoint, message, const.PUSH_TIMEOUT_S
            )
        except exceptions.PeerUnavailableError:
            _LOGGER.debug('push passes over', instance=name)
        else:
            return
    below = ranking.children(names, names.index(name), const.FANOUT)
    await asyncio.gather(
        *(async_push(context, child, names, message) for child in below),
    )


def own_children(
    context: process_context.ProcessContext, names: list[str]
) -> list[str]:
    """Return the nodes just below this process in a tree."""
    place = names.index(context.instance)
    return ranking.children(names, place, const.FANOUT)
