"""Keys of the store by way of other daemons."""

from __future__ import annotations

import asyncio
import contextlib
import zlib
from collections.abc import Callable
from random import Random

from ..membership import Member
from ..replica import FetchReplica, ReplicaAnswer, ReplicaEntry
from ..utils import BronzesillError, PartLogger
from ..wire import PeerClient
from .hosted_knowledge import HostedKnowledge

__all__ = ['PeerKnowledge']

_PAUSE_S = 0.3
#: A whole replica on a narrow link takes a while.
_TIMEOUT_S = 1.5
#: How long a question waits for changes.
_WAIT_S = 1.0
#: Without word for so long this daemon follows the store by itself.
_FED_WITHIN_S = 2.0

_log = PartLogger('knowledge')


class PeerKnowledge:
    """
    Task that asks peers for what the store tells them.

    A daemon that watches the store asks only while the store does not
    answer, any peer, now and then.  Any other daemon asks a watcher all the
    time; that question waits for changes.

    :param knowledge: what this daemon knows.
    :param client: streams to peers.
    :param list_peers: the other live daemons.
    :param list_watchers: the daemons that watch the store, this one left
        out; none if this one is to watch.
    :param random: generator for the choice of a peer.
    """

    def __init__(
        self,
        knowledge: HostedKnowledge,
        client: PeerClient,
        list_peers: Callable[[], tuple[Member, ...]],
        list_watchers: Callable[[], tuple[Member, ...]],
        random: Random,
    ) -> None:
        self._knowledge = knowledge
        self._client = client
        self._list_peers = list_peers
        self._list_watchers = list_watchers
        self._random = random
        self._fed_at_s = -_FED_WITHIN_S
        self._watcher: Member | None = None

    def should_watch(self) -> bool:
        """Say whether this daemon follows the store by itself now."""
        if not self._list_watchers() or not self._knowledge.is_complete:
            return True
        return _now_s() - self._fed_at_s > _FED_WITHIN_S

    async def run(self) -> None:
        """Ask while there is need, for ever."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._run_spare())
            group.create_task(self._run_fed())

    async def answer(self, question: FetchReplica) -> ReplicaAnswer:
        """Hand a peer what changed, waiting for it if that is asked for."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(min(question.wait_s, _WAIT_S)):
                await self._knowledge.wait_above(question.above)
        return ReplicaAnswer(
            tuple(
                ReplicaEntry.from_stored(entry)
                for entry in self._knowledge.replica.above(question.above)
            ),
            is_store_reached=not self._knowledge.listing.is_store_away,
        )

    async def _run_spare(self) -> None:
        while True:
            await asyncio.sleep(_PAUSE_S * (0.5 + self._random.random()))
            peers = self._list_peers()
            if self._is_needed() and peers:
                await self._ask(self._random.choice(peers), wait_s=0)

    async def _run_fed(self) -> None:
        while True:
            watcher = self._pick_watcher()
            if watcher is None:
                await asyncio.sleep(_PAUSE_S)
                continue
            answer = await self._ask(watcher, _WAIT_S)
            if answer is None or not answer.is_store_reached:
                self._watcher = None
                await asyncio.sleep(_PAUSE_S * self._random.random())
                continue
            self._fed_at_s = _now_s()
            self._knowledge.note_reached(True)

    def _pick_watcher(self) -> Member | None:
        watchers = self._list_watchers()
        if self._watcher not in watchers:
            self._watcher = None
        if self._watcher is None and watchers:
            self._watcher = self._random.choice(watchers)
        return self._watcher

    def _is_needed(self) -> bool:
        knowledge = self._knowledge
        return knowledge.listing.is_store_away or not knowledge.is_complete

    async def _ask(self, peer: Member, wait_s: float) -> ReplicaAnswer | None:
        question = FetchReplica(self._knowledge.replica.last_revision, wait_s)
        try:
            answer = await self._client.ask(
                peer.peers, question, wait_s + _TIMEOUT_S
            )
        except BronzesillError as error:
            _log.info('%s told nothing: %s', peer.name, error)
            return None
        if not isinstance(answer, ReplicaAnswer):
            return None
        if answer.entries:
            self._take(answer)
        return answer

    def _take(self, answer: ReplicaAnswer) -> None:
        try:
            entries = tuple(entry.to_stored() for entry in answer.entries)
        except zlib.error as error:
            _log.warning('an answer is not readable: %s', error)
            return
        self._knowledge.take_entries(entries)


def _now_s() -> float:
    return asyncio.get_running_loop().time()
