"""Entry point of kumquatportctl."""

import argparse
import asyncio
import functools
import sys
import typing
from collections import abc

from kumquatport import exceptions
from kumquatport.platform import client as platform
from kumquatport.platform import packet
from kumquatport.process import logs
from kumquatport.process.ctl import (
    arguments,
    domain,
    explain,
    output,
    placement,
    recovery,
    settings,
    status,
    verbs,
)
from kumquatport.process.settings import models
from kumquatport.version.acceptance import const as acceptance_const

_VerbCoroutine: typing.TypeAlias = abc.Coroutine[object, object, int]


def main(argv: abc.Sequence[str] | None = None) -> int:
    """Run one verb and return its exit code.

    Args:
        argv: Arguments without the program name; None for those of the
            process.
    """
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
        'placement': lambda: placement.placement(
            options.flow, options.at, packet.CODEC
        ),
    }
    run_offline = offline.get(options.verb)
    if run_offline is not None:
        report = run_offline()
        emit(report)
        return report.exit_code
    ctl_settings = settings.load(
        options.settings,
        options.platform,
        options.operator,
        getattr(options, 'instance', ()),
    )
    return asyncio.run(_async_run(options, ctl_settings, emit))


async def _async_run(
    options: argparse.Namespace,
    ctl_settings: settings.CtlSettings,
    emit: output.Emit,
) -> int:
    client = platform.PlatformClient(
        ctl_settings.platform_url, acceptance_const.PLATFORM_TIMEOUT_S
    )
    await client.async_setup()
    context = verbs.CommandContext(
        client, ctl_settings.operator, ctl_settings.instances, emit
    )
    try:
        return await _verb_coroutine(options, context)
    finally:
        await client.async_stop()


def _verb_coroutine(
    options: argparse.Namespace, context: verbs.CommandContext
) -> _VerbCoroutine:
    """Return the coroutine that runs an online verb."""
    factories: dict[str, abc.Callable[[], _VerbCoroutine]] = {
        'diff': lambda: verbs.async_diff(context, options.file),
        'apply': lambda: verbs.async_apply(
            context,
            options.file,
            options.identifier,
            options.comment,
            options.confirm,
        ),
        'show': lambda: verbs.async_show(context),
        'history': lambda: verbs.async_history(context, options.count),
        'outcome': lambda: verbs.async_outcome(
            context, options.identifier, options.base
        ),
        'status': lambda: status.async_status(context),
        'domain': lambda: domain.async_domain(
            context,
            options.name,
            out=options.direction == 'out',
            comment=options.comment,
            confirmed=options.confirm,
        ),
    }
    return factories[options.verb]()


if __name__ == '__main__':
    sys.exit(main())
