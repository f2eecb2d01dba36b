"""Reviewing a draft against what is in force, and putting it in force."""

import asyncio
import typing

import msgspec
from aiohttp import web

from kumquatport import exceptions
from kumquatport.process.console import const, parts
from kumquatport.process.load import domain_load
from kumquatport.version import acceptance, document


class Attempt(typing.NamedTuple):
    """One attempt to put a draft in force, as its form carries it."""

    draft: document.Document
    identifier: str
    comment: str
    confirmed: bool


async def async_review(request: web.Request) -> web.Response:
    """Show the difference against what is in force."""
    draft = await parts.async_draft(request)
    attempt = Attempt(draft, acceptance.new_identifier(), '', confirmed=False)
    return await _async_review(request, attempt)


async def async_apply(request: web.Request) -> web.Response:
    """Put a draft in force, or tell why it is not."""
    attempt = await _async_attempt(request)
    try:
        submitted = document.with_submission(
            attempt.draft,
            parts.operator(request),
            attempt.comment,
            attempt.identifier,
        )
        accepted = await acceptance.async_accept(
            parts.of(request).client,
            submitted,
            _check(request, confirmed=attempt.confirmed),
            attempt.identifier,
        )
    except (
        acceptance.GuardRailError,
        exceptions.DocumentRejectedError,
    ) as held:
        return await _async_review(request, attempt, held)
    except acceptance.AcceptanceConflictError as conflict:
        return _conflict(request, conflict, attempt.draft)
    except (
        acceptance.AcceptanceUnknownError,
        exceptions.PlatformUnavailableError,
    ):
        return _unknown(request, attempt)
    return _accepted(request, accepted)


async def async_outcome(request: web.Request) -> web.Response:
    """Ask again what became of an attempt."""
    attempt = await _async_attempt(request)
    try:
        accepted = await acceptance.async_read_outcome(
            parts.of(request).client,
            attempt.identifier,
            attempt.draft['base_version'],
            attempt.draft,
        )
    except acceptance.AcceptanceConflictError as conflict:
        return _conflict(request, conflict, attempt.draft)
    except acceptance.AcceptanceUnknownError:
        return _unknown(request, attempt)
    return _accepted(request, accepted)


async def _async_attempt(request: web.Request) -> Attempt:
    """Return the attempt that the posted form carries."""
    confirmed = await parts.async_field(request, const.FIELD_CONFIRM)
    return Attempt(
        await parts.async_draft(request),
        await parts.async_field(request, const.FIELD_IDENTIFIER),
        await parts.async_field(request, const.FIELD_COMMENT),
        confirmed=bool(confirmed),
    )


def _check(request: web.Request, *, confirmed: bool) -> acceptance.Check:
    """Start to ask for the present load; return the check that uses it."""
    if confirmed:
        return acceptance.async_skip_check
    instances = parts.of(request).instances
    return acceptance.guard_rail_check(
        asyncio.create_task(domain_load.async_query(instances))
    )


async def _async_review(
    request: web.Request,
    attempt: Attempt,
    held: exceptions.KumquatportError | None = None,
) -> web.Response:
    """Show the difference and what speaks against it."""
    shared = parts.of(request)
    in_force = await acceptance.async_read_in_force(shared.client)
    draft = attempt.draft
    if in_force.version != draft['base_version']:
        conflict = acceptance.AcceptanceConflictError(in_force, draft)
        return _conflict(request, conflict, draft)
    loads = await domain_load.async_query(shared.instances)
    changes = document.compare(in_force.document, draft)
    content = {
        'attempt': attempt,
        'sealed': parts.seal(request, draft),
        'version': in_force.version,
        'changes': changes[: const.MAX_SHOWN_CHANGES],
        'count': len(changes),
        'concerns': document.find_concerns(in_force.document, draft, loads),
        'is_load_known': bool(loads),
        'held': held,
    }
    status = web.HTTPUnprocessableEntity.status_code if held else 200
    return parts.page(request, 'review.html', content, status)


def _accepted(
    request: web.Request, accepted: acceptance.Accepted
) -> web.Response:
    parts.of(request).count_event(const.COUNT_ACCEPTED)
    parts.of(request).record(accepted)
    return parts.page(request, 'accepted.html', {'accepted': accepted})


def _conflict(
    request: web.Request,
    conflict: acceptance.AcceptanceConflictError,
    draft: document.Document,
) -> web.Response:
    """Show both documents."""
    parts.of(request).count_event(const.COUNT_CONFLICT)
    in_force = conflict.in_force
    changes = document.compare(in_force.document, draft)
    content = {
        'in_force': in_force,
        'draft': draft,
        'changes': changes[: const.MAX_SHOWN_CHANGES],
        'theirs': _shown(in_force.document),
        'yours': _shown(draft),
    }
    status = web.HTTPConflict.status_code
    return parts.page(request, 'conflict.html', content, status)


def _unknown(request: web.Request, attempt: Attempt) -> web.Response:
    """Say that it is not known yet, with a form to ask again."""
    parts.of(request).count_event(const.COUNT_UNKNOWN)
    content = {
        'attempt': attempt,
        'sealed': parts.seal(request, attempt.draft),
    }
    status = web.HTTPGatewayTimeout.status_code
    return parts.page(request, 'unknown.html', content, status)


def _shown(shown: document.Document) -> str:
    return msgspec.json.format(msgspec.json.encode(shown)).decode()
