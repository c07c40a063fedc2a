"""Keys of the store from peers, while the store itself is out of reach."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

from ..membership import Member
from ..replica import FetchReplica, ReplicaAnswer, ReplicaEntry
from ..utils import BronzesillError, PartLogger
from ..wire import PeerClient
from .hosted_knowledge import HostedKnowledge

__all__ = ['PeerKnowledge']

_PAUSE_S = 0.3
_TIMEOUT_S = 0.5

_log = PartLogger('knowledge')


class PeerKnowledge:
    """
    Task that asks peers while the store does not answer.

    :param knowledge: what this daemon knows.
    :param client: streams to peers.
    :param list_peers: the other live daemons.
    :param random: generator for the choice of a peer.
    """

    def __init__(
        self,
        knowledge: HostedKnowledge,
        client: PeerClient,
        list_peers: Callable[[], tuple[Member, ...]],
        random: Random,
    ) -> None:
        self._knowledge = knowledge
        self._client = client
        self._list_peers = list_peers
        self._random = random

    async def run(self) -> None:
        """Ask a peer now and then, for ever, as long as there is need."""
        while True:
            await asyncio.sleep(_PAUSE_S * (0.5 + self._random.random()))
            peers = self._list_peers()
            if self._is_needed() and peers:
                await self._ask(self._random.choice(peers))

    def answer(self, question: FetchReplica) -> ReplicaAnswer:
        """Hand a peer what changed since it reached the store."""
        replica = self._knowledge.replica
        return ReplicaAnswer(
            tuple(
                ReplicaEntry.from_stored(entry)
                for entry in replica.entries_by_key.values()
                if entry.mod_revision > question.above
            )
        )

    def _is_needed(self) -> bool:
        knowledge = self._knowledge
        return knowledge.listing.is_store_away or not knowledge.is_complete

    async def _ask(self, peer: Member) -> None:
        question = FetchReplica(self._knowledge.replica.last_revision)
        try:
            answer = await self._client.ask(peer.peers, question, _TIMEOUT_S)
        except BronzesillError as error:
            _log.info('%s told nothing: %s', peer.name, error)
            return
        if isinstance(answer, ReplicaAnswer) and answer.entries:
            entries = tuple(entry.to_stored() for entry in answer.entries)
            self._knowledge.take_entries(entries)
