"""Controller of moves on one daemon: reports, driving, operator changes."""

from __future__ import annotations

import asyncio
import dataclasses
import time
from collections.abc import Callable
from typing import TypeAlias

from ..membership import Fact, FleetView, choose_replicas
from ..store import KeyValueStore
from ..utils import Address, BronzesillError, PartLogger, ResultCode
from ..wire import PeerClient
from .driver import MoveDriver
from .exposure import ExposureLimit
from .move_table import KnownMove, MoveTable
from .plan import MovePlan
from .record import MoveRecord, MoveState, fact_of
from .reports import (
    FetchMoveTotals,
    MoveReport,
    MoveReportReply,
    MoveTotals,
    ObservationLog,
    ReportTotals,
)
from .repository import MoveRepository

__all__ = [
    'Driver',
    'FindDrivers',
    'MovesController',
    'find_drivers',
    'find_others',
]

_TICK_S = 0.5
_REPORT_TIMEOUT_S = 0.5
_RECONCILE_TICKS = 20
#: After so many ticks a daemon has learnt of the moves that were open at its
#: start; those that it hears of later have just begun.
_SETTLED_TICKS = 6

_log = PartLogger('moves')


@dataclasses.dataclass(frozen=True)
class Driver:
    """
    A daemon that drives a move, or its backup.

    :param name: name of the daemon.
    :param address: address of the daemon for peers.
    """

    name: str
    address: Address


FindDrivers: TypeAlias = Callable[[str], tuple[Driver, ...]]


def find_drivers(view: FleetView, move_id: str) -> tuple[Driver, ...]:
    """
    Return the daemons that drive a move, first choice first.

    :param view: a daemon's view of the fleet.
    :param move_id: identifier of the move.
    """
    chosen = choose_replicas(view, f'move/{move_id}')
    return tuple(Driver(member.name, member.peers) for member in chosen)


def find_others(view: FleetView, own_name: str) -> tuple[Driver, ...]:
    """
    Return all other live daemons, which have evidence of their own.

    :param view: a daemon's view of the fleet.
    :param own_name: name of that daemon.
    """
    return tuple(
        Driver(member.name, member.peers)
        for member in view.members_by_name.values()
        if member.is_alive and member.name != own_name
    )


