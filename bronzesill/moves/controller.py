"""Controller of moves on one daemon: reports, drives, obeys operators."""

from __future__ import annotations

import asyncio
import dataclasses
import time
from collections.abc import Callable
from typing import TypeAlias

from ..membership import Fact
from ..store import KeyValueStore
from ..utils import Address, BronzesillError, PartLogger, ResultCode
from ..wire import PeerClient
from .book import MoveBook
from .driver import MoveDriver
from .facts import fact_of
from .policy import MovePlan
from .record import MoveRecord, MoveState
from .reports import MoveReport, ObservationLog, ReportTaken
from .repository import MoveRepository
from .split import KnownMove

__all__ = ['Driver', 'FindDrivers', 'MovesController']

_TICK_S = 0.5
_REPORT_TIMEOUT_S = 0.5
_RECONCILE_EVERY = 20

_log = PartLogger('moves')


@dataclasses.dataclass(frozen=True)
class Driver:
    """
    A daemon that drives a move, or stands in for the one that does.

    :param name: name of the daemon.
    :param address: address for peers.
    """

    name: str
    address: Address


FindDrivers: TypeAlias = Callable[[str], tuple[Driver, ...]]


class MovesController:
    """
    Owner of this daemon's part in all moves.

    The first daemon that rendezvous hashing gives for a move drives it, the
    second hears all reports too and may take the move back.  Two daemons
    that both believe to be first do no harm: each change compares the
    record's revision in the store.

    :param own: name of this daemon.
    :param store: the platform's key-value service.
    :param client: streams to peers.
    :param find_drivers: gives the daemons that drive a move.
    :param state_fact: spreads a fact.
    """

    def __init__(
        self,
        own: str,
        store: KeyValueStore,
        client: PeerClient,
        find_drivers: FindDrivers,
        state_fact: Callable[[Fact], None],
    ) -> None:
        self.log = ObservationLog()
        self.book = MoveBook()
        self._own = own
        self._repository = MoveRepository(store)
        self._client = client
        self._find_drivers = find_drivers
        self._state_fact = state_fact
        self._driver = MoveDriver(own, self._repository, self.book, state_fact)

    async def run(self, should_reconcile: Callable[[], bool]) -> None:
        """
        Report and drive, for ever.

        :param should_reconcile: whether this daemon is one of the few that
            read the records in the store now and then.
        """
        tick = 0
        while True:
            await asyncio.sleep(_TICK_S)
            tick += 1
            await self._report_all()
            await self._drive_all()
            if tick % _RECONCILE_EVERY == 1 and should_reconcile():
                await self._reconcile()

    def answer_report(self, report: MoveReport) -> ReportTaken:
        """Take in what another daemon saw."""
        self._driver.take_report(report)
        drivers = self._find_drivers(report.move_id)
        is_driver = bool(drivers) and drivers[0].name == self._own
        return ReportTaken(is_driver)

    async def list_records(self) -> tuple[MoveRecord, ...]:
        """Read all records for an operator."""
        return tuple(held.record for held in await self._repository.list())

    async def create(self, record: MoveRecord) -> MoveRecord:
        """Record a new move for an operator and spread it."""
        await self._repository.create(record)
        self._state_fact(fact_of(record))
        return record

    async def change(
        self, move_id: str, state: MoveState, operator: str, reason: str
    ) -> MoveRecord | None:
        """
        Change a move for an operator: pause, go on, finish or take back.

        :returns: the record, none if it could not be recorded yet.
        :raises BronzesillError: the move has ended, is unknown, or another
            change came first.
        """
        if state is MoveState.TAKEN_BACK:
            return await self.take_back(move_id, operator, reason)
        if self.book.is_taken_back(move_id):
            raise BronzesillError(
                ResultCode.MOVE_ENDED, f'move {move_id} is taken back'
            )
        held = await self._repository.read(move_id)
        is_done = state is MoveState.DONE
        latest_s = MovePlan().latest_commit_s(held.record)
        if is_done and time.time() > latest_s:
            raise BronzesillError(
                ResultCode.MOVE_ENDED,
                f'too late to finish move {move_id}: not every daemon would '
                'hear of it before the deadline',
            )
        record = held.record.changed(
            now_s=time.time(),
            by=operator,
            note=reason,
            state=state,
            share=1 if is_done else None,
        )
        await self._repository.change(held, record)
        self._state_fact(fact_of(record))
        return record

    async def take_back(
        self, move_id: str, operator: str, reason: str
    ) -> MoveRecord | None:
        """
        Take a move back for an operator.

        :returns: the record, none if it could not be recorded yet.
        :raises BronzesillError: the move is done or unknown.
        """
        record = await self._driver.take_back(move_id, operator, reason)
        if record is not None and record.state is MoveState.DONE:
            raise BronzesillError(
                ResultCode.MOVE_ENDED,
                f'move {move_id} was done by {record.changed_by}; '
                'create a move the other way',
            )
        return record

    async def _reconcile(self) -> None:
        try:
            records = await self.list_records()
        except BronzesillError as error:
            _log.warning('records not read: %s', error)
            return
        for record in records:
            if self.book.sequence(record.move_id) < record.sequence:
                self._state_fact(fact_of(record))

    async def _report_all(self) -> None:
        for known in self.book.open_moves():
            record = known.record
            entries = self.log.take(record.subject)
            if entries:
                report = MoveReport(record.move_id, self._own, entries)
                await self._send_report(report)
        self.log.clear()

    async def _send_report(self, report: MoveReport) -> None:
        drivers = self._find_drivers(report.move_id)
        await asyncio.gather(
            *(self._report_to(driver, report) for driver in drivers)
        )

    async def _report_to(self, driver: Driver, report: MoveReport) -> None:
        if driver.name == self._own:
            self._driver.take_report(report)
            return
        try:
            await self._client.ask(driver.address, report, _REPORT_TIMEOUT_S)
        except BronzesillError as error:
            _log.info('report not taken: %s', error)

    async def _drive_all(self) -> None:
        for known in self.book.open_moves():
            await self._drive(known)

    async def _drive(self, known: KnownMove) -> None:
        drivers = self._find_drivers(known.record.move_id)
        names = [driver.name for driver in drivers]
        if self._own not in names:
            return
        try:
            await self._driver.drive(known, is_first=names[0] == self._own)
        except BronzesillError as error:
            _log.warning('move %s: %s', known.record.move_id, error)
