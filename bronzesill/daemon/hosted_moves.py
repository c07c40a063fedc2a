"""Moves of traffic that operators order through the platform's store."""

from __future__ import annotations

import asyncio
import collections
import time

from ..membership import MembershipController, News
from ..moves import (
    MOVE_PREFIX,
    KnownMove,
    MoveOrder,
    MoveRecord,
    MovesController,
    fact_of,
    record_from_entry,
    should_tell,
    status_of,
)
from ..platform import (
    ORDER_PREFIX,
    decode_order,
    decode_status,
    status_key,
    status_mutation,
)
from ..replica import Replica
from ..routing import ServerBook, TrafficSplit
from ..store import KeyValueStore, StoredEntry
from ..utils import BronzesillError, PartLogger
from ..wire import PeerClient
from .roles import RoleFinder
from .traffic import TrafficController

__all__ = ['HostedMoves', 'HostedTraffic']

_TICK_S = 0.3
_OPERATOR = 'operator'

_log = PartLogger('moves')


class HostedMoves:
    """
    Owner of the orders that this daemon knows, and of its part in them.

    :param store: the key-value service.
    :param membership: what is believed of the fleet.
    :param client: streams to peers.
    :param book: what is known of the backend servers.
    """

    def __init__(
        self,
        store: KeyValueStore,
        membership: MembershipController,
        client: PeerClient,
        book: ServerBook,
    ) -> None:
        self._store = store
        self._membership = membership
        self._book = book
        self._roles = RoleFinder(membership)
        self._orders_by_subject: dict[str, MoveOrder] = {}
        self._replica = Replica()
        self.controller = MovesController(
            membership.own.name,
            store,
            client,
            self._roles.drivers,
            membership.state_fact,
        )
        self.traffic = HostedTraffic(self, book)
        membership.listeners.append(self._hear)

    def take_news(
        self, news: tuple[StoredEntry, ...], replica: Replica
    ) -> None:
        """
        Take in what is new in the store.

        :param news: the entries.
        :param replica: all that is known of the store.
        """
        self._replica = replica
        for entry in news:
            if entry.key.startswith(ORDER_PREFIX):
                self._take_order(entry)
            elif entry.key.startswith(MOVE_PREFIX) and not entry.is_removed:
                self._take_record(entry)

    def split(self, subject: str) -> TrafficSplit:
        """Return how a subject's traffic is split now."""
        order = self._orders_by_subject.get(subject)
        if order is None:
            return TrafficSplit('')
        configured = self._first_version(subject, order)
        split = self.controller.book.split(subject, configured, time.time())
        usable = self._usable_by_version(subject)
        if split.new_version and not usable[split.new_version]:
            return TrafficSplit(split.old_version)
        if usable[split.old_version] or not self._has_ended(order):
            return split
        # The version that serves was replaced since, without an order.
        return self._split_since(order, split)

    def is_listed(self, subject: str, version: str) -> bool:
        """Say whether a version has servers that take new work."""
        return bool(self._usable_by_version(subject)[version])

    async def run(self) -> None:
        """Carry orders out as far as this daemon drives them, for ever."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.controller.run(_never))
            group.create_task(self._run_orders())

    async def _run_orders(self) -> None:
        while True:
            await asyncio.sleep(_TICK_S)
            for order in tuple(self._orders_by_subject.values()):
                if self._is_driver(order):
                    await self._carry_out(order)

    async def _carry_out(self, order: MoveOrder) -> None:
        try:
            if self._known(order) is None:
                await self._begin(order)
            await self._tell(order)
        except BronzesillError as error:
            _log.warning('order for %s waits: %s', order.subject, error)

    async def _begin(self, order: MoveOrder) -> None:
        if self._is_finished(order):
            return
        for known in self.controller.book.open_moves():
            if known.record.subject == order.subject:
                await self._replace(known)
        now_s = time.time()
        record = MoveRecord(
            move_id=order.move_id,
            subject=order.subject,
            old_version=self._old_version(order),
            new_version=order.new_version,
            created_at_s=now_s,
            deadline_at_s=now_s + order.window_s,
            operator=_OPERATOR,
            reason='ordered',
            changed_at_s=now_s,
            changed_by=self._membership.own.name,
        )
        await self.controller.create(record)
        _log.event(
            'move_begun',
            move=order.move_id,
            old_version=record.old_version,
            new_version=record.new_version,
            window_s=order.window_s,
        )

    async def _replace(self, known: KnownMove) -> None:
        await self.controller.take_back(
            known.record.move_id, _OPERATOR, 'another order replaces it'
        )

    async def _tell(self, order: MoveOrder) -> None:
        status = status_of(order, self._known(order), time.time())
        key = status_key(order.subject)
        held = self._replica.entries_by_key.get(key)
        told = decode_status(held.payload) if held else None
        revision = held.mod_revision if held else 0
        is_older = revision < order.mod_revision
        if not should_tell(told, status, is_older=is_older):
            return
        written = await self._store.compare_and_swap(
            key,
            0 if held is None or held.is_removed else revision,
            (status_mutation(status),),
        )
        _log.event(
            'move_told',
            move=order.move_id,
            is_done=status.is_done,
            is_taken_back=status.is_taken_back,
            is_written=written is not None,
        )

    def _take_order(self, entry: StoredEntry) -> None:
        order = decode_order(entry)
        if order is None:
            _log.warning('order %s is removed or not readable', entry.key)
            return
        _log.event(
            'move_ordered',
            move=order.move_id,
            new_version=order.new_version,
            window_s=order.window_s,
        )
        self._orders_by_subject[order.subject] = order

    def _take_record(self, entry: StoredEntry) -> None:
        record = record_from_entry(entry)
        if record is None:
            _log.warning('record %s is not readable', entry.key)
        elif self.controller.book.sequence(record.move_id) < record.sequence:
            self._membership.state_fact(fact_of(record))

    def _hear(self, news: News) -> None:
        self.controller.book.hear(news.rumours)

    def _is_driver(self, order: MoveOrder) -> bool:
        drivers = self._roles.drivers(order.move_id)
        return bool(drivers) and drivers[0].name == self._membership.own.name

    def _known(self, order: MoveOrder) -> KnownMove | None:
        return self.controller.book.find(order.move_id)

    def _is_finished(self, order: MoveOrder) -> bool:
        held = self._replica.entries_by_key.get(status_key(order.subject))
        if held is None or held.mod_revision < order.mod_revision:
            return False
        told = decode_status(held.payload)
        return told is not None and told.is_final

    def _has_ended(self, order: MoveOrder) -> bool:
        known = self._known(order)
        return known is not None and known.is_ended

    def _split_since(
        self, order: MoveOrder, split: TrafficSplit
    ) -> TrafficSplit:
        if split.old_version == order.new_version:
            return TrafficSplit('')
        # A version that was taken back is not used again.
        return TrafficSplit(self._old_version(order) or split.old_version)

    def _first_version(self, subject: str, order: MoveOrder) -> str:
        first = self.controller.book.first_version(subject)
        return first or self._old_version(order)

    def _old_version(self, order: MoveOrder) -> str:
        """Return the version that most servers run, the ordered one aside."""
        counts = self._usable_by_version(order.subject)
        counts.pop(order.new_version, None)
        return max(counts, key=lambda version: counts[version], default='')

    def _usable_by_version(self, subject: str) -> collections.Counter[str]:
        return collections.Counter(
            server.version
            for name, server in self._book.servers_by_name.items()
            if subject in {server.service, server.model}
            and name not in self._book.leaving
        )


class HostedTraffic(TrafficController):
    """
    Which version serves what, by the operators' orders.

    :param hosted: the orders.
    :param book: what is known of the backend servers.
    """

    def __init__(self, hosted: HostedMoves, book: ServerBook) -> None:
        super().__init__(hosted.controller, book)
        self._hosted = hosted

    def model_split(self, model: str) -> TrafficSplit:
        """Return how a model's traffic is split now."""
        return self._hosted.split(model)

    def service_split(self, service: str) -> TrafficSplit:
        """Return how a plain service's traffic is split now."""
        return self._hosted.split(service)

    def resume_version(self, model: str, version: str) -> str:
        """
        Return the version that goes on with a begun answer.

        Once a move is done the old version is stopped; the answer then goes
        on wherever it can.
        """
        if self._hosted.is_listed(model, version):
            return version
        return self.model_split(model).old_version


def _never() -> bool:
    return False
