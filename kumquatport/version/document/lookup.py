"""Look-ups in a checked document."""

from collections import abc

from kumquatport import exceptions
from kumquatport.version.document import const, model


def service(document: model.Document, name: str) -> model.Service:
    """Return the service of that name.

    Raises:
        NotInDocumentError: There is none.
    """
    for row in document['services']:
        if row['name'] == name:
            return row
    raise exceptions.NotInDocumentError(f'service {name}')


def services_by_name(document: model.Document) -> dict[str, model.Service]:
    """Return all services by name, for repeated look-ups."""
    return {row['name']: row for row in document['services']}


def failure_domain(document: model.Document, name: str) -> model.FailureDomain:
    """Return the failure domain of that name.

    Raises:
        NotInDocumentError: There is none.
    """
    for row in document['failure_domains']:
        if row['name'] == name:
            return row
    raise exceptions.NotInDocumentError(f'failure domain {name}')


def class_of(
    service: model.Service, method: str, path: str
) -> model.TrafficClass:
    """Return the first class that matches, else the class ``other``."""
    for row in service['classes']:
        if method in row['methods'] and path.startswith(row['path_prefix']):
            return row
    for named in service['classes']:
        if named['name'] == const.CLASS_OTHER:
            return named
    return {
        'name': const.CLASS_OTHER,
        'methods': list(const.KNOWN_METHODS),
        'path_prefix': '/',
        'repeatable': False,
        'holds_slot': True,
        'deadline_s': None,
    }


def client_account_of(
    service: model.Service, name: str | None
) -> model.ClientAccount:
    """Return the client account a request names, else ``default``."""
    default: model.ClientAccount = {
        'name': const.CLIENT_ACCOUNT_DEFAULT,
        'share': const.DEFAULT_SHARE,
    }
    for row in service['client_accounts']:
        if row['name'] == name:
            return row
        if row['name'] == const.CLIENT_ACCOUNT_DEFAULT:
            default = row
    return default


def failure_domain_weight(
    document: model.Document, service_name: str, domain_name: str
) -> float:
    """Return the weight of a failure domain for a service's new work.

    Without a rule it is 1; a failure domain that is out has weight 0.
    """
    return failure_domain_weights(document, service_name).get(domain_name, 0)


def failure_domain_weights(
    document: model.Document, service_name: str
) -> dict[str, float]:
    """Return the weight of each failure domain that takes the service's work.

    Failure domains that are out or have weight 0 are not among them.
    """
    rules = [
        rule for rule in document['rules'] if rule['service'] == service_name
    ]
    return _weighted(_usual_weights(document), rules)


def failure_domain_weights_by_service(
    document: model.Document,
) -> dict[str, dict[str, float]]:
    """Return what ``failure_domain_weights`` returns, for every service at once.

    Services without rules share one dictionary.
    """
    usual = _usual_weights(document)
    rules: dict[str, list[model.Rule]] = {}
    for rule in document['rules']:
        rules.setdefault(rule['service'], []).append(rule)
    return {
        row['name']: _weighted(usual, rules.get(row['name'], ()))
        for row in document['services']
    }


def _usual_weights(document: model.Document) -> dict[str, float]:
    """Return the weights that hold without a rule."""
    return {
        row['name']: const.DEFAULT_WEIGHT
        for row in document['failure_domains']
        if not row['out']
    }


def _weighted(
    usual: dict[str, float], rules: abc.Sequence[model.Rule]
) -> dict[str, float]:
    """Return the weights under a service's rules, without those that are 0."""
    if not rules:
        return usual
    weights = usual.copy()
    for rule in rules:
        if rule['failure_domain'] in usual:
            weights[rule['failure_domain']] = rule['weight']
    return {name: weight for name, weight in weights.items() if weight > 0}
