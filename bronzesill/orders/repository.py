"""Repository of orders and load slots in the platform's store."""

from __future__ import annotations

import dataclasses

import orjson

from ..audit import AuditEntry, audit_mutation
from ..store import GuardedStore, Mutation, StoredEntry, StoreRevision
from ..utils import BronzesillError, ResultCode, structure_json, unstructure
from .load_slots import LoadSlot, LoadSlots
from .record import OrderRecord, has_ended

__all__ = ['OrderRepository', 'StoredOrder']

_PREFIX = '/bronzesill/orders/'
_SLOTS_KEY = '/bronzesill/order-slots'


@dataclasses.dataclass(frozen=True)
class StoredOrder:
    """
    An order with the store revision at which it was read.

    :param record: the order, with its fencing number.
    :param revision: revision that a change of the order has to match.
    """

    record: OrderRecord
    revision: StoreRevision

    @classmethod
    def from_entry(cls, entry: StoredEntry) -> StoredOrder:
        """
        Parse an entry of the store.

        An order without a fencing number has not been changed since it was
        created, so its number is the revision of the entry.

        :param entry: entry of an order.
        :raises BronzesillError: the payload is not an order.
        """
        record = structure_json(entry.payload, OrderRecord)
        if not record.fencing:
            fencing = entry.revision.to_int()
            record = dataclasses.replace(record, fencing=fencing)
        return cls(record, entry.revision)


class OrderRepository:
    """
    Reads and writes orders and load slots.

    :param store: the platform's key-value service.
    """

    def __init__(self, store: GuardedStore) -> None:
        self._store = store

    async def list(self) -> tuple[StoredOrder, ...]:
        """Return the last order of each backend server."""
        entries = await self._store.list(_PREFIX)
        return tuple(StoredOrder.from_entry(entry) for entry in entries)

    async def returned_at_s(self) -> float:
        """Return when the store last came back from an older copy."""
        return await self._store.returned_at_s()

    async def create(self, record: OrderRecord) -> OrderRecord:
        """
        Store a new order and return it with its fencing number.

        :param record: the order.
        :raises BronzesillError: ``MOVE_CONFLICT`` if the server has an order
            that has not ended, or another one was stored first.
        """
        key = f'{_PREFIX}{record.server}'
        entry = await self._store.get(key)
        expected = entry.revision if entry else None
        if entry and not has_ended(StoredOrder.from_entry(entry).record):
            raise _conflict(f'{record.server} has an order that has not ended')
        mutations = (
            Mutation(key, orjson.dumps(unstructure(record))),
            audit_mutation(_audit_entry(record)),
        )
        revision = await self._store.compare_and_swap(key, expected, mutations)
        if revision is None:
            raise _conflict('another order of the server was stored first')
        return dataclasses.replace(record, fencing=revision.to_int())

    async def change(
        self, stored: StoredOrder, record: OrderRecord
    ) -> StoredOrder:
        """
        Replace an order if it has not changed since it was read.

        :param stored: order that was read before.
        :param record: order to store in its place.
        :returns: the new order with its store revision.
        :raises BronzesillError: ``MOVE_CONFLICT`` if another change was
            stored first.
        """
        key = f'{_PREFIX}{record.server}'
        payload = orjson.dumps(unstructure(record))
        revision = await self._store.compare_and_swap(
            key, stored.revision, (Mutation(key, payload),)
        )
        if revision is None:
            raise _conflict('another change was stored first')
        return StoredOrder(record, revision)

    async def acquire_slot(
        self, slot: LoadSlot, limit: int, now_s: float
    ) -> bool:
        """
        Acquire a load slot and return whether that succeeded.

        :param slot: slot to acquire.
        :param limit: maximum number of slots held at the same time.
        :param now_s: seconds since the epoch.
        :returns: false if no slot is free or another daemon changed the
            slots at the same time.
        """
        entry = await self._store.get(_SLOTS_KEY)
        slots = _parse_slots(entry).acquire(slot, limit, now_s)
        return slots is not None and await self._write_slots(entry, slots)

    async def release_slot(self, server: str, now_s: float) -> None:
        """Release the slot of a server; if that fails, the slot expires."""
        entry = await self._store.get(_SLOTS_KEY)
        slots = _parse_slots(entry).release(server, now_s)
        await self._write_slots(entry, slots)

    async def _write_slots(
        self, entry: StoredEntry | None, slots: LoadSlots
    ) -> bool:
        payload = orjson.dumps(unstructure(slots))
        expected = entry.revision if entry else None
        revision = await self._store.compare_and_swap(
            _SLOTS_KEY, expected, (Mutation(_SLOTS_KEY, payload),)
        )
        return revision is not None


def _parse_slots(entry: StoredEntry | None) -> LoadSlots:
    if entry is None:
        return LoadSlots()
    return structure_json(entry.payload, LoadSlots)


def _audit_entry(record: OrderRecord) -> AuditEntry:
    return AuditEntry(
        at_s=record.created_at_s,
        operator=record.operator,
        action='order create',
        subject=record.server,
        reason=record.reason,
        before='',
        after=f'{record.kind.value} {record.argument}',
    )


def _conflict(message: str) -> BronzesillError:
    return BronzesillError(ResultCode.MOVE_CONFLICT, message)
