"""Traffic moves that operators order through the platform's store."""

from __future__ import annotations

import asyncio
import collections
import math
import time
from operator import attrgetter

from ..membership import MembershipController, ViewUpdated
from ..moves import (
    MOVE_PREFIX,
    Driver,
    ExposureLimit,
    KnownMove,
    MoveOrder,
    MoveRecord,
    MovesController,
    fact_of,
    find_drivers,
    find_move_id,
    find_others,
    record_from_entry,
    should_publish_status,
    status_of,
)
from ..platform.rollouts import (
    ORDER_PREFIX,
    decode_order,
    decode_status,
    status_key,
    status_mutation,
)
from ..replica import Replica
from ..routing import ServerTracker, TrafficSplit
from ..store import KeyValueStore, StoredEntry
from ..utils import BronzesillError, PartLogger
from ..wire import PeerClient
from .task_runner import handle_each
from .traffic import TrafficController

__all__ = ['HostedMoves', 'HostedTraffic']

_ORDER_INTERVAL_S = 0.3
_OPERATOR = 'operator'
#: Time after a return of the store in which operators write again what it has
#: lost.
_REPEATED_ORDERS_S = 10.0
#: Era before the first return of the store.
_FIRST_ERA = 1

_log = PartLogger('moves')


class HostedMoves:
    """
    Move orders known to this daemon; executes those that it drives.

    :param store: key-value store of the platform.
    :param membership: this daemon's view of the fleet.
    :param client: client for requests to peers.
    :param tracker: state of the backend servers.
    :param exposure_limit: requests that a bad version may get.
    """

    def __init__(
        self,
        store: KeyValueStore,
        membership: MembershipController,
        client: PeerClient,
        tracker: ServerTracker,
        exposure_limit: ExposureLimit,
    ) -> None:
        self._store = store
        self._membership = membership
        self._tracker = tracker
        self._orders_by_subject: dict[str, MoveOrder] = {}
        self._replica = Replica()
        #: Loop time at which this daemon saw that the store had come back from
        #: an older copy.
        self._returned_at_s = -math.inf
        self._lost_move_ids: frozenset[str] = frozenset()
        self.controller = MovesController(
            membership.own.name,
            store,
            client,
            self._find_drivers,
            membership.publish_fact,
            exposure_limit,
        )
        self.controller.list_peers = lambda: find_others(
            membership.view, membership.own.name
        )
        self.traffic = HostedTraffic(self, tracker)
        membership.listeners.append(self._apply_view_change)

    def apply_store_changes(
        self, entries: tuple[StoredEntry, ...], replica: Replica
    ) -> None:
        """
        Process entries that changed in the store.

        :param entries: the changed entries.
        :param replica: the replica of the store that contains them.
        """
        if replica.era != self._replica.era:
            self._begin_era(replica.era)
        self._replica = replica
        orders = (
            entry for entry in entries if entry.key.startswith(ORDER_PREFIX)
        )
        handle_each(orders, self._apply_order, attrgetter('key'))
        records = (
            entry
            for entry in entries
            if entry.key.startswith(MOVE_PREFIX) and not entry.is_removed
        )
        handle_each(records, self._apply_record, attrgetter('key'))

    def split(self, subject: str) -> TrafficSplit:
        """
        Return the current split of a subject's traffic.

        A subject without an order gets an empty version, so that no version
        is excluded.
        """
        order = self._orders_by_subject.get(subject)
        if order is None:
            return TrafficSplit('')
        configured = self._baseline_version(subject, order)
        split = self.controller.move_table.split(
            subject, configured, time.time()
        )
        available = self._available_by_version(subject)
        if split.new_version and not available[split.new_version]:
            return TrafficSplit(split.old_version)
        if available[split.old_version] or not self._has_ended(order):
            return split
        # The serving version was replaced since the move ended, without an
        # order.
        return self._split_after_replacement(order, split)

    def has_available_servers(self, subject: str, version: str) -> bool:
        """Return whether a version has servers that accept new requests."""
        return bool(self._available_by_version(subject)[version])

    async def run(self) -> None:
        """Execute the orders that this daemon drives until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.controller.run(_never_reconcile))
            group.create_task(self._run_orders())

    async def _run_orders(self) -> None:
        while True:
            await asyncio.sleep(_ORDER_INTERVAL_S)
            for order in tuple(self._orders_by_subject.values()):
                if self._is_driver(order):
                    await self._execute(order)
            for move_id in self._lost_move_ids:
                await self._restore(move_id)

    async def _restore(self, move_id: str) -> None:
        """Have a record written again that a returned store shows older."""
        entry = self._replica.entries_by_key.get(f'{MOVE_PREFIX}{move_id}')
        stored = record_from_entry(entry) if entry else None
        known = self.controller.move_table.sequence(move_id)
        if stored is not None and stored.sequence >= known:
            self._lost_move_ids -= {move_id}
            return
        try:
            await self.controller.restore(move_id)
        except BronzesillError as error:
            _log.warning('move %s not written again: %s', move_id, error)

    async def _execute(self, order: MoveOrder) -> None:
        try:
            if self._find_move(order) is None:
                await self._start_move(order)
            await self._publish_status(order)
        except BronzesillError as error:
            _log.warning('order for %s is retried: %s', order.subject, error)

    async def _start_move(self, order: MoveOrder) -> None:
        if self._has_final_status(order):
            return
        for open_move in self.controller.move_table.open_moves():
            if open_move.record.subject == order.subject:
                await self._roll_back_replaced(open_move)
        now_s = time.time()
        record = MoveRecord(
            move_id=self._move_id(order),
            subject=order.subject,
            old_version=self._most_common_version(order),
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
            move=record.move_id,
            old_version=record.old_version,
            new_version=record.new_version,
            window_s=order.window_s,
        )

    async def _roll_back_replaced(self, replaced: KnownMove) -> None:
        await self.controller.roll_back(
            replaced.record.move_id, _OPERATOR, 'another order replaces it'
        )

    async def _publish_status(self, order: MoveOrder) -> None:
        status = status_of(order, self._find_move(order), time.time())
        key = status_key(order.subject)
        stored = self._replica.entries_by_key.get(key)
        published = decode_status(stored.payload) if stored else None
        is_from_earlier_order = (
            stored is not None and stored.revision < order.revision
        )
        if not should_publish_status(
            published, status, is_from_earlier_order=is_from_earlier_order
        ):
            return
        written = await self._store.compare_and_swap(
            key,
            None if stored is None or stored.is_removed else stored.revision,
            (status_mutation(status),),
        )
        _log.event(
            'move_told',
            move=self._move_id(order),
            is_done=status.is_done,
            is_taken_back=status.is_taken_back,
            is_written=written is not None,
        )

    def _begin_era(self, era: int) -> None:
        has_returned = era > _FIRST_ERA or self._replica.era > 0
        self._returned_at_s = _now_s() if has_returned else -math.inf
        records = self.controller.move_table.records()
        self._lost_move_ids = frozenset(record.move_id for record in records)

    def _apply_order(self, entry: StoredEntry) -> None:
        elapsed_s = _now_s() - self._returned_at_s
        order = decode_order(
            entry, may_be_repeated=elapsed_s < _REPEATED_ORDERS_S
        )
        if order is None:
            _log.warning('order %s was removed or cannot be decoded', entry.key)
            return
        _log.event(
            'move_ordered',
            move=self._move_id(order),
            revision=str(order.revision),
            new_version=order.new_version,
            window_s=order.window_s,
        )
        self._orders_by_subject[order.subject] = order

    def _apply_record(self, entry: StoredEntry) -> None:
        record = record_from_entry(entry)
        if record is None:
            _log.warning('move record %s cannot be decoded', entry.key)
        elif (
            self.controller.move_table.sequence(record.move_id)
            < record.sequence
        ):
            self._membership.publish_fact(fact_of(record))

    def _apply_view_change(self, change: ViewUpdated) -> None:
        self.controller.move_table.apply_facts(change.updates)

    def _find_drivers(self, move_id: str) -> tuple[Driver, ...]:
        return find_drivers(self._membership.view, move_id)

    def _is_driver(self, order: MoveOrder) -> bool:
        drivers = self._find_drivers(self._move_id(order))
        return bool(drivers) and drivers[0].name == self._membership.own.name

    def _move_id(self, order: MoveOrder) -> str:
        return find_move_id(order, self.controller.move_table.records())

    def _find_move(self, order: MoveOrder) -> KnownMove | None:
        return self.controller.move_table.find(self._move_id(order))

    def _has_final_status(self, order: MoveOrder) -> bool:
        stored = self._replica.entries_by_key.get(status_key(order.subject))
        if stored is None or stored.revision < order.revision:
            return False
        published = decode_status(stored.payload)
        return published is not None and published.is_final

    def _has_ended(self, order: MoveOrder) -> bool:
        move = self._find_move(order)
        return move is not None and move.is_ended

    def _split_after_replacement(
        self, order: MoveOrder, split: TrafficSplit
    ) -> TrafficSplit:
        if split.old_version == order.new_version:
            return TrafficSplit('')
        # A version that was rolled back is not used again.
        return TrafficSplit(
            self._most_common_version(order) or split.old_version
        )

    def _baseline_version(self, subject: str, order: MoveOrder) -> str:
        first = self.controller.move_table.first_version(subject)
        return first or self._most_common_version(order)

    def _most_common_version(self, order: MoveOrder) -> str:
        """
        Return the version most servers run, except for the ordered one.

        The result is empty if no server of another version accepts requests.
        """
        counts = self._available_by_version(order.subject)
        counts.pop(order.new_version, None)
        return max(counts, key=lambda version: counts[version], default='')

    def _available_by_version(self, subject: str) -> collections.Counter[str]:
        return collections.Counter(
            server.version
            for name, server in self._tracker.servers_by_name.items()
            if subject in {server.service, server.model}
            and name not in self._tracker.leaving
        )


class HostedTraffic(TrafficController):
    """
    Selects the version that serves a request, as operators ordered.

    :param hosted_moves: the move orders.
    :param tracker: state of the backend servers.
    """

    def __init__(
        self, hosted_moves: HostedMoves, tracker: ServerTracker
    ) -> None:
        super().__init__(hosted_moves.controller, tracker)
        self._hosted_moves = hosted_moves

    def model_split(self, model: str) -> TrafficSplit:
        """Return the current traffic split of a model."""
        return self._hosted_moves.split(model)

    def service_split(self, service: str) -> TrafficSplit:
        """Return the current traffic split of a plain service."""
        return self._hosted_moves.split(service)

    def resume_version(self, model: str, version: str) -> str:
        """
        Return the version that resumes a partly sent answer.

        Servers of the old version are stopped once a move is done; the
        answer is then resumed on the version that serves the model.
        """
        if self._hosted_moves.has_available_servers(model, version):
            return version
        return self.model_split(model).old_version


def _now_s() -> float:
    return asyncio.get_running_loop().time()


def _never_reconcile() -> bool:
    return False
