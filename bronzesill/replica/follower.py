"""Follows the keys below one prefix of the store."""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Callable
from random import Random
from typing import TypeAlias

from ..store import KeyValueStore, Snapshot, StoredEntry
from ..utils import BronzesillError, PartLogger

__all__ = ['FollowPolicy', 'StoreFollower']

_BACKOFF_S = 0.25
_OVERDUE_S = 0.5
_IDLE_S = 0.1
_MAX_BACKOFF_S = 1.0

_log = PartLogger('replica')

OnSnapshot: TypeAlias = Callable[[str, Snapshot], None]
OnEntries: TypeAlias = Callable[[tuple[StoredEntry, ...]], None]
OnReached: TypeAlias = Callable[[bool], None]


@dataclasses.dataclass(frozen=True)
class FollowPolicy:
    """
    How a prefix is followed.

    :param wait_s: seconds that a call waits for changes.
    :param pause_s: seconds between two calls, which bounds their number
        where keys change all the time.
    """

    wait_s: float = 20
    pause_s: float = 0


def _always() -> bool:
    return True


class StoreFollower:
    """
    Task that reads a prefix once and then waits for its changes.

    :param store: the key-value service.
    :param prefix: beginning of the keys.
    :param policy: how it is followed.
    :param on_snapshot: told of all keys.
    :param on_entries: told of changes.
    :param on_reached: told whether the service answers.
    :param random: generator for jitter.
    :param is_due: says whether this daemon has to follow by itself.
    """

    def __init__(
        self,
        store: KeyValueStore,
        prefix: str,
        policy: FollowPolicy,
        on_snapshot: OnSnapshot,
        on_entries: OnEntries,
        on_reached: OnReached,
        random: Random,
        is_due: Callable[[], bool] = _always,
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._policy = policy
        self._on_snapshot = on_snapshot
        self._on_entries = on_entries
        self._on_reached = on_reached
        self._random = random
        self._is_due = is_due
        self._revision: int | None = None
        self._backoff_s = _BACKOFF_S

    async def run(self) -> None:
        """Follow the prefix, for ever."""
        while True:
            while not self._is_due():
                await asyncio.sleep(_IDLE_S)
            try:
                await self._step()
            except BronzesillError as error:
                _log.warning('%s not followed: %s', self._prefix, error)
                self._on_reached(False)
                await self._wait_longer()
            else:
                self._on_reached(True)
                self._backoff_s = _BACKOFF_S
                await asyncio.sleep(self._policy.pause_s)

    async def _step(self) -> None:
        if self._revision is None:
            snapshot = await self._store.snapshot(
                self._prefix, is_stale_fine=False
            )
            self._revision = snapshot.revision
            self._on_snapshot(self._prefix, snapshot)
            return
        # A call that is overdue may hang for long, so it is told before.
        overdue = asyncio.get_running_loop().call_later(
            self._policy.wait_s + _OVERDUE_S, self._on_reached, False
        )
        try:
            changes = await self._store.changes(
                self._prefix, self._revision, self._policy.wait_s
            )
        finally:
            overdue.cancel()
        if changes.is_gap:
            _log.info('%s: history is gone, read anew', self._prefix)
            self._revision = None
            return
        self._revision = changes.revision
        if changes.entries:
            self._on_entries(changes.entries)

    async def _wait_longer(self) -> None:
        await asyncio.sleep(self._backoff_s * (0.5 + self._random.random()))
        self._backoff_s = min(2 * self._backoff_s, _MAX_BACKOFF_S)
