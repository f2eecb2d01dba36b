"""Rendezvous tables that map new flows to agents."""

from kumquatport.version.table.cache import TableCache
from kumquatport.version.table.candidates import select_candidates
from kumquatport.version.table.rendezvous import Candidate, Table, build

__all__ = ('Candidate', 'Table', 'TableCache', 'build', 'select_candidates')
