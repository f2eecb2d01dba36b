"""The ``domain`` verb: takes a failure domain out of service or back in."""

import functools

from kumquatport.process.ctl import verbs
from kumquatport.version import acceptance, document


async def async_domain(
    context: verbs.CommandContext,
    name: str,
    *,
    out: bool,
    comment: str,
    confirmed: bool,
) -> int:
    """Change the ``out`` field of a failure domain in the document in force.

    The document is read while the load of the instances is requested, so that
    a slow platform delays the command by one read and one write only.

    Args:
        context: Settings and clients of the command.
        name: Name of the failure domain.
        out: True takes the failure domain out, False brings it back.
        comment: Comment for the audit entry.
        confirmed: Whether to skip the guard rails.

    Raises:
        GuardRailError: The change has to be confirmed.
        NotInDocumentError: The document has no such failure domain.
    """
    edit = functools.partial(
        _set_domain_out,
        name=name,
        out=out,
        operator=context.operator,
        comment=comment,
    )
    accepted = await acceptance.async_change(
        context.client,
        edit,
        verbs.start_load_check(context, confirmed=confirmed),
    )
    return await verbs.async_report_and_record(context, accepted)


def _set_domain_out(
    in_force: document.Document,
    *,
    name: str,
    out: bool,
    operator: str,
    comment: str,
) -> document.Document:
    """Return a copy of the document with the failure domain out or in."""
    changed = document.with_domain_out(in_force, name, out=out)
    return document.with_submission(changed, operator, comment)
