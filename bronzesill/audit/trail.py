"""Audit trail of changes, kept in the platform's key-value store."""

from __future__ import annotations

import dataclasses

import orjson

from ..store import KeyValueStore, Mutation
from ..utils import stable_hash, structure_json, unstructure

__all__ = [
    'AUDIT_PREFIX',
    'MAX_ENTRIES',
    'AuditEntry',
    'audit_mutation',
    'read_trail',
    'trim_trail',
]

AUDIT_PREFIX = '/bronzesill/audit/'

#: Number of entries above which the oldest are deleted.
MAX_ENTRIES = 2000

_MAX_DELETIONS_PER_TRIM = 100
_MS_PER_S = 1000


@dataclasses.dataclass(frozen=True)
class AuditEntry:
    """
    One audited change.

    :param at_s: time of the change, seconds since the epoch.
    :param operator: name of the person or daemon that made the change.
    :param action: the operation, for example ``config apply``.
    :param subject: the object that was changed.
    :param reason: reason for the change.
    :param before: short description of the state before the change.
    :param after: short description of the state after the change.
    """

    at_s: float
    operator: str
    action: str
    subject: str
    reason: str
    before: str
    after: str


def audit_mutation(entry: AuditEntry) -> Mutation:
    """
    Return the mutation that records a change.

    Apply it in the same transaction as the change itself, so that the change
    and its audit entry are either both stored or both absent.

    :param entry: the change to record.
    """
    digest = stable_hash(entry.action, entry.subject, entry.after)
    at_ms = int(entry.at_s * _MS_PER_S)
    payload = orjson.dumps(unstructure(entry))
    return Mutation(f'{AUDIT_PREFIX}{at_ms:015d}-{digest:016x}', payload)


async def trim_trail(store: KeyValueStore) -> int:
    """
    Delete the oldest entries above :data:`MAX_ENTRIES`.

    :param store: the platform's key-value service.
    :returns: number of entries selected for deletion, 0 if there were none.
    """
    stored = await store.list(AUDIT_PREFIX)
    count = min(max(len(stored) - MAX_ENTRIES, 0), _MAX_DELETIONS_PER_TRIM)
    surplus = stored[:count]
    if surplus:
        deletions = tuple(Mutation(entry.key, None) for entry in surplus)
        await store.compare_and_swap(
            surplus[0].key, surplus[0].revision, deletions
        )
    return len(surplus)


async def read_trail(store: KeyValueStore) -> tuple[AuditEntry, ...]:
    """Return all stored entries, oldest first."""
    stored = await store.list(AUDIT_PREFIX)
    entries = [
        structure_json(stored_entry.payload, AuditEntry)
        for stored_entry in stored
    ]
    return tuple(sorted(entries, key=lambda entry: entry.at_s))
