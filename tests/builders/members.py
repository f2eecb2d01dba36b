"""Builders of instance records and candidates."""

from kumquatport.version import members, table


def agent(**changes):
    """Build the record of a ready agent."""
    record = members.InstanceRecord(
        instance='agent-1',
        kind='agent',
        region='accra',
        failure_domain='accra-a',
        service='storefront',
        address='127.40.1.1',
        control_port=7000,
        data_port=7100,
        state='ready',
        weight=1.0,
        incarnation=1,
        sequence=1,
    )
    return record._replace(**changes)


def balancer(**changes):
    """Build the record of a ready balancer."""
    record = agent(
        instance='balancer-1',
        kind='balancer',
        service='',
        data_port=0,
    )
    return record._replace(**changes)


def candidate(number, **changes):
    """Build a candidate of full weight."""
    built = table.Candidate(
        instance=f'agent-{number}',
        failure_domain='accra-a',
        address='127.40.1.1',
        data_port=7100 + number,
        weight=1.0,
    )
    return built._replace(**changes)
