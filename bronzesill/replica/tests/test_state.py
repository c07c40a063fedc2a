"""Tests of the replica: the revision of a key never decreases."""

import unittest

from ...store import Snapshot, StoredEntry, StoreRevision
from ..state import Replica, merge, merge_snapshot


def _entry(
    key: str, number: int, payload: bytes = b'x', era: int = 0
) -> StoredEntry:
    return StoredEntry(key, payload, StoreRevision(era, number))


def _snapshot(era: int, number: int, *entries: StoredEntry) -> Snapshot:
    return Snapshot(entries, StoreRevision(era, number))


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
        entry = merged.replica.entries_by_key['a']
        self.assertEqual(entry.revision, StoreRevision(0, 5))

    def test_key_missing_from_a_snapshot_is_removed(self) -> None:
        replica = merge(Replica(), (_entry('s/1', 1), _entry('t/1', 2))).replica
        merged = merge_snapshot(replica, _snapshot(0, 7, _entry('t/1', 2)))
        self.assertEqual([entry.key for entry in merged.newer_entries], ['s/1'])
        self.assertTrue(merged.newer_entries[0].is_removed)

    def test_stale_entry_does_not_restore_a_removed_key(self) -> None:
        replica = merge(Replica(), (_entry('s/1', 1),)).replica
        removed = merge_snapshot(replica, _snapshot(0, 7)).replica
        self.assertEqual(merge(removed, (_entry('s/1', 1),)).newer_entries, ())
        self.assertEqual(
            len(merge(removed, (_entry('s/1', 8),)).newer_entries), 1
        )


class LateEntryTest(unittest.TestCase):
    """An entry comes late for a key that a daemon never knew."""

    # Guards against removed keys that come back on daemons which started
    # after their removal.
    def test_entry_from_before_the_snapshot_is_ignored(self) -> None:
        replica = merge_snapshot(Replica(), _snapshot(1, 9)).replica
        late = _entry('servers/gone', 7, era=1)
        self.assertIs(merge(replica, (late,)).replica, replica)


class EmptyReplicaTest(unittest.TestCase):
    """A daemon that has read nothing yet."""

    def test_last_revision_is_below_all_others(self) -> None:
        self.assertEqual(Replica().last_revision, StoreRevision())
        self.assertEqual(Replica().to_snapshot(), _snapshot(0, 0))


class EraTest(unittest.TestCase):
    """The store begins a new era and gives out its revisions again."""

    def setUp(self) -> None:
        first = _snapshot(
            1, 50, _entry('kept', 3, era=1), _entry('lost', 50, era=1)
        )
        self.replica = merge_snapshot(Replica(), first).replica

    def test_snapshot_of_a_later_era_replaces_higher_revisions(self) -> None:
        changed = _entry('lost', 45, b'again', era=2)
        merged = merge_snapshot(self.replica, _snapshot(2, 45, changed))
        entries = merged.replica.entries_by_key
        self.assertEqual(entries['lost'], changed)
        self.assertTrue(entries['kept'].is_removed)
        self.assertEqual(merged.replica.last_revision, StoreRevision(2, 45))

    def test_what_comes_late_from_an_earlier_era_changes_nothing(self) -> None:
        second = _snapshot(2, 45, _entry('kept', 3, era=2))
        replica = merge_snapshot(self.replica, second).replica
        late = _entry('lost', 60, era=1)
        self.assertIs(merge(replica, (late,)).replica, replica)
        snapshot = _snapshot(1, 60, late)
        self.assertIs(merge_snapshot(replica, snapshot).replica, replica)

    def test_entry_of_a_later_era_waits_for_its_snapshot(self) -> None:
        early = _entry('kept', 46, b'new', era=2)
        merged = merge(self.replica, (early,))
        self.assertIs(merged.replica, self.replica)
        self.assertEqual(merged.ignored_entries, (early,))

    def test_revisions_do_not_compare_with_numbers(self) -> None:
        number: object = 6
        with self.assertRaises(TypeError):
            sorted((StoreRevision(1, 5), number))  # type: ignore[type-var]
