"""Changes of a document that have a command of their own."""

from kumquatport.version.document import const, lookup, model


def empty() -> model.Document:
    """Return the document that is in force before any was accepted."""
    return {
        'schema': const.SCHEMA_NUMBER,
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
