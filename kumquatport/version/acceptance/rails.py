"""Guard rails: hold a document back that may do harm, unless confirmed."""

import asyncio
from collections import abc

from kumquatport.version import document
from kumquatport.version.acceptance import model

Check = abc.Callable[[model.InForce, document.Document], abc.Awaitable[None]]
AskedLoads = asyncio.Task[list[document.DomainLoad]]


def checked(asked: AskedLoads) -> Check:
    """Return a check against the guard rails.

    Args:
        asked: Tells the present load; empty when it is not known. It runs
            while the document in force is read.
    """

    async def check(
        in_force: model.InForce, submitted: document.Document
    ) -> None:
        concerns = document.concerns(in_force.document, submitted, await asked)
        if concerns:
            raise model.GuardRailError(concerns)

    return check


async def async_confirmed(
    _in_force: model.InForce, _submitted: document.Document
) -> None:
    """Check nothing: the operator has confirmed."""
