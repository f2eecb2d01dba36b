"""Acceptance: putting one document in force, or telling why it is not."""

from kumquatport.version.acceptance import (
    accept,
    audit,
    model,
    rails,
    settle,
    store,
)

Accepted = model.Accepted
AcceptanceConflictError = model.AcceptanceConflictError
AcceptanceUnknownError = model.AcceptanceUnknownError
AuditEntry = model.AuditEntry
Check = rails.Check
GuardRailError = model.GuardRailError
InForce = model.InForce

async_accept = accept.async_accept
async_ask = settle.async_ask
async_confirmed = rails.async_confirmed
async_change = accept.async_change
async_history = audit.async_history
async_in_force = store.async_in_force
async_record = audit.async_record
checked = rails.checked
entry_lines = audit.entry_lines
new_identifier = accept.new_identifier
