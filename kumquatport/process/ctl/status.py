"""The verb that tells what is in force, and where."""

import asyncio
import typing

from kumquatport import exceptions
from kumquatport.process.ctl import const, output, verbs
from kumquatport.process.load import statuses
from kumquatport.version import acceptance


class InstanceAnswer(typing.TypedDict):
    """State of one instance, for scripts.

    ``document_version`` is None when it did not answer.
    """

    url: str
    instance: str
    kind: str
    failure_domain: str
    state: str
    document_version: int | None
    reason: str


class StatusAnswer(typing.TypedDict):
    """What is in force, for scripts; None while the platform is away."""

    version: int | None
    operator: str
    failure_domains_out: list[str]
    instances: list[InstanceAnswer]


async def async_status(call: verbs.CommandContext) -> int:
    """Ask the platform and the instances at once."""
    in_force, answers = await asyncio.gather(
        _async_read_in_force(call), statuses.async_ask(call.instances)
    )
    instances = [_instance_answer(answer) for answer in answers]
    answer: StatusAnswer = {
        'version': None if in_force is None else in_force.version,
        'operator': '' if in_force is None else in_force.document['operator'],
        'failure_domains_out': _failure_domains_out(in_force),
        'instances': instances,
    }
    lines = [_format_summary(answer)]
    lines.extend(_format_instance(one, answer['version']) for one in instances)
    exit_code = const.EXIT_UNAVAILABLE
    if in_force is not None:
        exit_code = const.EXIT_DONE
    call.emit(output.Report(exit_code, tuple(lines), answer))
    return exit_code


async def _async_read_in_force(
    call: verbs.CommandContext,
) -> acceptance.DocumentInForce | None:
    try:
        return await acceptance.async_read_in_force(call.client)
    except exceptions.PlatformUnavailableError:
        return None


def _failure_domains_out(
    in_force: acceptance.DocumentInForce | None,
) -> list[str]:
    if in_force is None:
        return []
    rows = in_force.document['failure_domains']
    return [row['name'] for row in rows if row['out']]


def _instance_answer(answer: statuses.Answer) -> InstanceAnswer:
    status = answer.status
    if status is None:
        return {
            'url': answer.url,
            'instance': '',
            'kind': '',
            'failure_domain': '',
            'state': 'no answer',
            'document_version': None,
            'reason': answer.reason,
        }
    return {
        'url': answer.url,
        'instance': status['instance'],
        'kind': status['kind'],
        'failure_domain': status['failure_domain'],
        'state': status['state'],
        'document_version': status['document_version'],
        'reason': '',
    }


def _format_summary(answer: StatusAnswer) -> str:
    if answer['version'] is None:
        return 'platform: no answer'
    out = ', '.join(answer['failure_domains_out']) or 'none'
    return f'version {answer["version"]} in force; failure domains out: {out}'


def _format_instance(one: InstanceAnswer, version: int | None) -> str:
    if one['document_version'] is None:
        return f'{one["url"]}: no answer: {one["reason"]}'
    held = one['document_version']
    behind = ''
    if version is not None and held < version:
        behind = f' ({version - held} behind)'
    return (
        f'{one["instance"]} ({one["kind"]}, {one["failure_domain"]}): '
        f'{one["state"]}, version {held}{behind}'
    )
