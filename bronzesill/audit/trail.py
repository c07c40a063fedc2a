"""Audit trail of changes, kept in the platform's store."""

from __future__ import annotations

import dataclasses

import orjson

from ..store import KeyValueStore, Mutation
from ..utils import stable_hash, structure_json, unstructure

__all__ = [
    'AUDIT_PREFIX',
    'KEPT_ENTRIES',
    'AuditEntry',
    'audit_mutation',
    'read_trail',
    'trim_trail',
]

AUDIT_PREFIX = '/bronzesill/audit/'

#: Entries that are kept; the oldest go first.
KEPT_ENTRIES = 2000

_TRIM_AT_ONCE = 100
_MS_PER_S = 1000


@dataclasses.dataclass(frozen=True)
class AuditEntry:
    """
    One change of something that operators look after.

    :param at_s: when, in seconds since the epoch.
    :param operator: who.
    :param action: what was done, for example ``config apply``.
    :param subject: to what.
    :param reason: why.
    :param before: state before, in a few words.
    :param after: state after, in a few words.
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
    Return the write that records a change.

    It goes into the same transaction as the change itself, so that neither
    is there without the other.

    :param entry: the change.
    """
    tail = stable_hash(entry.action, entry.subject, entry.after)
    at_ms = int(entry.at_s * _MS_PER_S)
    payload = orjson.dumps(unstructure(entry))
    return Mutation(f'{AUDIT_PREFIX}{at_ms:015d}-{tail:016x}', payload)


async def trim_trail(store: KeyValueStore) -> int:
    """
    Delete the oldest entries beyond what is kept.

    :returns: how many were deleted.
    """
    stored = await store.list(AUDIT_PREFIX)
    count = min(max(len(stored) - KEPT_ENTRIES, 0), _TRIM_AT_ONCE)
    surplus = stored[:count]
    if surplus:
        deletions = tuple(Mutation(entry.key, None) for entry in surplus)
        await store.compare_and_swap(
            surplus[0].key, surplus[0].mod_revision, deletions
        )
    return len(surplus)


async def read_trail(store: KeyValueStore) -> tuple[AuditEntry, ...]:
    """Read all entries kept, oldest first."""
    stored = await store.list(AUDIT_PREFIX)
    entries = [structure_json(found.payload, AuditEntry) for found in stored]
    return tuple(sorted(entries, key=lambda entry: entry.at_s))
