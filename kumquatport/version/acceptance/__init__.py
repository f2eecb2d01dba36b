"""Acceptance of documents: put one in force, or report why it was not."""

from kumquatport.version.acceptance import (
    accept,
    audit,
    confirmation,
    model,
    outcomes,
    store,
)

Accepted = model.Accepted
AcceptanceConflictError = model.AcceptanceConflictError
AcceptanceUnknownError = model.AcceptanceUnknownError
AuditEntry = model.AuditEntry
Check = confirmation.Check
GuardRailError = model.GuardRailError
DocumentInForce = model.DocumentInForce

async_accept = accept.async_accept
async_read_outcome = outcomes.async_read_outcome
async_skip_check = confirmation.async_skip_check
async_change = accept.async_change
async_read_history = audit.async_read_history
async_read_in_force = store.async_read_in_force
async_record = audit.async_record
guard_rail_check = confirmation.guard_rail_check
entry_lines = audit.entry_lines
new_identifier = accept.new_identifier
