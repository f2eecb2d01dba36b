"""The operators' document: schema, checks, encoding, look-ups.

Everything that other subsystems need is reachable from here, so that they
write ``document.parse(value)``.
"""

from kumquatport.version.document import (
    codec,
    difference,
    edit,
    guard,
    lookup,
    model,
)

check = codec.check
decode = codec.decode
encode = codec.encode
parse = codec.parse
submitted = codec.submitted

Change = difference.Change
change_lines = difference.lines
compare = difference.difference

draft = edit.draft
empty = edit.empty
with_domain_out = edit.with_domain_out
with_failure_domain = edit.with_failure_domain
with_rule = edit.with_rule
with_service = edit.with_service
without_failure_domain = edit.without_failure_domain
without_rule = edit.without_rule
without_service = edit.without_service

Concern = guard.Concern
DomainLoad = guard.DomainLoad
concerns = guard.concerns

all_failure_domains = lookup.all_failure_domains
class_of = lookup.class_of
failure_domain = lookup.failure_domain
failure_domains_of = lookup.failure_domains_of
service = lookup.service
services_named = lookup.services_named
client_account_of = lookup.client_account_of
weight_of = lookup.weight_of

Document = model.Document
FailureDomain = model.FailureDomain
Limits = model.Limits
Predecessor = model.Predecessor
Ramp = model.Ramp
Rule = model.Rule
Service = model.Service
ClientAccount = model.ClientAccount
TrafficClass = model.TrafficClass
