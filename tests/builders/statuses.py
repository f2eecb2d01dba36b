"""Builders of instance statuses."""

import typing


def agent(
    instance: str, service: str, failure_domain: str, in_progress: int
) -> dict[str, typing.Any]:
    """Build the status of a ready agent.

    Args:
        instance: Name of the instance.
        service: Name of its service.
        failure_domain: Its failure domain.
        in_progress: Number of requests in progress.
    """
    return {
        'instance': instance,
        'kind': 'agent',
        'failure_domain': failure_domain,
        'service': service,
        'state': 'ready',
        'release': '0',
        'document_version': 1,
        'uptime_s': 1.0,
        'member_counts': {'agent.ready': 1},
        'members': [],
        'metrics': {
            'counters': {},
            'gauges': {'requests.in_progress': in_progress},
            'histograms': [],
        },
    }
