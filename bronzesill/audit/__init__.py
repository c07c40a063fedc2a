"""Audit trail of changes to configuration, moves and orders."""

from .trail import (
    AUDIT_PREFIX,
    MAX_ENTRIES,
    AuditEntry,
    audit_mutation,
    read_trail,
    trim_trail,
)

__all__ = [
    'AUDIT_PREFIX',
    'MAX_ENTRIES',
    'AuditEntry',
    'audit_mutation',
    'read_trail',
    'trim_trail',
]
