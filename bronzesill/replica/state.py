"""Replica of the store's keys in one daemon; it is exchanged with others."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

from ..store import Snapshot, StoredEntry, StoreRevision
from .messages import FetchReplica, ReplicaAnswer, ReplicaEntry

__all__ = [
    'MergeResult',
    'Replica',
    'answer_fetch',
    'complete_to',
    'merge',
    'merge_answer',
    'merge_changes',
    'merge_snapshot',
]

_NO_REVISION = StoreRevision()


@dataclasses.dataclass(frozen=True)
class Replica:
    """
    Immutable replica of all keys of the store, as of one era.

    A removed key keeps an entry with the revision of its removal, so that
    an older entry cannot restore it.

    :param entries_by_key: newest known entry of each key.
    :param complete_from: revision of the last snapshot.  Keys that were
        removed before it may lack their entry.
    :param last_revision: revision up to which all changes are known.  Single
        entries may be newer, with unknown changes between.
    """

    entries_by_key: Mapping[str, StoredEntry] = dataclasses.field(
        default_factory=dict
    )
    complete_from: StoreRevision = _NO_REVISION
    last_revision: StoreRevision = _NO_REVISION

    @property
    def era(self) -> int:
        """Era of the store that the replica shows."""
        return self.complete_from.era

    def changed_since(self, revision: StoreRevision) -> tuple[StoredEntry, ...]:
        """Return the entries that were written after a revision."""
        return tuple(
            entry
            for entry in self.entries_by_key.values()
            if entry.revision > revision
        )

    def to_snapshot(self) -> Snapshot:
        """Return the existing keys."""
        entries = (
            entry
            for entry in self.entries_by_key.values()
            if not entry.is_removed
        )
        return Snapshot(tuple(entries), self.last_revision)


@dataclasses.dataclass(frozen=True)
class MergeResult:
    """
    Result of merging entries into a replica.

    :param replica: new replica.
    :param newer_entries: merged entries, in order of revision; those that
        were not newer than the replica are left out.
    :param ignored_entries: entries that say something else than the replica,
        but at a lower revision or in another era.
    """

    replica: Replica
    newer_entries: tuple[StoredEntry, ...]
    ignored_entries: tuple[StoredEntry, ...] = ()


def merge(replica: Replica, incoming: tuple[StoredEntry, ...]) -> MergeResult:
    """
    Merge entries that were read from the store or from a peer.

    For each key the entry of the highest revision is kept.  Entries of
    another era are left out: those of an earlier one come late, and those of
    a later one say nothing of the keys that it lacks.

    :param replica: replica before the merge.
    :param incoming: entries in any order, which may lack changes between.
    """
    return _merge_after(replica, incoming, replica.complete_from)


def merge_changes(
    replica: Replica, changes: tuple[StoredEntry, ...]
) -> MergeResult:
    """
    Merge all changes that follow a revision up to which all are known.

    :param replica: replica before the merge.
    :param changes: entries in any order, without a gap.
    """
    revisions = (change.revision for change in changes)
    last = max(revisions, default=replica.last_revision)
    return _completed(merge(replica, changes), last)


def complete_to(replica: Replica, revision: StoreRevision) -> Replica:
    """
    Record up to which revision of its era a replica is complete.

    :param replica: replica that holds all changes up to the revision.
    :param revision: the revision; one of another era says nothing.
    """
    if revision.era != replica.era or revision <= replica.last_revision:
        return replica
    return dataclasses.replace(replica, last_revision=revision)


def _completed(merged: MergeResult, revision: StoreRevision) -> MergeResult:
    renewed = complete_to(merged.replica, revision)
    return dataclasses.replace(merged, replica=renewed)


def _merge_after(
    replica: Replica,
    incoming: tuple[StoredEntry, ...],
    complete_from: StoreRevision,
) -> MergeResult:
    """
    Merge entries; those of unknown keys only if they are new enough.

    :param replica: replica before the merge.
    :param incoming: entries in any order.
    :param complete_from: revision up to which an unknown key is known not to
        exist.
    """
    entries = dict(replica.entries_by_key)
    newer: list[StoredEntry] = []
    ignored: list[StoredEntry] = []
    for entry in sorted(incoming, key=lambda entry: entry.revision):
        current = entries.get(entry.key)
        known_from = current.revision if current else complete_from
        if entry.revision.era == replica.era and entry.revision > known_from:
            entries[entry.key] = entry
            newer.append(entry)
        else:
            ignored.append(entry)
    if newer:
        replica = dataclasses.replace(replica, entries_by_key=entries)
    differing = tuple(left for left in ignored if _differs(left, entries))
    return MergeResult(replica, tuple(newer), differing)


def merge_snapshot(replica: Replica, snapshot: Snapshot) -> MergeResult:
    """
    Merge a snapshot of all keys.

    Keys that are not in the snapshot are marked as removed at its revision.
    A snapshot of an earlier era is left out, one of a later era replaces all
    entries.

    :param replica: replica before the merge.
    :param snapshot: all existing keys.
    """
    if snapshot.revision.era < replica.era:
        return MergeResult(replica, (), snapshot.entries)
    present = {entry.key for entry in snapshot.entries}
    removed = tuple(
        StoredEntry(key, b'', snapshot.revision, is_removed=True)
        for key, entry in replica.entries_by_key.items()
        if key not in present and not entry.is_removed
    )
    complete_from = max(replica.complete_from, snapshot.revision)
    renewed = dataclasses.replace(replica, complete_from=complete_from)
    merged = _merge_after(
        renewed, (*snapshot.entries, *removed), replica.complete_from
    )
    return _completed(merged, snapshot.revision)


def _differs(
    entry: StoredEntry, entries_by_key: Mapping[str, StoredEntry]
) -> bool:
    known = entries_by_key.get(entry.key)
    if known is None:
        return True
    said = (entry.payload, entry.is_removed)
    return said != (known.payload, known.is_removed)


def answer_fetch(
    replica: Replica, request: FetchReplica, *, is_store_reachable: bool
) -> ReplicaAnswer:
    """
    Return what a requesting daemon lacks.

    All existing keys are returned if removals since the requested revision
    may not be known, as after a new era of the store.

    :param replica: replica of the answering daemon.
    :param request: revision that the requesting daemon has.
    :param is_store_reachable: whether the store answers this daemon.
    """
    is_snapshot = request.after < replica.complete_from
    entries = (
        replica.to_snapshot().entries
        if is_snapshot
        else replica.changed_since(request.after)
    )
    return ReplicaAnswer(
        tuple(ReplicaEntry.from_stored(entry) for entry in entries),
        replica.last_revision,
        is_snapshot,
        is_store_reachable,
    )


def merge_answer(replica: Replica, answer: ReplicaAnswer) -> MergeResult:
    """
    Merge the answer of a peer.

    :raises zlib.error: an entry cannot be decompressed.
    """
    entries = tuple(entry.to_stored() for entry in answer.entries)
    if answer.is_snapshot:
        return merge_snapshot(replica, Snapshot(entries, answer.revision))
    return _completed(merge(replica, entries), answer.revision)
