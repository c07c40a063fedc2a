"""Replication of store entries from other daemons."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import zlib
from collections.abc import Callable
from random import Random

from ..membership import Member
from ..replica import FetchReplica, ReplicaAnswer, answer_fetch
from ..utils import BronzesillError, PartLogger
from ..wire import PeerClient
from .hosted_store_state import HostedStoreState

__all__ = ['PeerReplication']

_POLL_INTERVAL_S = 0.3
#: Allows for the transfer of a whole replica over a slow link.
_TRANSFER_TIMEOUT_S = 1.5
#: Longest time for which a request waits for changes.
_LONG_POLL_S = 1.0
#: A watcher that has not answered so long after the end of a long poll may be
#: frozen; another one is asked meanwhile.  With the long poll itself this has
#: to stay well below the time in which a configuration comes into force.
_SILENCE_S = 0.25
#: Without a reply for this long, this daemon follows the store directly.
_MAX_UPDATE_AGE_S = 2.0

_log = PartLogger('knowledge')


class PeerReplication:
    """
    Task that replicates store entries from peers.

    A daemon that watches the store polls a random peer, and only while the
    store does not answer or its own state is incomplete.  Any other daemon
    follows one of the watchers by long polling.

    :param store_state: replica of the store on this daemon.
    :param client: client for requests to peers.
    :param list_peers: returns the other live daemons.
    :param list_watchers: returns the daemons that watch the store; empty if
        this daemon is to watch it.
    :param find_newest_version: returns the highest version of the
        configuration that a daemon told of, 0 for none.
    :param random: generator for the choice of peers and for jitter.
    """

    def __init__(
        self,
        store_state: HostedStoreState,
        client: PeerClient,
        list_peers: Callable[[], tuple[Member, ...]],
        list_watchers: Callable[[], tuple[Member, ...]],
        find_newest_version: Callable[[], int],
        random: Random,
    ) -> None:
        self._store_state = store_state
        self._client = client
        self._list_peers = list_peers
        self._list_watchers = list_watchers
        self._find_newest_version = find_newest_version
        self._random = random
        self._last_update_s = -_MAX_UPDATE_AGE_S
        self._watcher: Member | None = None
        #: Era in which a peer last answered, none before the first answer.
        self._answered_era: int | None = None

    def should_watch(self) -> bool:
        """Return whether this daemon has to follow the store directly."""
        if not self._list_watchers() or not self._store_state.is_complete:
            return True
        return _now_s() - self._last_update_s > _MAX_UPDATE_AGE_S

    async def run(self) -> None:
        """Replicate from peers until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._poll_peers_when_stale())
            group.create_task(self._follow_watcher())

    async def handle_fetch(self, request: FetchReplica) -> ReplicaAnswer:
        """
        Return the entries that changed after the revision of a request.

        Without such entries the reply waits for a change, at most as long
        as the request allows.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(min(request.wait_s, _LONG_POLL_S)):
                await self._store_state.wait_for_change_after(request.after)
        is_unreachable = self._store_state.listing.is_store_unreachable
        answer = answer_fetch(
            self._store_state.replica,
            request,
            is_store_reachable=not is_unreachable,
        )
        configuration = self._store_state.configuration_newer_than(
            request.configuration_version
        )
        return dataclasses.replace(answer, configuration=configuration)

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
            if reply is None or not reply.is_store_reachable:
                self._watcher = None
                await asyncio.sleep(_POLL_INTERVAL_S * self._random.random())
                continue
            self._last_update_s = _now_s()
            self._store_state.set_store_reachable(True)

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
            self._watcher = self._random.choice(watchers)
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
        try:
            reply = await self._client.request(
                peer.peers, request, wait_s + _TRANSFER_TIMEOUT_S
            )
        except BronzesillError as error:
            _log.info('no store entries received from %s: %s', peer.name, error)
            return None
        if not isinstance(reply, ReplicaAnswer):
            return None
        self._apply(reply)
        self._answered_era = self._store_state.replica.era
        return reply

    def _apply(self, reply: ReplicaAnswer) -> None:
        try:
            self._store_state.apply_answer(reply)
        except zlib.error as error:
            _log.warning(
                'store entries from a peer cannot be decompressed: %s', error
            )


def _now_s() -> float:
    return asyncio.get_running_loop().time()
