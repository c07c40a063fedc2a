"""Base of stores of tests that only tell of their keys and changes."""

from __future__ import annotations

from collections.abc import AsyncIterator

from ...store import Lease, Mutation, StoredEntry, StoreRevision

__all__ = ['ReadOnlyStore']


class ReadOnlyStore:
    """A store without the calls that a host does not need to follow it."""

    async def get(self, key: str) -> StoredEntry | None:
        raise NotImplementedError

    async def list(self, prefix: str) -> tuple[StoredEntry, ...]:
        raise NotImplementedError

    async def compare_and_swap(
        self,
        key: str,
        expected: StoreRevision | None,
        mutations: tuple[Mutation, ...],
    ) -> StoreRevision | None:
        raise NotImplementedError

    async def grant_lease(self, ttl_s: float) -> Lease:
        raise NotImplementedError

    async def renew_lease(self, lease: Lease) -> bool:
        raise NotImplementedError

    async def revoke_lease(self, lease: Lease) -> None:
        raise NotImplementedError

    def watch(self, prefix: str) -> AsyncIterator[StoredEntry]:
        raise NotImplementedError
