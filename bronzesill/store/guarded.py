"""Writes that hold only in the era of the store whose state they rest on."""

from __future__ import annotations

import math
import time
from collections.abc import AsyncIterator

import orjson

from ..utils import BronzesillError, ResultCode, read_number
from .interfaces import (
    Changes,
    Condition,
    Lease,
    Mutation,
    Snapshot,
    StoredEntry,
    TransactionalStore,
)
from .revision import StoreRevision

__all__ = ['ERA_PREFIX', 'GuardedStore']

#: Prefix of the keys that mark the eras in which daemons have written.
ERA_PREFIX = '/bronzesill/eras/'

#: Eras that are marked together, as an era may pass without a write.
_MARKED_ERAS = 8


class GuardedStore:
    """
    Key-value service whose conditional writes are bound to one era.

    After a return from an older copy the store gives out revisions again, so
    a condition that rests on an earlier era may hold for another content, also
    when the store executes the call late.  Therefore daemons mark each era by
    a key before they read in it what they act on, and each write requires
    that the era after its own is not marked.

    :param store: the key-value service.
    """

    def __init__(self, store: TransactionalStore) -> None:
        self._store = store
        self._marked_era = 0

    @property
    def era(self) -> int:
        """Highest era that an answer named, 0 if none did."""
        return self._store.era

    async def get(self, key: str) -> StoredEntry | None:
        """Return the entry of a key, none if the key does not exist."""
        while True:
            entry = await self._store.get(key)
            if self._marked_era >= self.era:
                return entry
            await self._mark(self.era)

    async def list(self, prefix: str) -> tuple[StoredEntry, ...]:
        """Return the entries of all keys below a prefix, in key order."""
        while True:
            entries = await self._store.list(prefix)
            if self._marked_era >= self.era:
                return entries
            await self._mark(self.era)

    async def snapshot(self, prefix: str, *, may_be_stale: bool) -> Snapshot:
        """Read all keys below a prefix."""
        return await self._store.snapshot(prefix, may_be_stale=may_be_stale)

    async def changes(
        self, prefix: str, after: StoreRevision, wait_s: float
    ) -> Changes:
        """Return writes below a prefix, waiting if there are none yet."""
        return await self._store.changes(prefix, after, wait_s)

    def watch(self, prefix: str) -> AsyncIterator[StoredEntry]:
        """Yield writes below a prefix; end when some may have been missed."""
        return self._store.watch(prefix)

    async def compare_and_swap(
        self,
        key: str,
        expected: StoreRevision | None,
        mutations: tuple[Mutation, ...],
    ) -> StoreRevision | None:
        """
        Apply all mutations atomically if a key is at an expected revision.

        :param key: the key whose revision is compared.
        :param expected: revision of its last write, none if it must not
            exist.
        :param mutations: the writes to apply.
        :returns: store revision of the write; none if the comparison failed,
            or the revision or a lease is of an earlier era.
        :raises BronzesillError: ``STORE_ANSWER_LOST`` also if the store
            executed the write in a later era, where it may not last.
        """
        era = expected.era if expected else self.era
        leases = [mutation.lease for mutation in mutations if mutation.lease]
        if self.era > era or any(lease.era != era for lease in leases):
            return None
        conditions = [Condition(key, expected)]
        if era:
            await self._mark(era)
            conditions.append(Condition(_marker(era + 1), None))
        written = await self._store.transact(tuple(conditions), mutations)
        if era and written is not None and written.era != era:
            raise BronzesillError(
                ResultCode.STORE_ANSWER_LOST,
                f'the write was executed in era {written.era}, not {era}',
            )
        return written

    async def grant_lease(self, ttl_s: float) -> Lease:
        """Create a lease that expires after ``ttl_s``."""
        return await self._store.grant_lease(ttl_s)

    async def renew_lease(self, lease: Lease) -> bool:
        """Renew a lease; return false if it has expired or its era ended."""
        if self.era > lease.era:
            return False
        is_renewed = await self._store.renew_lease(lease)
        # Its ID may have been given out again in the era that has begun.
        return is_renewed and self.era == lease.era

    async def revoke_lease(self, lease: Lease) -> None:
        """Revoke a lease, unless it is of another era."""
        if self.era == lease.era:
            await self._store.revoke_lease(lease)

    def close(self) -> None:
        """Close the connections to the service."""
        self._store.close()

    async def returned_at_s(self) -> float:
        """
        Return when the store last came back from an older copy.

        :returns: Unix time in seconds at which a daemon saw the present era
            first; minus infinity if none has seen an earlier one.
        """
        if not self.era:
            return -math.inf
        await self._mark(self.era)
        entry = await self._store.get(_marker(self.era))
        return _decode_mark(entry) if entry else 0

    async def _mark(self, era: int) -> None:
        if self._marked_era >= era:
            return
        is_first = not self._marked_era and not await self._store.list(
            ERA_PREFIX
        )
        payload = orjson.dumps({'seen_at_s': time.time(), 'is_first': is_first})
        first = max(era - _MARKED_ERAS + 1, 1)
        await self._store.transact(
            (Condition(_marker(era), None),),
            tuple(
                Mutation(_marker(number), payload)
                for number in range(first, era + 1)
            ),
        )
        self._marked_era = era


def _marker(era: int) -> str:
    return f'{ERA_PREFIX}{era:06d}'


def _decode_mark(entry: StoredEntry) -> float:
    """
    Return the time that a marker of an era holds.

    :raises BronzesillError: ``STORE_UNAVAILABLE``, the marker is malformed.
    """
    try:
        mark = orjson.loads(entry.payload)
        seen_at_s = read_number(mark.get('seen_at_s', 0))
        return -math.inf if mark.get('is_first') else seen_at_s
    except (ValueError, AttributeError) as error:
        raise BronzesillError(
            ResultCode.STORE_UNAVAILABLE, f'malformed marker {entry.key}'
        ) from error
