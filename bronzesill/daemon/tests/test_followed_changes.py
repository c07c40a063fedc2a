"""
Waiting for the changes that a watcher of the store learns, in virtual time.

Pattern: a watcher reads a snapshot that is newer than its own but holds no
newer entry, while another host waits for what came after an older revision.
"""

import asyncio
import unittest

import orjson

from ...gateway import GatewayState
from ...platform.documents import CONFIGURATION_KEY
from ...replica import ReplicaAnswer, ReplicaEntry
from ...routing import ServerTracker
from ...standins.hosted_fleet import make_configuration
from ...standins.virtual_time import run_in_virtual_time
from ...store import Snapshot, StoredEntry, StoreRevision
from ..hosted_store_state import HostedStoreState

_WAIT_S = 1.0


async def _wait_for_snapshot() -> StoreRevision:
    state = HostedStoreState(GatewayState(), ServerTracker(), lambda _: None)
    known = StoredEntry('key', b'1', StoreRevision(1, 10))
    state.apply_snapshot(Snapshot((known,), StoreRevision(1, 10)))
    waiting = asyncio.create_task(state.wait_for_news(StoreRevision(1, 10)))
    await asyncio.sleep(0)
    state.apply_snapshot(Snapshot((known,), StoreRevision(1, 12)))
    async with asyncio.timeout(_WAIT_S):
        await waiting
    return state.replica.last_revision


class FollowedChangesTest(unittest.TestCase):
    """Hosts that wait learn how far a watcher has read."""

    # Guards against a poll that waits for its time-out although the watcher
    # knows a later revision.
    def test_later_revision_without_entries_ends_the_wait(self) -> None:
        revision = run_in_virtual_time(_wait_for_snapshot())
        self.assertEqual(revision, StoreRevision(1, 12))


class AdoptedOnceTest(unittest.TestCase):
    """A configuration that an answer holds twice comes into force once."""

    # Guards against a host that does all work of a change twice.
    def test_entry_beside_the_entries(self) -> None:
        self.assertEqual(run_in_virtual_time(_count_adoptions()), 1)


async def _count_adoptions() -> int:
    state = HostedStoreState(GatewayState(), ServerTracker(), lambda _: None)
    adoptions: list[int] = []
    state.on_refresh = lambda: adoptions.append(state.configuration_version)
    revision = StoreRevision(1, 10)
    document = orjson.dumps({**make_configuration(), 'version': 3})
    entry = ReplicaEntry.from_stored(
        StoredEntry(CONFIGURATION_KEY, document, revision)
    )
    state.apply_answer(
        ReplicaAnswer((entry,), revision, is_snapshot=True, configuration=entry)
    )
    return adoptions.count(3)


if __name__ == '__main__':
    unittest.main()
