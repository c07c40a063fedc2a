"""Quarantine of prompts that crash the backend servers that answer them."""

from .evidence import EvidenceTable, PartEvidence, PromptCrash
from .identity import MIN_SECRET_BYTES, request_identity
from .messages import CrashReport, PartStarted, PartSuspected
from .record import (
    QUARANTINE_PREFIX,
    BlockedParts,
    PartRecord,
    fact_of,
    record_from_entry,
    record_from_fact,
)

__all__ = [
    'MIN_SECRET_BYTES',
    'QUARANTINE_PREFIX',
    'BlockedParts',
    'CrashReport',
    'EvidenceTable',
    'PartEvidence',
    'PartRecord',
    'PartStarted',
    'PartSuspected',
    'PromptCrash',
    'fact_of',
    'record_from_entry',
    'record_from_fact',
    'request_identity',
]
