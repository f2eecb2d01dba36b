"""Entry point of kumquatportctl."""

import argparse
import asyncio
import functools
import sys
import typing
from collections import abc

from kumquatport import exceptions
from kumquatport.platform import client as platform
from kumquatport.process import logs
from kumquatport.process.ctl import (
    arguments,
    domain,
    explain,
    output,
    recovery,
    settings,
    status,
    verbs,
)
from kumquatport.process.settings import models
from kumquatport.version.acceptance import const as acceptance_const

_VerbCoroutine: typing.TypeAlias = abc.Coroutine[object, object, int]


def main(argv: abc.Sequence[str] | None = None) -> int:
    """Run one verb and return its exit code."""
    options = arguments.parse(argv)
    logs.setup(models.LogSettings(format='console', level='error'))
    emit = functools.partial(output.emit, as_json=options.json)
    try:
        return _run(options, emit)
    except exceptions.KumquatportError as error:
        report = output.error_report(error)
        emit(report)
        return report.exit_code


def _run(options: argparse.Namespace, emit: output.Emit) -> int:
    offline: dict[str, abc.Callable[[], output.Report]] = {
        'validate': lambda: verbs.validate(options.file),
        'explain': lambda: explain.explain(options.flow, options.logs),
        'recovery': lambda: recovery.recovery(options.logs, options.since),
    }
    make = offline.get(options.verb)
    if make is not None:
        report = make()
        emit(report)
        return report.exit_code
    loaded = settings.load(
        options.settings,
        options.platform,
        options.operator,
        getattr(options, 'instance', ()),
    )
    return asyncio.run(_async_run(options, loaded, emit))


async def _async_run(
    options: argparse.Namespace,
    loaded: settings.CtlSettings,
    emit: output.Emit,
) -> int:
    client = platform.PlatformClient(
        loaded.platform_url, acceptance_const.PLATFORM_TIMEOUT_S
    )
    await client.async_setup()
    call = verbs.CommandContext(client, loaded.operator, loaded.instances, emit)
    try:
        return await _verb_coroutine(options, call)
    finally:
        await client.async_stop()


def _verb_coroutine(
    options: argparse.Namespace, call: verbs.CommandContext
) -> _VerbCoroutine:
    """Return the work of the verb."""
    makers: dict[str, abc.Callable[[], _VerbCoroutine]] = {
        'diff': lambda: verbs.async_diff(call, options.file),
        'apply': lambda: verbs.async_apply(
            call,
            options.file,
            options.identifier,
            options.comment,
            options.confirm,
        ),
        'show': lambda: verbs.async_show(call),
        'history': lambda: verbs.async_history(call, options.count),
        'outcome': lambda: verbs.async_outcome(
            call, options.identifier, options.base
        ),
        'status': lambda: status.async_status(call),
        'domain': lambda: domain.async_domain(
            call,
            options.name,
            out=options.direction == 'out',
            comment=options.comment,
            confirmed=options.confirm,
        ),
    }
    return makers[options.verb]()


if __name__ == '__main__':
    sys.exit(main())
