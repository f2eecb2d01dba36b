"""Edits of a document; each returns a changed copy."""

from kumquatport.version.document import const, lookup, model


def empty() -> model.Document:
    """Return the initial document, in force until one is accepted."""
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
    """Return a copy for editing, based on the version in force."""
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
    """Return a copy with the ``out`` flag of a failure domain set or cleared.

    Raises:
        NotInDocumentError: There is no such failure domain.
    """
    lookup.failure_domain(document, name)
    changed = document.copy()
    changed['failure_domains'] = [
        {**entry, 'out': out} if entry['name'] == name else entry
        for entry in document['failure_domains']
    ]
    return changed


def with_failure_domain(
    document: model.Document, name: str, region: str
) -> model.Document:
    """Return a copy with a failure domain added; it is not validated."""
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
        entry for entry in document['failure_domains'] if entry['name'] != name
    ]
    changed['rules'] = [
        rule for rule in document['rules'] if rule['failure_domain'] != name
    ]
    return changed


def with_service(
    document: model.Document, name: str, replacement: model.Service
) -> model.Document:
    """Return a copy with a service replaced or added.

    Rules are updated if the service is renamed.

    Args:
        document: The document.
        name: Current name of the service; empty to add one.
        replacement: The new service.
    """
    changed = document.copy()
    changed['services'] = [
        replacement if entry['name'] == name else entry
        for entry in document['services']
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
        entry for entry in document['services'] if entry['name'] != name
    ]
    changed['rules'] = [
        rule for rule in document['rules'] if rule['service'] != name
    ]
    return changed


def with_rule(document: model.Document, added: model.Rule) -> model.Document:
    """Return a copy with a rule added or replaced.

    A document has at most one rule for a service and failure domain.
    """
    changed = without_rule(document, added['service'], added['failure_domain'])
    changed['rules'].append(added)
    return changed


def without_rule(
    document: model.Document, service: str, failure_domain: str
) -> model.Document:
    """Return a copy without the rule of a service and failure domain."""
    changed = document.copy()
    changed['rules'] = [
        rule
        for rule in document['rules']
        if (rule['service'], rule['failure_domain'])
        != (service, failure_domain)
    ]
    return changed
