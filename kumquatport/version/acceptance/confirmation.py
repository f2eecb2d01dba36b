"""Checks that require an operator's confirmation of a risky document."""

import asyncio
from collections import abc

from kumquatport.version import document
from kumquatport.version.acceptance import model

Check = abc.Callable[
    [model.DocumentInForce, document.Document], abc.Awaitable[None]
]
LoadsTask = asyncio.Task[list[document.DomainLoad]]


def guard_rail_check(loads: LoadsTask) -> Check:
    """Return a check that rejects an unconfirmed document with concerns.

    Args:
        loads: Task that returns the current load, empty when it is unknown.
            It runs while the document in force is read.
    """

    async def check(
        in_force: model.DocumentInForce, submitted: document.Document
    ) -> None:
        concerns = document.find_concerns(
            in_force.document, submitted, await loads
        )
        if concerns:
            raise model.GuardRailError(concerns)

    return check


async def async_skip_check(
    _in_force: model.DocumentInForce, _submitted: document.Document
) -> None:
    """Accept any document, because the operator has confirmed it."""
