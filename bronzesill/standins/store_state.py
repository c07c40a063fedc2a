"""State of the key-value stand-in: items, leases, history, faults, counts."""

from __future__ import annotations

import asyncio
import dataclasses

__all__ = ['Item', 'Lease', 'StoreFaults', 'StoreState']


@dataclasses.dataclass
class StoreFaults:
    """
    Faults that the stand-in shows on command.

    :param down: refuse every call.
    :param delay_s: seconds before each call takes effect.
    :param lose_answers: writes whose answer is lost after the effect.
    :param max_calls_per_s: calls a second, more are refused; 0 for no limit.
    """

    down: bool = False
    delay_s: float = 0
    lose_answers: int = 0
    max_calls_per_s: int = 0


@dataclasses.dataclass(frozen=True)
class Item:
    """
    A key as it was written or removed.

    :param key: the key.
    :param value: payload in base64, none if the key was removed.
    :param revision: revision of this change.
    :param created_revision: revision of the key's creation.
    :param lease_id: lease it is bound to, 0 for none.
    """

    key: str
    value: str | None
    revision: int
    created_revision: int
    lease_id: int = 0


@dataclasses.dataclass(frozen=True)
class Lease:
    """
    A lease that keeps keys alive.

    :param ttl_s: seconds by which a renewal extends it.
    :param ends_at_s: loop time at which it lapses.
    """

    ttl_s: float
    ends_at_s: float


class StoreState:
    """All that the stand-in keeps."""

    def __init__(self) -> None:
        self.faults = StoreFaults()
        self.items_by_key: dict[str, Item] = {}
        self.history: list[Item] = []
        self.leases_by_id: dict[int, Lease] = {}
        #: Changes before this revision are forgotten.
        self.compacted_revision = 0
        self.revision = 1
        self.reads = 0
        self.writes = 0
        self.changed = asyncio.Condition()
        self._second = 0
        self._calls_in_second = 0

    def exceeds_rate(self, now_s: float) -> bool:
        """Count a call and say whether it is one too many this second."""
        if int(now_s) != self._second:
            self._second = int(now_s)
            self._calls_in_second = 0
        self._calls_in_second += 1
        limit = self.faults.max_calls_per_s
        return bool(limit) and self._calls_in_second > limit

    def revision_of(self, key: str) -> int:
        """Return the revision of a key's last write, 0 if absent."""
        item = self.items_by_key.get(key)
        return item.revision if item else 0

    def write(self, key: str, payload: str, lease_id: int) -> None:
        """Write a key at the present revision."""
        known = self.items_by_key.get(key)
        created = known.created_revision if known else self.revision
        item = Item(key, payload, self.revision, created, lease_id)
        self.items_by_key[key] = item
        self.history.append(item)

    def remove(self, key: str) -> None:
        """Remove a key at the present revision."""
        known = self.items_by_key.pop(key, None)
        if known is not None:
            self.history.append(
                Item(key, None, self.revision, known.created_revision)
            )

    def compact(self) -> None:
        """Forget all changes so far."""
        self.history.clear()
        self.compacted_revision = self.revision

    def select(self, prefix: str) -> list[Item]:
        """Return the items below a prefix, in key order."""
        return [
            self.items_by_key[key]
            for key in sorted(self.items_by_key)
            if key.startswith(prefix)
        ]

    def changes(self, prefix: str, after: int) -> list[Item]:
        """Return the changes below a prefix since a revision."""
        return [
            item
            for item in self.history
            if item.revision > after and item.key.startswith(prefix)
        ]

    def renew(self, lease_id: int, now_s: float) -> float:
        """Renew a lease and return its seconds, 0 if it has lapsed."""
        self.expire(now_s)
        lease = self.leases_by_id.get(lease_id)
        if lease is None:
            return 0
        renewed = Lease(lease.ttl_s, now_s + lease.ttl_s)
        self.leases_by_id[lease_id] = renewed
        return lease.ttl_s

    def expire(self, now_s: float) -> None:
        """Drop lapsed leases and the keys bound to them."""
        lapsed = {
            lease_id
            for lease_id, lease in self.leases_by_id.items()
            if lease.ends_at_s <= now_s
        }
        if lapsed:
            self.end_leases(lapsed)

    def end_leases(self, lease_ids: set[int]) -> None:
        """End leases and remove the keys bound to them."""
        self.revision += 1
        for lease_id in lease_ids:
            self.leases_by_id.pop(lease_id, None)
        for key, item in tuple(self.items_by_key.items()):
            if item.lease_id in lease_ids:
                self.remove(key)
