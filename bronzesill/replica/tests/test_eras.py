"""
State machine of a store that goes back to older copies, and of its readers.

Pattern: writes, removals and returns of the store in any order; daemons read
snapshots and changes, ask each other, start anew, and get answers late.
"""

import base64
import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from ...standins.store_state import Item, StoreCopy, StoreState
from ...store import Snapshot, StoredEntry, StoreRevision
from ..messages import FetchReplica
from ..state import (
    MergeResult,
    Replica,
    answer_fetch,
    merge,
    merge_answer,
    merge_changes,
    merge_snapshot,
)

_HOSTS = 3
_KEYS = st.sampled_from(['op/config', 'servers/a', 'servers/b'])
_HOST_NUMBERS = st.integers(0, _HOSTS - 1)


class _Host:
    """Daemon that reads the store, itself or from another one."""

    def __init__(self) -> None:
        self.replica = Replica()
        self.followed: StoreRevision | None = None

    def adopt(self, merged: MergeResult) -> None:
        for key, entry in self.replica.entries_by_key.items():
            renewed = merged.replica.entries_by_key[key]
            assert renewed.revision >= entry.revision
        self.replica = merged.replica


def _content(replica: Replica) -> dict[str, bytes]:
    entries = replica.to_snapshot().entries
    return {entry.key: entry.payload for entry in entries}


class StoreEras(RuleBasedStateMachine):
    """Daemons never go back, and end with what the store says last."""

    def __init__(self) -> None:
        super().__init__()
        self.store = StoreState()
        self.copies: list[StoreCopy] = [self.store.copy()]
        self.hosts = [_Host() for _ in range(_HOSTS)]
        self.late: list[Snapshot] = []
        self.written = 0

    @rule(key=_KEYS)
    def write(self, key: str) -> None:
        self.written += 1
        self.store.revision += 1
        payload = base64.b64encode(b'%d' % self.written).decode()
        self.store.write(key, payload, 0)

    @rule(key=_KEYS)
    def remove(self, key: str) -> None:
        self.store.revision += 1
        self.store.remove(key)

    @rule()
    def take_copy(self) -> None:
        self.copies.append(self.store.copy())

    @rule(age=st.integers(1, 3))
    def come_back_older(self, age: int) -> None:
        copy = self.copies[-min(age, len(self.copies))]
        self.store.restore(copy, 0)
        self.copies = [copy]

    @rule()
    def compact(self) -> None:
        self.store.compact()

    @rule(number=_HOST_NUMBERS)
    def start_anew(self, number: int) -> None:
        self.hosts[number] = _Host()

    @rule(number=_HOST_NUMBERS)
    def follow(self, number: int) -> None:
        host = self.hosts[number]
        if host.followed is None:
            snapshot = self.snapshot()
            host.followed = snapshot.revision
            host.adopt(merge_snapshot(host.replica, snapshot))
            return
        is_gone = (
            host.followed.number > self.store.revision
            or host.followed.number < self.store.compacted_revision
        )
        if is_gone or host.followed.era != self.store.era:
            host.followed = None
            return
        items = self.store.changes_since('', host.followed.number)
        host.followed = self.revision()
        entries = tuple(self.entry(item) for item in items)
        host.adopt(merge_changes(host.replica, entries))

    @rule(number=_HOST_NUMBERS, peer=_HOST_NUMBERS)
    def ask(self, number: int, peer: int) -> None:
        host = self.hosts[number]
        answer = answer_fetch(
            self.hosts[peer].replica,
            FetchReplica(host.replica.last_revision),
            is_store_reachable=True,
        )
        host.adopt(merge_answer(host.replica, answer))

    @rule()
    def read_for_later(self) -> None:
        self.late.append(self.snapshot())

    @rule(number=_HOST_NUMBERS)
    def answer_late(self, number: int) -> None:
        host = self.hosts[number]
        for snapshot in self.late:
            host.adopt(merge(host.replica, snapshot.entries))
            if snapshot.revision.era < host.replica.era:
                host.adopt(merge_snapshot(host.replica, snapshot))

    @invariant()
    def readers_learn_what_the_store_says(self) -> None:
        """Each host would, by a snapshot or by a peer that took one."""
        for host in self.hosts:
            read = merge_snapshot(host.replica, self.snapshot()).replica
            assert _content(read) == self.content()
            answer = answer_fetch(
                read,
                FetchReplica(host.replica.last_revision),
                is_store_reachable=True,
            )
            asked = merge_answer(host.replica, answer).replica
            assert _content(asked) == self.content()

    def teardown(self) -> None:
        for number, host in enumerate(self.hosts):
            for _ in range(3):
                self.follow(number)
            assert _content(host.replica) == self.content()

    def content(self) -> dict[str, bytes]:
        return {
            key: base64.b64decode(item.value or '')
            for key, item in self.store.items_by_key.items()
        }

    def snapshot(self) -> Snapshot:
        entries = tuple(
            self.entry(item) for item in self.store.items_by_key.values()
        )
        return Snapshot(entries, self.revision())

    def revision(self) -> StoreRevision:
        return StoreRevision(self.store.era, self.store.revision)

    def entry(self, item: Item) -> StoredEntry:
        return StoredEntry(
            item.key,
            base64.b64decode(item.value or ''),
            StoreRevision(self.store.era, item.revision),
            is_removed=item.value is None,
        )


class StoreErasTest(StoreEras.TestCase):  # type: ignore[misc, valid-type]
    """Runs the state machine."""

    settings = settings(max_examples=150, deadline=None, database=None)


if __name__ == '__main__':
    unittest.main()


class LateEntriesTest(unittest.TestCase):
    """Entries that arrive before a removal which lies between them."""

    # Guards against a removal that a host never learns from its peers, as it
    # asks for what came after the newest entry that it knows.
    def test_removal_before_a_known_entry_is_learned(self) -> None:
        machine = StoreEras()
        machine.write(key='servers/a')
        machine.follow(number=0)
        machine.remove(key='servers/a')
        machine.write(key='op/config')
        machine.read_for_later()
        machine.answer_late(number=0)
        machine.readers_learn_what_the_store_says()
