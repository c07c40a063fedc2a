"""Task that follows the changes below one prefix of the store."""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Callable
from random import Random
from typing import TypeAlias

from ..store import KeyValueStore, Snapshot, StoredEntry, StoreRevision
from ..utils import BronzesillError, PartLogger

__all__ = ['FollowPolicy', 'StoreFollower']

_INITIAL_BACKOFF_S = 0.25
_RESPONSE_GRACE_S = 0.5
#: A silent service ends a poll this long after its waiting time.  Together
#: with the longest pause it bounds the delay of changes after an outage.
_RESPONSE_TIMEOUT_S = 1.0
_IDLE_POLL_INTERVAL_S = 0.4
_MIN_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 1.0

_log = PartLogger('replica')

OnSnapshot: TypeAlias = Callable[[Snapshot], None]
OnEntries: TypeAlias = Callable[[tuple[StoredEntry, ...]], None]
OnReachability: TypeAlias = Callable[[bool], None]


@dataclasses.dataclass(frozen=True)
class FollowPolicy:
    """
    Timing of the long polls of a prefix.

    :param wait_s: seconds that one poll waits for changes.
    :param pause_s: seconds between two polls; limits the rate of polls while
        keys change continuously.
    """

    wait_s: float = 20
    pause_s: float = 0


def _always() -> bool:
    return True


class StoreFollower:
    """
    Task that reads a prefix once and then long-polls its changes.

    :param store: the key-value service.
    :param prefix: prefix of the keys.
    :param policy: timing of the polls.
    :param on_snapshot: called with all keys below the prefix.
    :param on_entries: called with changed entries.
    :param on_reachability: called with whether the service answers.
    :param random: random generator for the jitter of retries.
    :param should_follow: returns whether this daemon has to follow the store
        itself now.
    """

    def __init__(
        self,
        store: KeyValueStore,
        prefix: str,
        policy: FollowPolicy,
        on_snapshot: OnSnapshot,
        on_entries: OnEntries,
        on_reachability: OnReachability,
        random: Random,
        should_follow: Callable[[], bool] = _always,
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._policy = policy
        self._on_snapshot = on_snapshot
        self._on_entries = on_entries
        self._on_reachability = on_reachability
        self._random = random
        self._should_follow = should_follow
        self._revision: StoreRevision | None = None
        self._is_reached = True
        self._backoff_s = _INITIAL_BACKOFF_S

    async def run(self) -> None:
        """Follow the prefix until cancelled, with backoff after errors."""
        while True:
            while not self._should_follow():
                await asyncio.sleep(_IDLE_POLL_INTERVAL_S)
            started_s = _now_s()
            try:
                await self._poll()
            except (BronzesillError, TimeoutError) as error:
                _log.warning(
                    "cannot follow the keys below prefix '%s': %r",
                    self._prefix,
                    error,
                )
                self._set_reached(False)
                await self._back_off(_now_s() - started_s)
            else:
                self._set_reached(True)
                self._backoff_s = _INITIAL_BACKOFF_S
                await asyncio.sleep(self._pause_s)

    async def _poll(self) -> None:
        if self._revision is None:
            snapshot = await self._store.snapshot(
                self._prefix, may_be_stale=False
            )
            self._revision = snapshot.revision
            self._on_snapshot(snapshot)
            return
        # While the store does not answer, polls do not wait for changes: one
        # that is sent just before its return must not hang long beyond it.
        wait_s = self._policy.wait_s if self._is_reached else 0
        # The store is reported as unreachable before the poll fails.
        grace_timer = asyncio.get_running_loop().call_later(
            wait_s + _RESPONSE_GRACE_S, self._on_reachability, False
        )
        try:
            async with asyncio.timeout(wait_s + _RESPONSE_TIMEOUT_S):
                changes = await self._store.changes(
                    self._prefix, self._revision, wait_s
                )
        finally:
            grace_timer.cancel()
        if changes.has_gap:
            _log.info(
                "changes below prefix '%s' are no longer complete; "
                'reading all keys again',
                self._prefix,
            )
            self._revision = None
            return
        self._revision = changes.revision
        if changes.entries:
            self._on_entries(changes.entries)

    @property
    def _pause_s(self) -> float:
        """Seconds until the next poll: none after a gap in the changes."""
        return 0 if self._revision is None else self._policy.pause_s

    def _set_reached(self, is_reached: bool) -> None:
        self._is_reached = is_reached
        self._on_reachability(is_reached)

    async def _back_off(self, elapsed_s: float) -> None:
        # The time that the failed poll took is part of the pause.
        pause_s = self._backoff_s * (0.5 + self._random.random()) - elapsed_s
        await asyncio.sleep(max(pause_s, _MIN_BACKOFF_S))
        self._backoff_s = min(2 * self._backoff_s, _MAX_BACKOFF_S)


def _now_s() -> float:
    return asyncio.get_running_loop().time()
