"""Interfaces of the platform services, independent of the provider."""

from __future__ import annotations

import dataclasses
from collections.abc import AsyncIterator
from typing import Protocol

from ..utils import Address
from .revision import StoreRevision

__all__ = [
    'Changes',
    'Condition',
    'HostList',
    'KeyValueStore',
    'Lease',
    'ListedHost',
    'Mutation',
    'Snapshot',
    'StoredEntry',
    'TransactionalStore',
]


@dataclasses.dataclass(frozen=True)
class StoredEntry:
    """
    A key of the store with its value.

    :param key: the key.
    :param payload: value of the key.
    :param revision: store revision of the last write to the key.
    :param is_removed: whether the last write removed the key.
    """

    key: str
    payload: bytes
    revision: StoreRevision
    is_removed: bool = False


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """
    Result of reading all keys below a prefix.

    :param entries: the existing keys with their values, in key order.
    :param revision: store revision after which changes have to be requested;
        some entries may already be newer.
    """

    entries: tuple[StoredEntry, ...]
    revision: StoreRevision


@dataclasses.dataclass(frozen=True)
class Changes:
    """
    Writes below a prefix since a revision.

    :param entries: the writes, oldest first.
    :param revision: store revision up to which the writes are complete.
    :param has_gap: whether the store no longer has some of the writes, or has
        begun a new era, so that the caller has to take a new snapshot.
    """

    entries: tuple[StoredEntry, ...]
    revision: StoreRevision
    has_gap: bool = False


@dataclasses.dataclass(frozen=True)
class Lease:
    """
    A lease, at whose end the keys bound to it are removed.

    :param lease_id: ID, which the store may give out again in a later era.
    :param era: era of the store in which the lease was granted.
    """

    lease_id: int
    era: int


@dataclasses.dataclass(frozen=True)
class Mutation:
    """
    One write in a transaction.

    :param key: the key to write.
    :param payload: value to store, none to delete the key.
    :param lease: lease to which the key is bound, none if it is kept.
    """

    key: str
    payload: bytes | None
    lease: Lease | None = None


@dataclasses.dataclass(frozen=True)
class Condition:
    """
    Condition of a transaction on one key.

    :param key: the key whose revision is compared.
    :param expected: revision of its last write, none if it must not exist.
    """

    key: str
    expected: StoreRevision | None


class KeyValueStore(Protocol):
    """
    The platform's key-value service.

    Each method raises :class:`~bronzesill.utils.BronzesillError` with
    ``STORE_UNAVAILABLE`` if no request was sent, or ``STORE_ANSWER_LOST`` if
    a write may have taken effect.
    """

    async def get(self, key: str) -> StoredEntry | None:
        """Return the entry of a key, none if the key does not exist."""

    async def list(self, prefix: str) -> tuple[StoredEntry, ...]:
        """Return the entries of all keys below a prefix, in key order."""

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
        :returns: store revision of the write, none if the comparison failed.
        """

    async def grant_lease(self, ttl_s: float) -> Lease:
        """Create a lease that expires after ``ttl_s``."""

    async def renew_lease(self, lease: Lease) -> bool:
        """Renew a lease; return false if it has expired."""

    async def revoke_lease(self, lease: Lease) -> None:
        """Revoke a lease, which removes the keys bound to it."""

    async def snapshot(self, prefix: str, *, may_be_stale: bool) -> Snapshot:
        """
        Read all keys below a prefix and the revision to follow changes from.

        :param prefix: prefix of the keys.
        :param may_be_stale: whether the result may be several seconds old.
        """

    async def changes(
        self, prefix: str, after: StoreRevision, wait_s: float
    ) -> Changes:
        """
        Return writes below a prefix, waiting if there are none yet.

        :param prefix: prefix of the keys.
        :param after: store revision after which writes are returned.
        :param wait_s: seconds to wait if there are none.
        """

    def watch(self, prefix: str) -> AsyncIterator[StoredEntry]:
        """Yield writes below a prefix; end when some may have been missed."""


class TransactionalStore(KeyValueStore, Protocol):
    """Key-value service that compares several keys in one transaction."""

    @property
    def era(self) -> int:
        """Highest era that an answer named, 0 if none did."""

    async def transact(
        self,
        conditions: tuple[Condition, ...],
        mutations: tuple[Mutation, ...],
    ) -> StoreRevision | None:
        """
        Apply all mutations atomically if all conditions hold.

        :returns: store revision of the write, none if a condition failed.
        """

    def close(self) -> None:
        """Close the connections to the service."""


@dataclasses.dataclass(frozen=True)
class ListedHost:
    """
    An entry of the platform's host list.

    The list lags behind the actual state of the hosts.

    :param name: name of the host.
    :param peers: address on which its daemon listens for peers, none for a
        host with a backend server.
    :param region: region of the host.
    :param failure_domain: failure domain of the host.
    :param is_leaving: whether the host is about to be removed.
    """

    name: str
    peers: Address | None
    region: str
    failure_domain: str
    is_leaving: bool = False


class HostList(Protocol):
    """The platform's list of live and leaving hosts."""

    async def read(self) -> tuple[ListedHost, ...]:
        """Return the current list, which may lag behind the hosts."""
