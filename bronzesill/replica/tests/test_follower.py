"""
The task that follows the store, across an outage of the store.

Pattern: the store falls silent for all hosts at the same moment, so that the
calls of all hosts time out together; a new configuration is acknowledged soon
after its return.
"""

import asyncio
import unittest
from random import Random

from ...standins.virtual_time import run_in_virtual_time
from ...store import (
    Changes,
    Snapshot,
    StoredEntry,
    StoreRevision,
)
from ...utils import BronzesillError, ResultCode
from ..follower import FollowPolicy, StoreFollower
from ..state import Replica
from .read_only_store import ReadOnlyStore

_KEY = 'op/config'
_FIRST = StoreRevision(1, 1)
_SECOND = StoreRevision(1, 2)
_SILENT_FROM_S = 4.0
_SILENT_FOR_S = 8.0
#: Time at which the store acknowledges the change after its return.
_CHANGED_AT_S = 12.1
#: Time in seconds, beyond its waiting time, after which the client fails a call
#: that the store leaves unanswered.
_CLIENT_TIMEOUT_S = 2.5
#: Bound in seconds until an accepted configuration is in force.
_APPLY_S = 2.0
_SEEDS = 40


class _SilentStore(ReadOnlyStore):
    """Store that leaves calls unanswered that arrive during its outage."""

    async def snapshot(self, prefix: str, *, may_be_stale: bool) -> Snapshot:
        return Snapshot((), _FIRST)

    async def changes(
        self, prefix: str, after: StoreRevision, wait_s: float
    ) -> Changes:
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        while loop.time() < began_s + wait_s and loop.time() < _CHANGED_AT_S:
            await asyncio.sleep(0.01)
            if self._is_silent(loop.time()):
                break
        if self._is_silent(loop.time()):
            fails_at_s = began_s + wait_s + _CLIENT_TIMEOUT_S
            await asyncio.sleep(fails_at_s - loop.time())
            raise BronzesillError(ResultCode.STORE_ANSWER_LOST, 'no response')
        if loop.time() >= _CHANGED_AT_S and after < _SECOND:
            return Changes((StoredEntry(_KEY, b'new', _SECOND),), _SECOND)
        return Changes((), after)

    def _is_silent(self, now_s: float) -> bool:
        return 0 <= now_s - _SILENT_FROM_S < _SILENT_FOR_S


class _State:
    """Notes when the change is known."""

    def __init__(self) -> None:
        self.replica = Replica()
        loop = asyncio.get_running_loop()
        self.adopted_s: asyncio.Future[float] = loop.create_future()

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Ignore the snapshot, which lacks the change."""

    def apply_entries(self, entries: tuple[StoredEntry, ...]) -> None:
        self.adopted_s.set_result(asyncio.get_running_loop().time())

    def set_store_reachable(self, is_reachable: bool) -> None:
        """Ignore whether the store answers."""

    def confirm(self, revision: StoreRevision, confirmed_at_s: float) -> None:
        """Ignore the age of what is known."""


async def _measure_adoption_s(seed: int) -> float:
    """Return the time at which a follower learns the change."""
    state = _State()
    follower = StoreFollower(
        _SilentStore(),
        '',
        FollowPolicy(wait_s=1, pause_s=0.4),
        state,
        Random(seed),
    )
    random = Random(f'start {seed}')
    await asyncio.sleep(random.random())
    task = asyncio.create_task(follower.run())
    try:
        return await state.adopted_s
    finally:
        task.cancel()


class OutageTest(unittest.TestCase):
    """A change after a silent outage is known within its bound."""

    def test_change_after_a_silent_outage_is_known_in_time(self) -> None:
        for seed in range(_SEEDS):
            with self.subTest(seed=seed):
                adopted_s = run_in_virtual_time(_measure_adoption_s(seed))
                self.assertLess(adopted_s - _CHANGED_AT_S, _APPLY_S)


if __name__ == '__main__':
    unittest.main()
