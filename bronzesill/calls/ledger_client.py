"""Client of the ledger, which sends requests to partition owners."""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Callable
from typing import Any, TypeAlias

from ..store import GuardedStore
from ..utils import Address, BronzesillError, stable_hash
from ..wire import PeerClient
from .ledger import CallClaim, CallOutcome, ClaimAnswer, ClaimVerdict
from .ledger_messages import ClaimCall, RecordCall, RecordReply, ReleaseCall
from .partition import LedgerPartition, LedgerReply, LedgerRequest

__all__ = ['PARTITION_COUNT', 'FindOwners', 'Ledger', 'Owner']

#: Number of ledger partitions.  Each commits in groups, so the rate of store
#: writes depends on the number of partitions and not on the number of calls.
PARTITION_COUNT = 8

_OWNER_TIMEOUT_S = 1.2


@dataclasses.dataclass(frozen=True)
class Owner:
    """
    A daemon that serves a ledger partition.

    :param name: name of the daemon.
    :param address: address on which it listens for peers.
    """

    name: str
    address: Address


FindOwners: TypeAlias = Callable[[str], tuple[Owner, ...]]


class Ledger:
    """
    Access to all ledger partitions, local or on peers.

    :param own_name: name of this daemon.
    :param store: the platform's key-value service.
    :param client: client for requests to peers.
    :param find_owners: returns the daemons that serve a partition, in order
        of preference.
    """

    def __init__(
        self,
        own_name: str,
        store: GuardedStore,
        client: PeerClient,
        find_owners: FindOwners,
    ) -> None:
        self.window_s: float = 3600
        self._own_name = own_name
        self._store = store
        self._client = client
        self._find_owners = find_owners
        self._partitions_by_number: dict[int, LedgerPartition] = {}
        self._tasks: list[asyncio.Task[None]] = []

    async def claim(self, claim: CallClaim) -> ClaimAnswer:
        """Claim a call; ``UNAVAILABLE`` if no owner could decide on it."""
        reply = await self._query_owners(ClaimCall(claim))
        if isinstance(reply, ClaimAnswer):
            return reply
        return ClaimAnswer(ClaimVerdict.UNAVAILABLE)

    async def record(
        self, claim: CallClaim, outcome: CallOutcome | None
    ) -> bool:
        """Record the outcome of a call; return whether it is durable."""
        reply = await self._query_owners(RecordCall(claim, outcome))
        return isinstance(reply, RecordReply) and reply.is_durable

    async def release(self, claim: CallClaim) -> bool:
        """
        Record that a claimed call was not sent and never will be.

        :returns: whether the record is durable.
        """
        reply = await self._query_owners(ReleaseCall(claim))
        return isinstance(reply, RecordReply) and reply.is_durable

    async def answer(self, request: LedgerRequest) -> LedgerReply:
        """Handle a peer's request as owner of the partition of its key."""
        number = _partition_number(request.claim.key)
        return await self._get_partition(number).answer(request)

    async def stop(self) -> None:
        """Cancel the controllers of all partitions and wait for them."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    @property
    def store_writes(self) -> int:
        """Number of store writes attempted by partitions of this daemon."""
        partitions = self._partitions_by_number.values()
        return sum(partition.writes for partition in partitions)

    async def _query_owners(self, request: LedgerRequest) -> Any:
        number = _partition_number(request.claim.key)
        reply: Any = None
        for owner in self._find_owners(f'ledger/{number}'):
            reply = await self._query_owner(owner, number, request)
            if not _is_unavailable(reply):
                return reply
        return reply

    async def _query_owner(
        self, owner: Owner, number: int, request: LedgerRequest
    ) -> Any:
        if owner.name == self._own_name:
            try:
                async with asyncio.timeout(_OWNER_TIMEOUT_S):
                    return await self._get_partition(number).answer(request)
            except TimeoutError:
                return None
        try:
            return await self._client.request(
                owner.address, request, _OWNER_TIMEOUT_S
            )
        except BronzesillError:
            return None

    def _get_partition(self, number: int) -> LedgerPartition:
        partition = self._partitions_by_number.get(number)
        if partition is None:
            partition = LedgerPartition(number, self._store, self.window_s)
            self._partitions_by_number[number] = partition
            self._tasks.append(asyncio.create_task(partition.run()))
        return partition


def _partition_number(key: str) -> int:
    return stable_hash('partition', key) % PARTITION_COUNT


def _is_unavailable(reply: Any) -> bool:
    if isinstance(reply, ClaimAnswer):
        return reply.verdict == ClaimVerdict.UNAVAILABLE
    return not (isinstance(reply, RecordReply) and reply.is_durable)
