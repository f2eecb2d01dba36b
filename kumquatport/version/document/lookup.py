"""Look-ups in a validated document."""

from collections import abc

from kumquatport import exceptions
from kumquatport.version.document import const, model


def service(document: model.Document, name: str) -> model.Service:
    """Return the service with the given name.

    Raises:
        NotInDocumentError: There is no such service.
    """
    for entry in document['services']:
        if entry['name'] == name:
            return entry
    raise exceptions.NotInDocumentError(f'service {name}')


def services_by_name(document: model.Document) -> dict[str, model.Service]:
    """Return all services by name."""
    return {entry['name']: entry for entry in document['services']}


def failure_domain(document: model.Document, name: str) -> model.FailureDomain:
    """Return the failure domain with the given name.

    Raises:
        NotInDocumentError: There is no such failure domain.
    """
    for entry in document['failure_domains']:
        if entry['name'] == name:
            return entry
    raise exceptions.NotInDocumentError(f'failure domain {name}')


def class_of(
    service: model.Service, method: str, path: str
) -> model.TrafficClass:
    """Return the first traffic class that matches a request, else ``other``."""
    for entry in service['classes']:
        if method in entry['methods'] and path.startswith(entry['path_prefix']):
            return entry
    for other in service['classes']:
        if other['name'] == const.CLASS_OTHER:
            return other
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
    """Return the client account with the given name, else ``default``."""
    default: model.ClientAccount = {
        'name': const.CLIENT_ACCOUNT_DEFAULT,
        'share': const.DEFAULT_SHARE,
    }
    for entry in service['client_accounts']:
        if entry['name'] == name:
            return entry
        if entry['name'] == const.CLIENT_ACCOUNT_DEFAULT:
            default = entry
    return default


def failure_domain_weight(
    document: model.Document, service_name: str, domain_name: str
) -> float:
    """Return the weight of a failure domain for a service's new flows.

    Without a rule it is 1; a failure domain that is out has weight 0.
    """
    return failure_domain_weights(document, service_name).get(domain_name, 0)


def failure_domain_weights(
    document: model.Document, service_name: str
) -> dict[str, float]:
    """Return the weights of the failure domains that get a service's flows.

    Failure domains that are out or have weight 0 are left out.
    """
    rules = [
        rule for rule in document['rules'] if rule['service'] == service_name
    ]
    return _apply_rules(_default_weights(document), rules)


def failure_domain_weights_by_service(
    document: model.Document,
) -> dict[str, dict[str, float]]:
    """Return the result of ``failure_domain_weights`` for every service.

    Services without rules share one dictionary.
    """
    default_weights = _default_weights(document)
    rules: dict[str, list[model.Rule]] = {}
    for rule in document['rules']:
        rules.setdefault(rule['service'], []).append(rule)
    return {
        entry['name']: _apply_rules(
            default_weights, rules.get(entry['name'], ())
        )
        for entry in document['services']
    }


def _default_weights(document: model.Document) -> dict[str, float]:
    """Return the failure domain weights of a service without rules."""
    return {
        entry['name']: const.DEFAULT_WEIGHT
        for entry in document['failure_domains']
        if not entry['out']
    }


def _apply_rules(
    default_weights: dict[str, float], rules: abc.Sequence[model.Rule]
) -> dict[str, float]:
    """Apply a service's rules to the default weights and drop zero weights."""
    if not rules:
        return default_weights
    weights = default_weights.copy()
    for rule in rules:
        if rule['failure_domain'] in default_weights:
            weights[rule['failure_domain']] = rule['weight']
    return {name: weight for name, weight in weights.items() if weight > 0}
