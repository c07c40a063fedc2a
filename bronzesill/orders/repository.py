"""Orders and the weight store's budget in the platform's store."""

from __future__ import annotations

import dataclasses

import orjson

from ..audit import AuditEntry, audit_mutation
from ..store import KeyValueStore, Mutation, StoredEntry
from ..utils import BronzesillError, ResultCode, structure_json, unstructure
from .budget import LoadSlot, LoadSlots
from .record import OrderRecord, has_ended

__all__ = ['HeldOrder', 'OrderRepository']

_PREFIX = '/bronzesill/orders/'
_SLOTS_KEY = '/bronzesill/order-slots'


@dataclasses.dataclass(frozen=True)
class HeldOrder:
    """
    An order as read from the store.

    :param record: the order, with its fencing number.
    :param mod_revision: store revision to compare with on a change.
    """

    record: OrderRecord
    mod_revision: int

    @classmethod
    def from_entry(cls, entry: StoredEntry) -> HeldOrder:
        """Parse an order as the store keeps it."""
        record = structure_json(entry.payload, OrderRecord)
        if not record.fencing:
            record = dataclasses.replace(record, fencing=entry.mod_revision)
        return cls(record, entry.mod_revision)


class OrderRepository:
    """
    Reads and changes orders.

    :param store: the platform's key-value service.
    """

    def __init__(self, store: KeyValueStore) -> None:
        self._store = store

    async def list(self) -> tuple[HeldOrder, ...]:
        """Read all orders."""
        entries = await self._store.list(_PREFIX)
        return tuple(HeldOrder.from_entry(entry) for entry in entries)

    async def create(self, record: OrderRecord) -> OrderRecord:
        """
        Record an order and return it with its fencing number.

        :raises BronzesillError: ``MOVE_CONFLICT`` if the server has an order
            that has not ended, or another one was faster.
        """
        key = f'{_PREFIX}{record.server}'
        entry = await self._store.get(key)
        expected = entry.mod_revision if entry else 0
        if entry and not has_ended(HeldOrder.from_entry(entry).record):
            raise _conflict(f'{record.server} has an order already')
        mutations = (
            Mutation(key, orjson.dumps(unstructure(record))),
            audit_mutation(_entry(record)),
        )
        revision = await self._store.compare_and_swap(key, expected, mutations)
        if revision is None:
            raise _conflict('another order was created first')
        return dataclasses.replace(record, fencing=revision)

    async def change(self, held: HeldOrder, record: OrderRecord) -> HeldOrder:
        """
        Put a changed order in place of what was read before.

        :raises BronzesillError: another change came first.
        """
        key = f'{_PREFIX}{record.server}'
        payload = orjson.dumps(unstructure(record))
        revision = await self._store.compare_and_swap(
            key, held.mod_revision, (Mutation(key, payload),)
        )
        if revision is None:
            raise _conflict('another change came first')
        return HeldOrder(record, revision)

    async def take_slot(self, slot: LoadSlot, most: int, now_s: float) -> bool:
        """Take a slot of the weight store's budget, if one is free."""
        entry = await self._store.get(_SLOTS_KEY)
        slots = _parse_slots(entry).take(slot, most, now_s)
        return slots is not None and await self._write_slots(entry, slots)

    async def give_back_slot(self, server: str, now_s: float) -> None:
        """Give back a server's slot; if that fails it runs out by itself."""
        entry = await self._store.get(_SLOTS_KEY)
        slots = _parse_slots(entry).give_back(server, now_s)
        await self._write_slots(entry, slots)

    async def _write_slots(
        self, entry: StoredEntry | None, slots: LoadSlots
    ) -> bool:
        payload = orjson.dumps(unstructure(slots))
        expected = entry.mod_revision if entry else 0
        revision = await self._store.compare_and_swap(
            _SLOTS_KEY, expected, (Mutation(_SLOTS_KEY, payload),)
        )
        return revision is not None


def _parse_slots(entry: StoredEntry | None) -> LoadSlots:
    if entry is None:
        return LoadSlots()
    return structure_json(entry.payload, LoadSlots)


def _entry(record: OrderRecord) -> AuditEntry:
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
