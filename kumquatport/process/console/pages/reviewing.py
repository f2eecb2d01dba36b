"""Reviews a draft against the document in force, and puts it in force."""

import asyncio
import typing

import msgspec
from aiohttp import web

from kumquatport import exceptions
from kumquatport.process.console import const, context
from kumquatport.process.load import domain_load
from kumquatport.version import acceptance, document


class Attempt(typing.NamedTuple):
    """One attempt to put a draft in force, as posted by its form."""

    draft: document.Document
    identifier: str
    comment: str
    confirmed: bool


async def async_review(request: web.Request) -> web.Response:
    """Show the differences between a draft and the document in force."""
    draft = await context.async_read_draft(request)
    attempt = Attempt(draft, acceptance.new_identifier(), '', confirmed=False)
    return await _async_review_page(request, attempt)


async def async_apply(request: web.Request) -> web.Response:
    """Put a draft in force, or show why it was not accepted."""
    attempt = await _async_read_attempt(request)
    try:
        submitted = document.with_submission(
            attempt.draft,
            context.operator(request),
            attempt.comment,
            attempt.identifier,
        )
        accepted = await acceptance.async_accept(
            context.from_request(request).client,
            submitted,
            _start_load_check(request, confirmed=attempt.confirmed),
            attempt.identifier,
        )
    except (
        acceptance.GuardRailError,
        exceptions.DocumentRejectedError,
    ) as rejection:
        return await _async_review_page(request, attempt, rejection)
    except acceptance.AcceptanceConflictError as conflict:
        return _conflict_page(request, conflict, attempt.draft)
    except (
        acceptance.AcceptanceUnknownError,
        exceptions.PlatformUnavailableError,
    ):
        return _unknown_page(request, attempt)
    return _accepted_page(request, accepted)


async def async_outcome(request: web.Request) -> web.Response:
    """Query again whether an attempt took effect."""
    attempt = await _async_read_attempt(request)
    try:
        accepted = await acceptance.async_read_outcome(
            context.from_request(request).client,
            attempt.identifier,
            attempt.draft['base_version'],
            attempt.draft,
        )
    except acceptance.AcceptanceConflictError as conflict:
        return _conflict_page(request, conflict, attempt.draft)
    except acceptance.AcceptanceUnknownError:
        return _unknown_page(request, attempt)
    return _accepted_page(request, accepted)


async def _async_read_attempt(request: web.Request) -> Attempt:
    """Return the attempt in the posted form."""
    confirmed = await context.async_read_field(request, const.FIELD_CONFIRM)
    return Attempt(
        await context.async_read_draft(request),
        await context.async_read_field(request, const.FIELD_IDENTIFIER),
        await context.async_read_field(request, const.FIELD_COMMENT),
        confirmed=bool(confirmed),
    )


def _start_load_check(
    request: web.Request, *, confirmed: bool
) -> acceptance.Check:
    """Start querying the current load; return the guard rail check on it."""
    if confirmed:
        return acceptance.async_skip_check
    instances = context.from_request(request).instances
    return acceptance.guard_rail_check(
        asyncio.create_task(domain_load.async_query(instances))
    )


async def _async_review_page(
    request: web.Request,
    attempt: Attempt,
    rejection: exceptions.KumquatportError | None = None,
) -> web.Response:
    """Show the differences, and the concerns or errors about the draft."""
    page_context = context.from_request(request)
    in_force = await acceptance.async_read_in_force(page_context.client)
    draft = attempt.draft
    if in_force.version != draft['base_version']:
        conflict = acceptance.AcceptanceConflictError(in_force, draft)
        return _conflict_page(request, conflict, draft)
    loads = await domain_load.async_query(page_context.instances)
    changes = document.compare(in_force.document, draft)
    content = {
        'attempt': attempt,
        'sealed': context.sign_draft(request, draft),
        'version': in_force.version,
        'changes': changes[: const.MAX_SHOWN_CHANGES],
        'count': len(changes),
        'concerns': document.find_concerns(in_force.document, draft, loads),
        'is_load_known': bool(loads),
        'held': rejection,
    }
    status = web.HTTPUnprocessableEntity.status_code if rejection else 200
    return context.render_page(request, 'review.html', content, status)


def _accepted_page(
    request: web.Request, accepted: acceptance.Accepted
) -> web.Response:
    context.from_request(request).count_event(const.COUNT_ACCEPTED)
    context.from_request(request).record_acceptance(accepted)
    return context.render_page(request, 'accepted.html', {'accepted': accepted})


def _conflict_page(
    request: web.Request,
    conflict: acceptance.AcceptanceConflictError,
    draft: document.Document,
) -> web.Response:
    """Show the document in force and the draft that conflicts with it."""
    context.from_request(request).count_event(const.COUNT_CONFLICT)
    in_force = conflict.in_force
    changes = document.compare(in_force.document, draft)
    content = {
        'in_force': in_force,
        'draft': draft,
        'changes': changes[: const.MAX_SHOWN_CHANGES],
        'theirs': _format_document(in_force.document),
        'yours': _format_document(draft),
    }
    status = web.HTTPConflict.status_code
    return context.render_page(request, 'conflict.html', content, status)


def _unknown_page(request: web.Request, attempt: Attempt) -> web.Response:
    """Show that the outcome is not known yet, with a form to query it again."""
    context.from_request(request).count_event(const.COUNT_UNKNOWN)
    content = {
        'attempt': attempt,
        'sealed': context.sign_draft(request, attempt.draft),
    }
    status = web.HTTPGatewayTimeout.status_code
    return context.render_page(request, 'unknown.html', content, status)


def _format_document(displayed: document.Document) -> str:
    return msgspec.json.format(msgspec.json.encode(displayed)).decode()
