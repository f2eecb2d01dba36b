"""Changes of a document that have a command of their own."""

from kumquatport.version.document import const, lookup, model


def empty() -> model.Document:
    """Return the document that is in force before any was accepted."""
    return {
        'schema': const.SCHEMA_VERSION,
        'identifier': '',
        'base_version': 0,
        'operator': '',
        'comment': '',
        'submitted_s': 0,
        'predecessors': [],
        'failure_domains': [],
        'services': [],
        'rules': [],
    }


def draft(document: model.Document, version: int) -> model.Document:
    """Return a copy to be edited, made from the version in force."""
    copied = document.copy()
    copied['base_version'] = version
    copied['identifier'] = ''
    copied['operator'] = ''
    copied['comment'] = ''
    copied['submitted_s'] = 0
    copied['predecessors'] = []
    return copied


def with_domain_out(
    document: model.Document, name: str, *, out: bool
) -> model.Document:
    """Return a copy in which one failure domain is taken out or brought back.

    Raises:
        NotInDocumentError: There is no failure domain of that name.
    """
    lookup.failure_domain(document, name)
    changed = document.copy()
    changed['failure_domains'] = [
        {**row, 'out': out} if row['name'] == name else row
        for row in document['failure_domains']
    ]
    return changed


def with_failure_domain(
    document: model.Document, name: str, region: str
) -> model.Document:
    """Return a copy with one more failure domain, to be checked."""
    changed = document.copy()
    added: model.FailureDomain = {'name': name, 'region': region, 'out': False}
    changed['failure_domains'] = [*document['failure_domains'], added]
    return changed


def without_failure_domain(
    document: model.Document, name: str
) -> model.Document:
    """Return a copy without a failure domain and the rules that name it."""
    changed = document.copy()
    changed['failure_domains'] = [
        row for row in document['failure_domains'] if row['name'] != name
    ]
    changed['rules'] = [
        rule for rule in document['rules'] if rule['failure_domain'] != name
    ]
    return changed


def with_service(
    document: model.Document, name: str, replacement: model.Service
) -> model.Document:
    """Return a copy with a service replaced, or added when there is none.

    Rules follow a service that gets another name.

    Args:
        document: The document.
        name: Present name of the service; empty to add one.
        replacement: The service as it should be.
    """
    changed = document.copy()
    changed['services'] = [
        replacement if row['name'] == name else row
        for row in document['services']
    ]
    if not name:
        changed['services'].append(replacement)
        return changed
    changed['rules'] = [
        {**rule, 'service': replacement['name']}
        if rule['service'] == name
        else rule
        for rule in document['rules']
    ]
    return changed


def without_service(document: model.Document, name: str) -> model.Document:
    """Return a copy without a service and the rules that name it."""
    changed = document.copy()
    changed['services'] = [
        row for row in document['services'] if row['name'] != name
    ]
    changed['rules'] = [
        rule for rule in document['rules'] if rule['service'] != name
    ]
    return changed


def with_rule(document: model.Document, added: model.Rule) -> model.Document:
    """Return a copy in which the rule stands in place of one for its pair."""
    changed = without_rule(document, added['service'], added['failure_domain'])
    changed['rules'].append(added)
    return changed


def without_rule(
    document: model.Document, service: str, failure_domain: str
) -> model.Document:
    """Return a copy without the rule of a pair."""
    changed = document.copy()
    changed['rules'] = [
        rule
        for rule in document['rules']
        if (rule['service'], rule['failure_domain'])
        != (service, failure_domain)
    ]
    return changed
