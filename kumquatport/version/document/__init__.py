"""The configuration document of the operators.

This package re-exports the public API of its modules, so that callers write
``document.parse(value)``.
"""

from kumquatport.version.document import (
    codec,
    difference,
    edit,
    guard_rails,
    lookup,
    model,
)

check = codec.check
decode = codec.decode
encode = codec.encode
parse = codec.parse
with_submission = codec.with_submission

Change = difference.Change
change_lines = difference.change_lines
compare = difference.compare

draft = edit.draft
empty = edit.empty
with_domain_out = edit.with_domain_out
with_failure_domain = edit.with_failure_domain
with_rule = edit.with_rule
with_service = edit.with_service
without_failure_domain = edit.without_failure_domain
without_rule = edit.without_rule
without_service = edit.without_service

Concern = guard_rails.Concern
DomainLoad = guard_rails.DomainLoad
find_concerns = guard_rails.find_concerns

failure_domain_weights_by_service = lookup.failure_domain_weights_by_service
class_of = lookup.class_of
failure_domain = lookup.failure_domain
failure_domain_weights = lookup.failure_domain_weights
service = lookup.service
services_by_name = lookup.services_by_name
client_account_of = lookup.client_account_of
failure_domain_weight = lookup.failure_domain_weight

Document = model.Document
FailureDomain = model.FailureDomain
Limits = model.Limits
Predecessor = model.Predecessor
Ramp = model.Ramp
Rule = model.Rule
Service = model.Service
ClientAccount = model.ClientAccount
TrafficClass = model.TrafficClass
