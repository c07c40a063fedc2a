"""State of the key-value store: items, leases, history, faults, counters."""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Mapping

__all__ = ['Item', 'Lease', 'StoreCopy', 'StoreFaults', 'StoreState']


@dataclasses.dataclass
class StoreFaults:
    """
    Faults that can be injected into the store.

    :param down: whether all calls are rejected.
    :param delay_s: delay in seconds before a call takes effect.
    :param lose_answers: number of next writes that take effect but whose
        responses are lost.
    :param max_calls_per_s: maximum number of calls per second, 0 for no
        limit; further calls are rejected.
    """

    down: bool = False
    delay_s: float = 0
    lose_answers: int = 0
    max_calls_per_s: int = 0


@dataclasses.dataclass(frozen=True)
class Item:
    """
    Version of a key after a write or removal.

    :param key: name of the key.
    :param value: base64-encoded payload, none if the key was removed.
    :param revision: store revision of this change.
    :param created_revision: store revision at which the key was created.
    :param lease_id: lease the key is attached to, 0 for none.
    """

    key: str
    value: str | None
    revision: int
    created_revision: int
    lease_id: int = 0


@dataclasses.dataclass(frozen=True)
class Lease:
    """
    Lease whose expiry removes the keys attached to it.

    :param ttl_s: time to live in seconds after a grant or renewal.
    :param expires_at_s: event loop time at which the lease expires.
    """

    ttl_s: float
    expires_at_s: float


@dataclasses.dataclass(frozen=True)
class StoreCopy:
    """
    Copy of the store's contents at one moment.

    :param items_by_key: existing keys.
    :param history: changes that the store still knew.
    :param leases_by_id: leases that had not ended.
    :param revision: revision of the store.
    """

    items_by_key: Mapping[str, Item]
    history: tuple[Item, ...]
    leases_by_id: Mapping[int, Lease]
    revision: int


class StoreState:
    """In-memory state of the store."""

    def __init__(self) -> None:
        #: Number of the store's contents; rises with each return of a copy.
        self.era = 1
        self.faults = StoreFaults()
        self.items_by_key: dict[str, Item] = {}
        self.history: list[Item] = []
        self.leases_by_id: dict[int, Lease] = {}
        #: Changes up to this revision are no longer in the history.
        self.compacted_revision = 0
        self.revision = 1
        self.reads = 0
        self.writes = 0
        self.changed = asyncio.Condition()
        self._second = 0
        self._calls_in_second = 0

    def exceeds_rate(self, now_s: float) -> bool:
        """Count a call and return whether it exceeds the rate limit."""
        if int(now_s) != self._second:
            self._second = int(now_s)
            self._calls_in_second = 0
        self._calls_in_second += 1
        limit = self.faults.max_calls_per_s
        return bool(limit) and self._calls_in_second > limit

    def revision_of(self, key: str) -> int:
        """Return the revision of a key's last write, 0 if it does not exist."""
        item = self.items_by_key.get(key)
        return item.revision if item else 0

    def write(self, key: str, payload: str, lease_id: int) -> None:
        """Write a key at the current store revision."""
        existing = self.items_by_key.get(key)
        created = existing.created_revision if existing else self.revision
        item = Item(key, payload, self.revision, created, lease_id)
        self.items_by_key[key] = item
        self.history.append(item)

    def remove(self, key: str) -> None:
        """Remove a key at the current store revision, if it exists."""
        existing = self.items_by_key.pop(key, None)
        if existing is not None:
            self.history.append(
                Item(key, None, self.revision, existing.created_revision)
            )

    def copy(self) -> StoreCopy:
        """Return a copy of the contents, to which the store can go back."""
        return StoreCopy(
            dict(self.items_by_key),
            tuple(self.history),
            dict(self.leases_by_id),
            self.revision,
        )

    def restore(self, copy: StoreCopy, now_s: float) -> None:
        """Go back to a copy; what was written since is gone."""
        self.era += 1
        self.items_by_key = dict(copy.items_by_key)
        self.history = list(copy.history)
        self.leases_by_id = {
            lease_id: Lease(lease.ttl_s, now_s + lease.ttl_s)
            for lease_id, lease in copy.leases_by_id.items()
        }
        self.revision = copy.revision

    def compact(self) -> None:
        """Discard the history of changes up to the current revision."""
        self.history.clear()
        self.compacted_revision = self.revision

    def items_below(self, prefix: str) -> list[Item]:
        """Return the items whose keys start with a prefix, in key order."""
        return [
            self.items_by_key[key]
            for key in sorted(self.items_by_key)
            if key.startswith(prefix)
        ]

    def changes_since(self, prefix: str, after: int) -> list[Item]:
        """Return the changes of keys below a prefix after a revision."""
        return [
            item
            for item in self.history
            if item.revision > after and item.key.startswith(prefix)
        ]

    def renew(self, lease_id: int, now_s: float) -> float:
        """Renew a lease and return its TTL in seconds, 0 if it has expired."""
        self.expire(now_s)
        lease = self.leases_by_id.get(lease_id)
        if lease is None:
            return 0
        renewed = Lease(lease.ttl_s, now_s + lease.ttl_s)
        self.leases_by_id[lease_id] = renewed
        return lease.ttl_s

    def expire(self, now_s: float) -> None:
        """Remove expired leases and the keys attached to them."""
        expired = {
            lease_id
            for lease_id, lease in self.leases_by_id.items()
            if lease.expires_at_s <= now_s
        }
        if expired:
            self.revoke_leases(expired)

    def revoke_leases(self, lease_ids: set[int]) -> None:
        """Remove leases and the keys attached to them in a new revision."""
        self.revision += 1
        for lease_id in lease_ids:
            self.leases_by_id.pop(lease_id, None)
        for key, item in tuple(self.items_by_key.items()):
            if item.lease_id in lease_ids:
                self.remove(key)
