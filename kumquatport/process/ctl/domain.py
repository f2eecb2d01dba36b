"""The verb that takes a failure domain out or brings it back."""

import asyncio
import functools
from collections import abc

from kumquatport.process.ctl import verbs
from kumquatport.process.load import source
from kumquatport.version import acceptance, document


async def async_domain(
    call: verbs.Call,
    name: str,
    *,
    out: bool,
    comment: str,
    confirmed: bool,
) -> int:
    """Read what is in force, change one field, write it back.

    The read of the platform and the questions to the instances go out
    together, so that a slow platform costs one read and one write in all.

    Raises:
        GuardRailError: It has to be confirmed.
        NotInDocumentError: There is no such failure domain.
    """
    urls = () if confirmed else call.instances
    asked = asyncio.create_task(source.async_loads(urls))
    edit = functools.partial(
        _changed, name=name, out=out, operator=call.operator, comment=comment
    )
    accepted = await acceptance.async_change(
        call.client, edit, _check(asked, confirmed=confirmed)
    )
    return await verbs.async_finish(call, accepted)


def _check(
    asked: asyncio.Task[list[document.DomainLoad]], *, confirmed: bool
) -> abc.Callable[[acceptance.InForce, document.Document], abc.Awaitable[None]]:
    """Return the check of the guard rails with the load asked for."""

    async def check(
        in_force: acceptance.InForce, changed: document.Document
    ) -> None:
        if not confirmed:
            acceptance.check_guard_rails(in_force, changed, await asked)

    return check


def _changed(
    current: document.Document,
    *,
    name: str,
    out: bool,
    operator: str,
    comment: str,
) -> document.Document:
    """Return the document with the failure domain out or in."""
    changed = document.with_domain_out(current, name, out=out)
    changed['operator'] = operator
    changed['comment'] = comment
    return document.check(changed)
