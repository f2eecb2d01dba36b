"""The verb that takes a failure domain out or brings it back."""

import functools

from kumquatport.process.ctl import verbs
from kumquatport.version import acceptance, document


async def async_domain(
    call: verbs.CommandContext,
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
    edit = functools.partial(
        _set_domain_out,
        name=name,
        out=out,
        operator=call.operator,
        comment=comment,
    )
    accepted = await acceptance.async_change(
        call.client, edit, verbs.start_load_check(call, confirmed=confirmed)
    )
    return await verbs.async_report_and_record(call, accepted)


def _set_domain_out(
    current: document.Document,
    *,
    name: str,
    out: bool,
    operator: str,
    comment: str,
) -> document.Document:
    """Return the document with the failure domain out or in."""
    changed = document.with_domain_out(current, name, out=out)
    return document.with_submission(changed, operator, comment)
