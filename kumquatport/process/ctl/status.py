"""The ``status`` verb: the version in force and the state of instances."""

import asyncio
import typing

from kumquatport import exceptions
from kumquatport.process.ctl import const, output, verbs
from kumquatport.process.load import statuses
from kumquatport.version import acceptance


class InstanceAnswer(typing.TypedDict):
    """State of one instance, as JSON output.

    ``document_version`` is None if the instance did not answer.
    """

    url: str
    instance: str
    kind: str
    failure_domain: str
    state: str
    document_version: int | None
    reason: str


class StatusAnswer(typing.TypedDict):
    """JSON output of ``status``.

    ``version`` is None while the platform is unavailable.
    """

    version: int | None
    operator: str
    failure_domains_out: list[str]
    instances: list[InstanceAnswer]


async def async_status(context: verbs.CommandContext) -> int:
    """Query the platform and the instances concurrently."""
    in_force, status_answers = await asyncio.gather(
        _async_read_in_force(context), statuses.async_query(context.instances)
    )
    instances = [_instance_answer(answer) for answer in status_answers]
    answer: StatusAnswer = {
        'version': None if in_force is None else in_force.version,
        'operator': '' if in_force is None else in_force.document['operator'],
        'failure_domains_out': _failure_domains_out(in_force),
        'instances': instances,
    }
    lines = [_format_summary(answer)]
    lines.extend(
        _format_instance(instance, answer['version']) for instance in instances
    )
    exit_code = const.EXIT_UNAVAILABLE
    if in_force is not None:
        exit_code = const.EXIT_DONE
    context.emit(output.Report(exit_code, tuple(lines), answer))
    return exit_code


async def _async_read_in_force(
    context: verbs.CommandContext,
) -> acceptance.DocumentInForce | None:
    try:
        return await acceptance.async_read_in_force(context.client)
    except exceptions.PlatformUnavailableError:
        return None


def _failure_domains_out(
    in_force: acceptance.DocumentInForce | None,
) -> list[str]:
    if in_force is None:
        return []
    rows = in_force.document['failure_domains']
    return [row['name'] for row in rows if row['out']]


def _instance_answer(answer: statuses.StatusResult) -> InstanceAnswer:
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


def _format_instance(
    instance: InstanceAnswer, version_in_force: int | None
) -> str:
    if instance['document_version'] is None:
        return f'{instance["url"]}: no answer: {instance["reason"]}'
    held_version = instance['document_version']
    lag = ''
    if version_in_force is not None and held_version < version_in_force:
        lag = f' ({version_in_force - held_version} behind)'
    return (
        f'{instance["instance"]} ({instance["kind"]}, '
        f'{instance["failure_domain"]}): '
        f'{instance["state"]}, version {held_version}{lag}'
    )