class MovesController:
    """
    Reports evidence on all moves and drives those assigned to this daemon.

    Rendezvous hashing assigns two daemons to each move.  The first drives
    it; the second receives all reports too and may only roll it back.  If
    two daemons act as the first at the same time, the record remains
    consistent, because each change is conditional on the revision of the
    record in the store.

    :param daemon_name: name of this daemon.
    :param store: the platform's key-value service.
    :param client: client for requests to peers.
    :param find_drivers: returns the daemons assigned to a move, the driver
        first.
    :param publish_fact: publishes a fact to all daemons by gossip.
    :param exposure_limit: requests that a bad version may get.
    """

    def __init__(
        self,
        daemon_name: str,
        store: KeyValueStore,
        client: PeerClient,
        find_drivers: FindDrivers,
        publish_fact: Callable[[Fact], None],
        exposure_limit: ExposureLimit | None = None,
    ) -> None:
        self.observations = ObservationLog()
        self.move_table = MoveTable()
        #: Returns the other daemons, which have evidence of their own.
        self.list_peers: Callable[[], tuple[Driver, ...]] = tuple
        self._totals = ReportTotals(daemon_name)
        self._ticks = 0
        self._daemon_name = daemon_name
        self._repository = MoveRepository(store)
        self._client = client
        self._find_drivers = find_drivers
        self._publish_fact = publish_fact
        self._driver = MoveDriver(
            daemon_name,
            self._repository,
            self.move_table,
            publish_fact,
            exposure_limit or ExposureLimit(),
        )

    async def run(self, should_reconcile: Callable[[], bool]) -> None:
        """
        Send reports and drive moves periodically until cancelled.

        :param should_reconcile: returns whether this daemon is one of the
            few that periodically compare their moves with the store.
        """
        while True:
            await asyncio.sleep(_TICK_S)
            self._ticks += 1
            await self._report_all()
            await self._drive_all()
            if self._ticks % _RECONCILE_TICKS == 1 and should_reconcile():
                await self._reconcile()

    def answer_report(self, report: MoveReport) -> MoveReportReply:
        """
        Add the evidence of another daemon.

        :param report: counts since its last report.
        :returns: whether this daemon drives the move.
        """
        self._driver.add_report(report)
        drivers = self._find_drivers(report.move_id)
        is_driver = bool(drivers) and drivers[0].name == self._daemon_name
        return MoveReportReply(is_driver)

    def answer_totals(self, request: FetchMoveTotals) -> MoveTotals:
        """Return all evidence of this daemon on a move."""
        return self._totals.total(request.move_id)

    async def list_records(self) -> tuple[MoveRecord, ...]:
        """Return all records in the store, for an operator."""
        return tuple(stored.record for stored in await self._repository.list())

    async def create(self, record: MoveRecord) -> MoveRecord:
        """
        Store a new move and publish it to all daemons.

        :param record: record of the move.
        :raises BronzesillError: another move of the subject has not ended,
            the identifier is in use, or the store did not answer.
        """
        for known in self.move_table.records():
            if known.subject == record.subject:
                await self._driver.read(known.move_id)
        await self._repository.create(record)
        self._publish_fact(fact_of(record))
        return record

    async def change(
        self, move_id: str, state: MoveState, operator: str, reason: str
    ) -> MoveRecord | None:
        """
        Change a move for an operator: pause, resume, commit or roll back.

        :param move_id: identifier of the move.
        :param state: new state.
        :param operator: name of the operator.
        :param reason: reason of the change.
        :returns: the changed record, none if a rollback is published but
            not stored yet.
        :raises BronzesillError: the move has ended, is unknown, it is too
            late to commit it, or another change was stored first.
        """
        if state is MoveState.ROLLED_BACK:
            return await self.roll_back(move_id, operator, reason)
        if self.move_table.is_taken_back(move_id):
            raise BronzesillError(
                ResultCode.MOVE_ENDED, f'move {move_id} was rolled back'
            )
        stored = await self._driver.read(move_id)
        is_done = state is MoveState.DONE
        latest_s = MovePlan().latest_commit_s(stored.record)
        if is_done and time.time() > latest_s:
            raise BronzesillError(
                ResultCode.MOVE_ENDED,
                f'too late to commit move {move_id}: the commit might not '
                'reach every daemon before the deadline',
            )
        record = stored.record.changed(
            now_s=time.time(),
            by=operator,
            note=reason,
            state=state,
            share=1 if is_done else None,
        )
        await self._repository.change(stored, record)
        self._publish_fact(fact_of(record))
        return record

    async def roll_back(
        self, move_id: str, operator: str, reason: str
    ) -> MoveRecord | None:
        """
        Roll a move back for an operator.

        :param move_id: identifier of the move.
        :param operator: name of the operator.
        :param reason: reason of the rollback.
        :returns: the changed record, none if the rollback is published but
            not stored yet.
        :raises BronzesillError: the move is done or unknown, or another
            change was stored first.
        """
        record = await self._driver.roll_back(move_id, operator, reason)
        if record is not None and record.state is MoveState.DONE:
            raise BronzesillError(
                ResultCode.MOVE_ENDED,
                f'move {move_id} was committed by {record.changed_by}; '
                'create a move in the opposite direction to undo it',
            )
        return record

    async def restore(self, move_id: str) -> None:
        """
        Write a record again that the store has lost, if this daemon drives it.

        :raises BronzesillError: another change was stored first, or the store
            did not answer.
        """
        drivers = self._find_drivers(move_id)
        if drivers and drivers[0].name == self._daemon_name:
            await self._driver.read(move_id)

    async def _reconcile(self) -> None:
        try:
            records = await self.list_records()
        except BronzesillError as error:
            _log.warning('cannot read the records of moves: %s', error)
            return
        stored_by_id = {record.move_id: record.sequence for record in records}
        for record in records:
            if self.move_table.sequence(record.move_id) < record.sequence:
                self._publish_fact(fact_of(record))
        for known in self.move_table.records():
            if stored_by_id.get(known.move_id, 0) < known.sequence:
                await self._restore_lost(known.move_id)

    async def _restore_lost(self, move_id: str) -> None:
        try:
            await self.restore(move_id)
        except BronzesillError as error:
            _log.warning('move %s not written again: %s', move_id, error)

    async def _report_all(self) -> None:
        for move in self.move_table.open_moves():
            record = move.record
            has_seen_begin = not record.share or self._ticks > _SETTLED_TICKS
            self._totals.begin(record.move_id, is_whole=has_seen_begin)
            entries = self.observations.drain(record.subject)
            if entries:
                report = self._totals.make_report(record.move_id, entries)
                await self._send_report(report)
        self.observations.clear()
        self._forget_ended()

    def _forget_ended(self) -> None:
        open_ids = [
            move.record.move_id for move in self.move_table.open_moves()
        ]
        self._totals.keep_only(open_ids)
        self._driver.keep_only(open_ids)

    async def _send_report(self, report: MoveReport) -> None:
        drivers = self._find_drivers(report.move_id)
        await asyncio.gather(
            *(self._send_report_to(driver, report) for driver in drivers)
        )

    async def _send_report_to(self, driver: Driver, report: MoveReport) -> None:
        if driver.name == self._daemon_name:
            self._driver.add_report(report)
            return
        try:
            await self._client.request(
                driver.address, report, _REPORT_TIMEOUT_S
            )
        except BronzesillError as error:
            _log.info('cannot send a move report: %s', error)

    async def _drive_all(self) -> None:
        for move in self.move_table.open_moves():
            await self._drive(move)

    async def _drive(self, move: KnownMove) -> None:
        drivers = self._find_drivers(move.record.move_id)
        names = [driver.name for driver in drivers]
        if self._daemon_name not in names:
            return
        is_begun = move.record.share > 0
        if is_begun and not self._driver.is_driving(move.record.move_id):
            await self._take_over(move.record)
        try:
            await self._driver.drive(
                move, is_primary=names[0] == self._daemon_name
            )
        except BronzesillError as error:
            _log.warning('cannot drive move %s: %s', move.record.move_id, error)

    async def _take_over(self, record: MoveRecord) -> None:
        """Collect what all daemons have counted since the move began."""
        peers = self.list_peers()
        fetched = await asyncio.gather(
            *(self._fetch_totals(peer, record.move_id) for peer in peers)
        )
        own = self._totals.total(record.move_id)
        totals = [own, *(total for total in fetched if total is not None)]
        self._driver.take_over(record, totals, len(peers) + 1)

    async def _fetch_totals(
        self, peer: Driver, move_id: str
    ) -> MoveTotals | None:
        try:
            reply = await self._client.request(
                peer.address, FetchMoveTotals(move_id), _REPORT_TIMEOUT_S
            )
        except BronzesillError as error:
            _log.info('no totals of %s: %s', peer.name, error)
            return None
        return reply if isinstance(reply, MoveTotals) else None
