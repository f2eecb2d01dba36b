"""Overview of the document in force, and history of accepted documents."""

from aiohttp import web

from kumquatport.process.console import const, context
from kumquatport.version import acceptance


async def async_overview(request: web.Request) -> web.Response:
    """Show the document in force."""
    in_force = await acceptance.async_read_in_force(
        context.from_request(request).client
    )
    return context.render_page(
        request,
        'overview.html',
        {'in_force': in_force, 'most': const.MAX_SHOWN_ROWS},
    )


async def async_history(request: web.Request) -> web.Response:
    """Show the accepted documents, newest first."""
    client = context.from_request(request).client
    in_force = await acceptance.async_read_in_force(client)
    entries = await acceptance.async_read_history(client, in_force)
    entry_lines = [acceptance.entry_lines(entry) for entry in entries]
    return context.render_page(
        request, 'history.html', {'entries': entry_lines}
    )
