"""Audit trail of changes."""

from .trail import (
    AUDIT_PREFIX,
    KEPT_ENTRIES,
    AuditEntry,
    audit_mutation,
    read_trail,
    trim_trail,
)
from .trimmer import AuditTrimmer

__all__ = [
    'AUDIT_PREFIX',
    'KEPT_ENTRIES',
    'AuditEntry',
    'AuditTrimmer',
    'audit_mutation',
    'read_trail',
    'trim_trail',
]
