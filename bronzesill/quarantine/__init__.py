"""Quarantine of requests that crash the backend servers that run them."""

from .evidence import Crash, Evidence, EvidenceTable
from .identity import (
    MIN_SECRET_BYTES,
    part_suspect,
    request_identity,
    request_suspect,
    shared_parts,
)
from .judgement import Judge, Judgement, Verdict, WatchedSuspects
from .messages import BlockNotice, CrashReport, Suspected, SuspectStarted
from .record import (
    QUARANTINE_PREFIX,
    BlockedSuspects,
    SuspectRecord,
    fact_of,
    record_from_entry,
    record_from_fact,
    record_from_text,
)

__all__ = [
    'MIN_SECRET_BYTES',
    'QUARANTINE_PREFIX',
    'BlockNotice',
    'BlockedSuspects',
    'Crash',
    'CrashReport',
    'Evidence',
    'EvidenceTable',
    'Judge',
    'Judgement',
    'SuspectRecord',
    'SuspectStarted',
    'Suspected',
    'Verdict',
    'WatchedSuspects',
    'fact_of',
    'part_suspect',
    'record_from_entry',
    'record_from_fact',
    'record_from_text',
    'request_identity',
    'request_suspect',
    'shared_parts',
]
