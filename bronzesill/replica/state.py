"""Keys of the store as one daemon knows them; revisions never go back."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

from ..store import Snapshot, StoredEntry

__all__ = ['Merge', 'Replica', 'merge', 'replace_prefix']


@dataclasses.dataclass(frozen=True)
class Replica:
    """
    Entries by key; a removed key keeps the revision of its removal.

    :param entries_by_key: the newest entry known of each key.
    """

    entries_by_key: Mapping[str, StoredEntry] = dataclasses.field(
        default_factory=dict
    )

    @property
    def last_revision(self) -> int:
        """The newest revision known of any key, 0 for none."""
        return max(
            (entry.mod_revision for entry in self.entries_by_key.values()),
            default=0,
        )

    def above(self, revision: int) -> tuple[StoredEntry, ...]:
        """Return the entries that changed after a revision."""
        return tuple(
            entry
            for entry in self.entries_by_key.values()
            if entry.mod_revision > revision
        )

    def revision(self, key: str) -> int:
        """Return the revision known of a key, 0 if it is not known."""
        entry = self.entries_by_key.get(key)
        return entry.mod_revision if entry else 0


@dataclasses.dataclass(frozen=True)
class Merge:
    """
    What follows from entries that were read or heard of.

    :param replica: what is known from now on.
    :param news: the entries that were newer than what was known.
    """

    replica: Replica
    news: tuple[StoredEntry, ...]


def merge(replica: Replica, offered: tuple[StoredEntry, ...]) -> Merge:
    """
    Take in entries, from the store or from a peer.

    :param replica: what is known.
    :param offered: entries in any order.
    """
    entries = dict(replica.entries_by_key)
    news: list[StoredEntry] = []
    for entry in sorted(offered, key=lambda one: one.mod_revision):
        known = entries.get(entry.key)
        if known is None or entry.mod_revision > known.mod_revision:
            entries[entry.key] = entry
            news.append(entry)
    if not news:
        return Merge(replica, ())
    return Merge(Replica(entries), tuple(news))


def replace_prefix(replica: Replica, prefix: str, snapshot: Snapshot) -> Merge:
    """
    Take in all keys below a prefix; those that are missing were removed.

    :param replica: what is known.
    :param prefix: beginning of the keys.
    :param snapshot: the keys that exist.
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
