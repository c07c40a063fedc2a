"""Replication of store entries from other daemons."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import math
import zlib
from collections.abc import Callable
from random import Random

from ..membership import Member
from ..replica import (
    FetchReplica,
    FreshnessBudget,
    ReplicaAnswer,
    answer_fetch,
)
from ..utils import BronzesillError, PartLogger
from ..wire import PeerClient
from .hosted_store_state import HostedStoreState

__all__ = ['PeerReplication']

_POLL_INTERVAL_S = 0.3
#: Allows for the transfer of a whole replica over a slow link.
_TRANSFER_TIMEOUT_S = 1.5
#: Longest time for which a request waits for changes.
#: A watcher answers at its next confirmation, so this is rarely reached.
_LONG_POLL_S = 1.25
#: A watcher that has not answered so long after the end of a long poll may be
#: frozen; another one is asked meanwhile.
_SILENCE_S = 0.25
#: Longest age of knowledge that is told; it stands for any longer one.
_LONGEST_AGE_S = 3600.0
#: A shorter time until the store has to be read is none.
_CLOCK_STEP_S = 0.001

_log = PartLogger('knowledge')


class PeerReplication:
    """
    Task that replicates store entries from peers.

    A daemon that watches the store polls a random peer, and only while the
    store does not answer or its own state is incomplete.  Any other daemon
    follows one of the watchers by long polling.  An answer says when the store
    last confirmed what is in it; a daemon whose knowledge gets too old follows
    the store directly until a watcher knows better.

    :param store_state: replica of the store on this daemon.
    :param client: client for requests to peers.
    :param list_peers: returns the other live daemons.
    :param list_watchers: returns the daemons that watch the store; empty if
        this daemon is to watch it.
    :param find_newest_version: returns the highest version of the
        configuration that a daemon told of, 0 for none.
    :param random: generator for the choice of peers and for jitter.
    :param bound_s: seconds within which what the store says has to be heeded.
    """

    def __init__(
        self,
        store_state: HostedStoreState,
        client: PeerClient,
        list_peers: Callable[[], tuple[Member, ...]],
        list_watchers: Callable[[], tuple[Member, ...]],
        find_newest_version: Callable[[], int],
        random: Random,
        bound_s: float,
    ) -> None:
        self._store_state = store_state
        self._client = client
        self._list_peers = list_peers
        self._list_watchers = list_watchers
        self._find_newest_version = find_newest_version
        self._random = random
        self._budget = FreshnessBudget.from_bound(bound_s)
        #: Time at which the store last confirmed what peers told.
        self._confirmed_at_s = -math.inf
        self._watcher: Member | None = None
        #: Name of the watcher that was last given up.
        self._left_watcher = ''
        #: Era in which a peer last answered, none before the first answer.
        self._answered_era: int | None = None

    def should_watch(self) -> bool:
        """Return whether this daemon has to follow the store directly."""
        return not self.watch_due_in_s()

    def watch_due_in_s(self) -> float:
        """Return the seconds until it has to, 0 if it has to now."""
        if not self._list_watchers() or not self._store_state.is_complete:
            return 0
        age_s = _now_s() - self._confirmed_at_s
        due_in_s = self._budget.max_age_s - age_s
        return due_in_s if due_in_s > _CLOCK_STEP_S else 0

    async def run(self) -> None:
        """Replicate from peers until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._poll_peers_when_stale())
            group.create_task(self._follow_watcher())

    async def handle_fetch(self, request: FetchReplica) -> ReplicaAnswer:
        """
        Return the entries that changed after the revision of a request.

        Without such entries the reply waits for a change or for the store to
        confirm that there is none, at most as long as the request allows.
        """
        arrived_at_s = _now_s()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(min(request.wait_s, _LONG_POLL_S)):
                await self._store_state.wait_for_news(request.after)
        is_unreachable = self._store_state.listing.is_store_unreachable
        answer = answer_fetch(
            self._store_state.replica,
            request,
            is_store_reachable=not is_unreachable,
        )
        configuration = self._store_state.configuration_newer_than(
            request.configuration_version
        )
        confirmed_after_s = self._store_state.confirmed_at_s - arrived_at_s
        return dataclasses.replace(
            answer,
            configuration=configuration,
            confirmed_after_s=max(confirmed_after_s, -_LONGEST_AGE_S),
        )

    async def _poll_peers_when_stale(self) -> None:
        while True:
            await asyncio.sleep(
                _POLL_INTERVAL_S * (0.5 + self._random.random())
            )
            peers = self._list_peers()
            if self._is_fallback_needed() and peers:
                await self._fetch(self._random.choice(peers), wait_s=0)

    async def _follow_watcher(self) -> None:
        while True:
            watcher = self._pick_watcher()
            if watcher is None:
                await asyncio.sleep(_POLL_INTERVAL_S)
                continue
            reply = await self._fetch_or_ask_another(watcher)
            is_reached = reply is not None and reply.is_store_reachable
            if is_reached and not self.should_watch():
                self._store_state.set_store_reachable(True)
                continue
            self._leave_watcher(watcher, is_silent=reply is None)
            await asyncio.sleep(_POLL_INTERVAL_S * self._random.random())

    def _leave_watcher(self, watcher: Member, *, is_silent: bool) -> None:
        _log.event(
            'watcher_left',
            watcher=watcher.name,
            is_silent=is_silent,
            age_s=round(_now_s() - self._confirmed_at_s, 3),
        )
        self._left_watcher = watcher.name
        self._watcher = None

    async def _fetch_or_ask_another(
        self, watcher: Member
    ) -> ReplicaAnswer | None:
        """
        Poll a watcher; if it is silent, ask another daemon as well.

        The reply of the watcher is waited for all the same, as it may be long
        and on its way.

        :returns: the reply of the watcher, or of the other daemon if that
            comes first; none if neither replies.
        """
        polling = asyncio.create_task(self._fetch(watcher, _LONG_POLL_S))
        silence_s = _LONG_POLL_S + _SILENCE_S
        done, _ = await asyncio.wait((polling,), timeout=silence_s)
        other = None if done else self._pick_other(watcher)
        if other is None:
            return await polling
        _log.event('watcher_silent', watcher=watcher.name, asked=other.name)
        reply = await self._fetch(other, wait_s=0)
        if reply is None:
            return await polling
        polling.cancel()
        self._watcher = other if other in self._list_watchers() else None
        return reply

    def _pick_other(self, watcher: Member) -> Member | None:
        """Return another watcher, or any other daemon if there is none."""
        watchers = [
            member
            for member in self._list_watchers()
            if member.name != watcher.name
        ]
        peers = [
            member
            for member in self._list_peers()
            if member.name != watcher.name
        ]
        candidates = watchers or peers
        return self._random.choice(candidates) if candidates else None

    def _pick_watcher(self) -> Member | None:
        watchers = self._list_watchers()
        if self._watcher not in watchers:
            self._watcher = None
        if self._watcher is None and watchers:
            others = tuple(
                watcher
                for watcher in watchers
                if watcher.name != self._left_watcher
            )
            self._watcher = self._random.choice(others or watchers)
        return self._watcher

    def _is_fallback_needed(self) -> bool:
        store_state = self._store_state
        if store_state.listing.is_store_unreachable:
            return True
        # After a start or a return of the store from an older copy, the peers
        # may know a newer configuration than the store.
        is_unheard = self._answered_era != store_state.replica.era
        version = store_state.configuration_version
        is_outdated = version < self._find_newest_version()
        return is_unheard or is_outdated or not store_state.is_complete

    async def _fetch(self, peer: Member, wait_s: float) -> ReplicaAnswer | None:
        request = FetchReplica(
            self._store_state.replica.last_revision,
            wait_s,
            self._store_state.configuration_version,
        )
        sent_at_s = _now_s()
        try:
            reply = await self._client.request(
                peer.peers, request, wait_s + _TRANSFER_TIMEOUT_S
            )
        except BronzesillError as error:
            _log.info('no store entries received from %s: %s', peer.name, error)
            return None
        if not isinstance(reply, ReplicaAnswer):
            return None
        self._apply(reply, sent_at_s)
        self._answered_era = self._store_state.replica.era
        return reply

    def _apply(self, reply: ReplicaAnswer, sent_at_s: float) -> None:
        try:
            self._store_state.apply_answer(reply)
        except zlib.error as error:
            _log.warning(
                'store entries from a peer cannot be decompressed: %s', error
            )
            return
        confirmed_at_s = _find_confirmation_s(reply, sent_at_s)
        if reply.revision.era == self._store_state.replica.era:
            self._confirmed_at_s = max(self._confirmed_at_s, confirmed_at_s)
        self._store_state.confirm(reply.revision, confirmed_at_s)


def _find_confirmation_s(reply: ReplicaAnswer, sent_at_s: float) -> float:
    """Return when the store last confirmed an answer, or a time before."""
    if reply.confirmed_after_s is not None:
        return sent_at_s + reply.confirmed_after_s
    # A daemon of an older build does not tell.
    return _now_s() if reply.is_store_reachable else -math.inf


def _now_s() -> float:
    return asyncio.get_running_loop().time()
