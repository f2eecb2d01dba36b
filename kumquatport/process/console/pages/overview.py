"""What is in force, and what was."""

from aiohttp import web

from kumquatport.process.console import const, parts
from kumquatport.version import acceptance


async def async_overview(request: web.Request) -> web.Response:
    """Show what is in force."""
    in_force = await acceptance.async_read_in_force(parts.of(request).client)
    return parts.page(
        request,
        'overview.html',
        {'in_force': in_force, 'most': const.MAX_SHOWN_ROWS},
    )


async def async_history(request: web.Request) -> web.Response:
    """Show what was accepted, newest first."""
    client = parts.of(request).client
    in_force = await acceptance.async_read_in_force(client)
    entries = await acceptance.async_read_history(client, in_force)
    texts = [acceptance.entry_lines(entry) for entry in entries]
    return parts.page(request, 'history.html', {'entries': texts})
