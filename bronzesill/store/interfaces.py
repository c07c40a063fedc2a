"""What the system uses of the platform, whatever provides it."""

from __future__ import annotations

import dataclasses
from collections.abc import AsyncIterator
from typing import Protocol

from ..utils import Address

__all__ = [
    'Changes',
    'HostList',
    'KeyValueStore',
    'ListedHost',
    'Mutation',
    'Snapshot',
    'StoredEntry',
]


@dataclasses.dataclass(frozen=True)
class StoredEntry:
    """
    A key with its value as the store keeps it.

    :param key: the key.
    :param payload: the bytes kept under it.
    :param mod_revision: store revision of the last write, 0 if absent.
    :param is_removed: whether that write removed the key.
    """

    key: str
    payload: bytes
    mod_revision: int
    is_removed: bool = False


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """
    Keys below a prefix as they were read.

    :param entries: the keys that exist, in key order.
    :param revision: store revision from which changes may be followed.
    """

    entries: tuple[StoredEntry, ...]
    revision: int


@dataclasses.dataclass(frozen=True)
class Changes:
    """
    Writes below a prefix since a revision.

    :param entries: the writes, oldest first.
    :param revision: store revision up to which they are complete.
    :param is_gap: whether older writes are no longer known, so that the keys
        have to be read anew.
    """

    entries: tuple[StoredEntry, ...]
    revision: int
    is_gap: bool = False


@dataclasses.dataclass(frozen=True)
class Mutation:
    """
    One write inside a compare-and-swap.

    :param key: the key to write.
    :param payload: bytes to put, none to delete the key.
    :param lease_id: lease the key is bound to, 0 for none.
    """

    key: str
    payload: bytes | None
    lease_id: int = 0


class KeyValueStore(Protocol):
    """
    The platform's key-value service.

    Every method raises :class:`~bronzesill.utils.BronzesillError` with
    ``STORE_UNAVAILABLE`` when no request left, or ``STORE_ANSWER_LOST`` when
    a write may have taken effect.
    """

    async def get(self, key: str) -> StoredEntry | None:
        """Read one key."""

    async def list(self, prefix: str) -> tuple[StoredEntry, ...]:
        """Read all keys below a prefix, in key order."""

    async def compare_and_swap(
        self,
        key: str,
        expected_mod_revision: int,
        mutations: tuple[Mutation, ...],
    ) -> int | None:
        """
        Apply all mutations if ``key`` is at the expected revision.

        :returns: store revision of the write, none if it was not made.
        """

    async def grant_lease(self, ttl_s: float) -> int:
        """Open a lease and return its number."""

    async def keep_lease(self, lease_id: int) -> bool:
        """Renew a lease; false if it has lapsed."""

    async def end_lease(self, lease_id: int) -> None:
        """End a lease and remove the keys bound to it."""

    async def snapshot(self, prefix: str, *, is_stale_fine: bool) -> Snapshot:
        """
        Read all keys below a prefix with the revision to follow from.

        :param prefix: beginning of the keys.
        :param is_stale_fine: whether the answer may be seconds old.
        """

    async def changes(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> Changes:
        """
        Wait for writes below a prefix.

        :param prefix: beginning of the keys.
        :param after_revision: revision up to which writes are known.
        :param wait_s: seconds to wait if there are none.
        """

    def watch(self, prefix: str) -> AsyncIterator[StoredEntry]:
        """Yield writes below a prefix until the connection ends."""


@dataclasses.dataclass(frozen=True)
class ListedHost:
    """
    A host as the platform's list has it; the list lags.

    :param name: name of the host.
    :param peers: address for daemons, none for a backend server host.
    :param region: region the host stands in.
    :param failure_domain: failure domain the host stands in.
    :param is_leaving: whether the host is about to go.
    """

    name: str
    peers: Address | None
    region: str
    failure_domain: str
    is_leaving: bool = False


class HostList(Protocol):
    """The platform's list of live and leaving hosts."""

    async def read(self) -> tuple[ListedHost, ...]:
        """Read the list as it is now known."""
