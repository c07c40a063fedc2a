"""Task that follows the changes below one prefix of the store."""

from __future__ import annotations

import asyncio
import dataclasses
import math
from collections.abc import Callable
from random import Random
from typing import Protocol

from ..store import KeyValueStore, Snapshot, StoredEntry, StoreRevision
from ..utils import BronzesillError, PartLogger
from .freshness import FreshnessBudget, confirmation_time_s
from .state import Replica

__all__ = ['FollowPolicy', 'StoreFollower']

_INITIAL_BACKOFF_S = 0.25
_RESPONSE_GRACE_S = 0.5
#: A silent service ends a poll this long after its waiting time.  Together
#: with the longest pause it bounds the delay of changes after an outage.
_RESPONSE_TIMEOUT_S = 1.0
_IDLE_POLL_INTERVAL_S = 0.4
_MIN_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 1.0
_PAUSE_S = 0.4
_NO_REVISION = StoreRevision()

_log = PartLogger('replica')


class FollowedState(Protocol):
    """What a daemon knows of the keys that it follows."""

    #: All keys that are known, also from peers.
    replica: Replica

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Replace all keys by those of a snapshot."""

    def apply_entries(self, entries: tuple[StoredEntry, ...]) -> None:
        """Merge the next changes."""

    def set_store_reachable(self, is_reachable: bool) -> None:
        """Record whether the store answers."""

    def confirm(self, revision: StoreRevision, confirmed_at_s: float) -> None:
        """Record the revision of an answer and the time that it speaks of."""


@dataclasses.dataclass(frozen=True)
class FollowPolicy:
    """
    Timing of the long polls of a prefix.

    :param wait_s: longest time in seconds between two answers, and so for
        which a poll waits for changes.
    :param pause_s: seconds after a poll that did not wait to its end; limits
        the rate of polls while keys change continuously.
    """

    wait_s: float
    pause_s: float

    @classmethod
    def from_budget(cls, budget: FreshnessBudget) -> FollowPolicy:
        """Return the timing with which a daemon keeps within its budget."""
        return cls(budget.renewal_s, _PAUSE_S)


def _always_due() -> float:
    return 0


class StoreFollower:
    """
    Task that reads a prefix once and then long-polls its changes.

    :param store: the key-value service.
    :param prefix: prefix of the keys.
    :param policy: timing of the polls.
    :param state: receives what the service says.
    :param random: random generator for the jitter of retries.
    :param due_in_s: returns the seconds until this daemon has to follow the
        store itself, 0 if it has to now.
    """

    def __init__(
        self,
        store: KeyValueStore,
        prefix: str,
        policy: FollowPolicy,
        state: FollowedState,
        random: Random,
        due_in_s: Callable[[], float] = _always_due,
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._policy = policy
        self._state = state
        self._random = random
        self._due_in_s = due_in_s
        self._confirmed_at_s = -math.inf
        self._revision: StoreRevision | None = None
        self._is_reached = True
        self._backoff_s = _INITIAL_BACKOFF_S

    async def run(self) -> None:
        """Follow the prefix until cancelled, with backoff after errors."""
        while True:
            await self._wait_until_due()
            started_s = _now_s()
            try:
                pause_s = await self._poll()
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
                await asyncio.sleep(pause_s)

    async def _wait_until_due(self) -> None:
        due_in_s = self._due_in_s()
        if not due_in_s:
            return
        while due_in_s:
            await asyncio.sleep(min(due_in_s, _IDLE_POLL_INTERVAL_S))
            due_in_s = self._due_in_s()
        known = self._state.replica.last_revision
        self._revision = None if known == _NO_REVISION else known
        _log.event('store_read_directly', after=str(known))

    async def _poll(self) -> float:
        """Poll once and return the seconds until the next poll."""
        if self._revision is None:
            await self._read_all()
            return self._policy.pause_s
        return await self._read_changes(self._revision)

    async def _read_all(self) -> None:
        sent_at_s = _now_s()
        snapshot = await self._store.snapshot(self._prefix, may_be_stale=False)
        self._revision = snapshot.revision
        self._state.apply_snapshot(snapshot)
        self._confirm(snapshot.revision, sent_at_s)

    async def _read_changes(self, after: StoreRevision) -> float:
        wait_s = self._wait_s()
        sent_at_s = _now_s()
        # The store is reported as unreachable before the poll fails.
        grace_timer = asyncio.get_running_loop().call_later(
            wait_s + _RESPONSE_GRACE_S, self._state.set_store_reachable, False
        )
        try:
            async with asyncio.timeout(wait_s + _RESPONSE_TIMEOUT_S):
                changes = await self._store.changes(self._prefix, after, wait_s)
        finally:
            grace_timer.cancel()
        if changes.has_gap:
            _log.info(
                "changes below prefix '%s' are no longer complete; "
                'reading all keys again',
                self._prefix,
            )
            self._revision = None
            return 0
        received_at_s = _now_s()
        self._revision = changes.revision
        if changes.entries:
            self._state.apply_entries(changes.entries)
        self._confirm(
            changes.revision,
            confirmation_time_s(sent_at_s, received_at_s, wait_s),
        )
        has_waited = received_at_s >= sent_at_s + wait_s
        return 0 if has_waited else self._policy.pause_s

    def _wait_s(self) -> float:
        """Return for how long the next poll waits for changes."""
        # While the store does not answer, polls do not wait: one that is sent
        # just before its return must not hang long beyond it.
        if not self._is_reached:
            return 0
        age_s = _now_s() - self._confirmed_at_s
        return max(self._policy.wait_s - age_s, 0)

    def _confirm(self, revision: StoreRevision, confirmed_at_s: float) -> None:
        self._confirmed_at_s = confirmed_at_s
        self._state.confirm(revision, confirmed_at_s)

    def _set_reached(self, is_reached: bool) -> None:
        self._is_reached = is_reached
        self._state.set_store_reachable(is_reached)

    async def _back_off(self, elapsed_s: float) -> None:
        # The time that the failed poll took is part of the pause.
        pause_s = self._backoff_s * (0.5 + self._random.random()) - elapsed_s
        await asyncio.sleep(max(pause_s, _MIN_BACKOFF_S))
        self._backoff_s = min(2 * self._backoff_s, _MAX_BACKOFF_S)


def _now_s() -> float:
    return asyncio.get_running_loop().time()
