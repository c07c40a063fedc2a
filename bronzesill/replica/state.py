"""Replica of the store's keys in one daemon; revisions never decrease."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

from ..store import Snapshot, StoredEntry

__all__ = ['MergeResult', 'Replica', 'merge', 'merge_snapshot']


@dataclasses.dataclass(frozen=True)
class Replica:
    """
    Immutable replica of the store's keys.

    A removed key keeps an entry with the revision of its removal, so that
    an older entry cannot restore it.

    :param entries_by_key: newest known entry of each key.
    """

    entries_by_key: Mapping[str, StoredEntry] = dataclasses.field(
        default_factory=dict
    )

    @property
    def last_revision(self) -> int:
        """Highest revision of all entries, 0 if there is none."""
        return max(
            (entry.mod_revision for entry in self.entries_by_key.values()),
            default=0,
        )

    def changed_since(self, revision: int) -> tuple[StoredEntry, ...]:
        """Return the entries that were written after a revision."""
        return tuple(
            entry
            for entry in self.entries_by_key.values()
            if entry.mod_revision > revision
        )

    def revision(self, key: str) -> int:
        """Return the known revision of a key, 0 if the key is unknown."""
        entry = self.entries_by_key.get(key)
        return entry.mod_revision if entry else 0


@dataclasses.dataclass(frozen=True)
class MergeResult:
    """
    Result of merging entries into a replica.

    :param replica: new replica.
    :param newer_entries: merged entries, in order of revision; those that
        were not newer than the replica are left out.
    :param ignored_entries: entries that say something else than the replica,
        but at a lower revision.
    """

    replica: Replica
    newer_entries: tuple[StoredEntry, ...]
    ignored_entries: tuple[StoredEntry, ...] = ()


def merge(replica: Replica, incoming: tuple[StoredEntry, ...]) -> MergeResult:
    """
    Merge entries that were read from the store or from a peer.

    For each key the entry of the highest revision is kept.

    :param replica: replica before the merge.
    :param incoming: entries in any order.
    """
    entries = dict(replica.entries_by_key)
    newer: list[StoredEntry] = []
    ignored: list[StoredEntry] = []
    for entry in sorted(incoming, key=lambda entry: entry.mod_revision):
        current = entries.get(entry.key)
        if current is None or entry.mod_revision > current.mod_revision:
            entries[entry.key] = entry
            newer.append(entry)
        elif _differs(entry, current):
            ignored.append(entry)
    if not newer:
        return MergeResult(replica, (), tuple(ignored))
    return MergeResult(Replica(entries), tuple(newer), tuple(ignored))


def _differs(entry: StoredEntry, other: StoredEntry) -> bool:
    return (entry.payload, entry.is_removed) != (
        other.payload,
        other.is_removed,
    )


def merge_snapshot(
    replica: Replica, prefix: str, snapshot: Snapshot
) -> MergeResult:
    """
    Merge a complete snapshot of a prefix.

    Keys below the prefix that are not in the snapshot are marked as removed
    at its revision.

    :param replica: replica before the merge.
    :param prefix: prefix of the keys in the snapshot.
    :param snapshot: all existing keys below the prefix.
    """
    present = {entry.key for entry in snapshot.entries}
    removed = tuple(
        StoredEntry(key, b'', snapshot.revision, is_removed=True)
        for key, entry in replica.entries_by_key.items()
        if key.startswith(prefix)
        and key not in present
        and not entry.is_removed
    )
    return merge(replica, (*snapshot.entries, *removed))
