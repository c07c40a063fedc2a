"""Tests of the replica: the revision of a key never decreases."""

import unittest

from ...store import Snapshot, StoredEntry
from ..state import Replica, merge, merge_snapshot


def _entry(key: str, revision: int, payload: bytes = b'x') -> StoredEntry:
    return StoredEntry(key, payload, revision)


class MergeTest(unittest.TestCase):
    """Stale entries, from the store or a peer, do not replace newer ones."""

    def test_older_entry_is_ignored(self) -> None:
        new = merge(Replica(), (_entry('op/config', 9, b'new'),)).replica
        merged = merge(new, (_entry('op/config', 8, b'old'),))
        self.assertEqual(merged.newer_entries, ())
        entry = merged.replica.entries_by_key['op/config']
        self.assertEqual(entry.payload, b'new')

    def test_newest_revision_of_a_key_is_kept(self) -> None:
        merged = merge(
            Replica(), (_entry('a', 3), _entry('a', 5), _entry('a', 4))
        )
        self.assertEqual(merged.replica.revision('a'), 5)

    def test_key_missing_from_a_snapshot_is_removed(self) -> None:
        replica = merge(Replica(), (_entry('s/1', 1), _entry('t/1', 2))).replica
        merged = merge_snapshot(replica, 's/', Snapshot((), 7))
        self.assertEqual([entry.key for entry in merged.newer_entries], ['s/1'])
        self.assertTrue(merged.newer_entries[0].is_removed)

    def test_stale_entry_does_not_restore_a_removed_key(self) -> None:
        replica = merge(Replica(), (_entry('s/1', 1),)).replica
        removed = merge_snapshot(replica, 's/', Snapshot((), 7)).replica
        self.assertEqual(merge(removed, (_entry('s/1', 1),)).newer_entries, ())
        self.assertEqual(
            len(merge(removed, (_entry('s/1', 8),)).newer_entries), 1
        )
