"""How a daemon asks the owners of a partition."""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Callable
from typing import Any, TypeAlias

from ..store import KeyValueStore
from ..utils import Address, BronzesillError, stable_hash
from ..wire import PeerClient
from .ledger import CallClaim, CallOutcome, ClaimAnswer, Verdict
from .ledger_messages import ClaimCall, RecordCall, Recorded, ReleaseCall
from .partition import LedgerPartition, LedgerQuestion, LedgerReply

__all__ = ['PARTITIONS', 'FindOwners', 'Ledger', 'Owner']

#: Partitions of the ledger; store writes grow with them, not with calls.
PARTITIONS = 8

_OWNER_TIMEOUT_S = 1.2


@dataclasses.dataclass(frozen=True)
class Owner:
    """
    A daemon that is asked for a partition.

    :param name: name of the daemon.
    :param address: address for peers.
    """

    name: str
    address: Address


FindOwners: TypeAlias = Callable[[str], tuple[Owner, ...]]


class Ledger:
    """
    The ledger as one daemon sees it: its partitions and those of peers.

    :param own: name of this daemon.
    :param store: the platform's key-value service.
    :param client: streams to peers.
    :param find_owners: gives the daemons to ask, first choice first.
    """

    def __init__(
        self,
        own: str,
        store: KeyValueStore,
        client: PeerClient,
        find_owners: FindOwners,
    ) -> None:
        self.window_s: float = 3600
        self._own = own
        self._store = store
        self._client = client
        self._find_owners = find_owners
        self._partitions_by_number: dict[int, LedgerPartition] = {}
        self._tasks: list[asyncio.Task[None]] = []

    async def claim(self, claim: CallClaim) -> ClaimAnswer:
        """Ask to run a call; ``UNAVAILABLE`` if nobody can grant it."""
        reply = await self._ask(ClaimCall(claim))
        if isinstance(reply, ClaimAnswer):
            return reply
        return ClaimAnswer(Verdict.UNAVAILABLE)

    async def record(
        self, claim: CallClaim, outcome: CallOutcome | None
    ) -> bool:
        """Record how a call ended; say whether that is durable."""
        reply = await self._ask(RecordCall(claim, outcome))
        return isinstance(reply, Recorded) and reply.is_durable

    async def release(self, claim: CallClaim) -> bool:
        """Record that a call was not sent and never will be."""
        reply = await self._ask(ReleaseCall(claim))
        return isinstance(reply, Recorded) and reply.is_durable

    async def answer(self, question: LedgerQuestion) -> LedgerReply:
        """Answer a peer as owner of the question's partition."""
        number = _partition_of(question.claim.key)
        return await self._partition(number).answer(question)

    async def stop(self) -> None:
        """End the controllers of all partitions."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    @property
    def store_writes(self) -> int:
        """Writes that this daemon's partitions sent to the store."""
        partitions = self._partitions_by_number.values()
        return sum(partition.writes for partition in partitions)

    async def _ask(self, question: LedgerQuestion) -> Any:
        number = _partition_of(question.claim.key)
        reply: Any = None
        for owner in self._find_owners(f'ledger/{number}'):
            reply = await self._ask_owner(owner, number, question)
            if not _is_refusal(reply):
                return reply
        return reply

    async def _ask_owner(
        self, owner: Owner, number: int, question: LedgerQuestion
    ) -> Any:
        if owner.name == self._own:
            try:
                async with asyncio.timeout(_OWNER_TIMEOUT_S):
                    return await self._partition(number).answer(question)
            except TimeoutError:
                return None
        try:
            return await self._client.ask(
                owner.address, question, _OWNER_TIMEOUT_S
            )
        except BronzesillError:
            return None

    def _partition(self, number: int) -> LedgerPartition:
        partition = self._partitions_by_number.get(number)
        if partition is None:
            partition = LedgerPartition(number, self._store, self.window_s)
            self._partitions_by_number[number] = partition
            self._tasks.append(asyncio.create_task(partition.run()))
        return partition


def _partition_of(key: str) -> int:
    return stable_hash('partition', key) % PARTITIONS


def _is_refusal(reply: Any) -> bool:
    if isinstance(reply, ClaimAnswer):
        return reply.verdict == Verdict.UNAVAILABLE
    return not (isinstance(reply, Recorded) and reply.is_durable)
