"""Driver of moves: evaluates evidence, changes shares, commits, rolls back."""

from __future__ import annotations

import asyncio
import dataclasses
import time
from collections.abc import Callable, Iterable

from ..membership import Fact
from ..utils import BronzesillError, PartLogger, ResultCode
from .evidence import Evidence
from .exposure import ExposureLimit
from .move_table import KnownMove, MoveTable
from .policy import MoveAction, MoveDecision, MoveProgress, decide
from .record import MoveRecord, MoveState, fact_of, has_ended, rollback_fact
from .reports import MoveReport, MoveTotals, evidence_of
from .repository import MoveRepository, StoredMove

__all__ = ['MoveDriver']

_STORE_TIMEOUT_S = 0.7

_log = PartLogger('moves')


class MoveDriver:
    """
    Drives the moves that are assigned to this daemon.

    :param daemon_name: name of this daemon.
    :param repository: records in the store.
    :param move_table: moves known to this daemon.
    :param publish_fact: publishes a fact to all daemons by gossip.
    :param exposure_limit: requests that a bad version may get.
    """

    def __init__(
        self,
        daemon_name: str,
        repository: MoveRepository,
        move_table: MoveTable,
        publish_fact: Callable[[Fact], None],
        exposure_limit: ExposureLimit,
    ) -> None:
        self._exposure_limit = exposure_limit
        self._daemon_name = daemon_name
        self._repository = repository
        self._move_table = move_table
        self._publish_fact = publish_fact
        self._progress_by_id: dict[str, MoveProgress] = {}
        #: Reports for the next step of each move.
        self._reports_by_id: dict[str, list[MoveReport]] = {}
        #: Last report that is part of the totals of a daemon, by move.
        self._counted_by_id: dict[str, dict[str, int]] = {}

    def add_report(self, report: MoveReport) -> None:
        """Add the evidence of one daemon, for the next step of the move."""
        if not self._is_counted(report):
            self._reports_by_id.setdefault(report.move_id, []).append(report)

    def is_driving(self, move_id: str) -> bool:
        """Return whether this daemon has received the reports on a move."""
        return move_id in self._progress_by_id

    def take_over(
        self, record: MoveRecord, totals: Iterable[MoveTotals], daemons: int
    ) -> None:
        """
        Begin to drive a move that others have driven so far.

        :param record: record of the move.
        :param totals: evidence of the daemons, including this one.
        :param daemons: number of all daemons.
        """
        move_id = record.move_id
        known = tuple(totals)
        self._counted_by_id[move_id] = {
            total.report.sender: total.report.sequence for total in known
        }
        received = self._reports_by_id.get(move_id, [])
        self._reports_by_id[move_id] = [
            *(total.report for total in known),
            *(report for report in received if not self._is_counted(report)),
        ]
        coverage = sum(total.is_whole for total in known) / daemons
        progress = MoveProgress.from_record(record, self._exposure_limit)
        self._progress_by_id[move_id] = dataclasses.replace(
            progress, coverage=coverage
        )
        _log.event(
            'move_taken_over',
            move=move_id,
            daemon=self._daemon_name,
            totals=len(known),
            coverage=round(coverage, 2),
        )

    def keep_only(self, move_ids: Iterable[str]) -> None:
        """Forget the evidence on all moves but the given ones."""
        kept = frozenset(move_ids)
        for move_id in (
            self._reports_by_id | self._progress_by_id
        ).keys() - kept:
            self._progress_by_id.pop(move_id, None)
            self._reports_by_id.pop(move_id, None)
            self._counted_by_id.pop(move_id, None)

    async def drive(self, move: KnownMove, *, is_primary: bool) -> None:
        """
        Evaluate the new evidence on a move and execute the decision.

        :param move: the move as known to this daemon.
        :param is_primary: whether this daemon drives the move; the backup
            only rolls it back, if it is rejected or not committed in time.
        :raises BronzesillError: the store did not accept a change.
        """
        record = move.record
        progress = self._progress_by_id.get(record.move_id)
        decision = decide(
            record,
            progress or MoveProgress.from_record(record, self._exposure_limit),
            _sum_reports(self._reports_by_id.pop(record.move_id, [])),
            time.time(),
        )
        self._progress_by_id[record.move_id] = dataclasses.replace(
            decision.progress, share_since_s=record.changed_at_s
        )
        may_execute = is_primary or decision.is_for_backup
        action = decision.action if may_execute else MoveAction.HOLD
        if move.is_taken_back or action is MoveAction.ROLL_BACK:
            _log_decision(record, decision, self._daemon_name)
            await self.roll_back(
                record.move_id, self._daemon_name, decision.reason
            )
        elif action is not MoveAction.HOLD:
            _log_decision(record, decision, self._daemon_name)
            await self._advance(record, decision)

    async def read(self, move_id: str) -> StoredMove:
        """
        Return the record of a move; what the store has lost is written again.

        :raises BronzesillError: the move is unknown, another change was
            stored first, or the store did not answer.
        """
        known = self._move_table.find(move_id)
        if known is None:
            return await self._repository.read(move_id)
        return await self._repository.read_current(known.record)

    async def roll_back(
        self, move_id: str, by: str, reason: str
    ) -> MoveRecord | None:
        """
        Roll a move back, also while the store is unreachable.

        If the store is reachable, its record decides, so that a move cannot
        be committed and rolled back at the same time.  Otherwise the rollback
        is published immediately and stored later.

        :param move_id: identifier of the move.
        :param by: operator or daemon that rolls the move back.
        :param reason: reason of the rollback.
        :returns: the record in the store, none if the rollback is not stored
            yet.  A move that has already ended is not changed, except a
            committed one whose rollback is known to be published.
        :raises BronzesillError: the move is unknown, or another change was
            stored first.
        """
        try:
            async with asyncio.timeout(_STORE_TIMEOUT_S):
                return await self._record_rollback(move_id, by, reason)
        except (BronzesillError, TimeoutError) as error:
            if _is_store_reply(error):
                raise
            _log.warning(
                'move %s rolled back without an answer of the store', move_id
            )
        self._publish_fact(rollback_fact(move_id, reason))
        return None

    def _is_counted(self, report: MoveReport) -> bool:
        """Return whether a report is part of totals that were received."""
        counted = self._counted_by_id.get(report.move_id, {})
        return 0 < report.sequence <= counted.get(report.sender, 0)

    async def _record_rollback(
        self, move_id: str, by: str, reason: str
    ) -> MoveRecord:
        stored = await self.read(move_id)
        is_rollback_announced = self._move_table.is_taken_back(move_id)
        state = stored.record.state
        if has_ended(stored.record) and not (
            is_rollback_announced and state is MoveState.DONE
        ):
            self._publish_fact(fact_of(stored.record))
            return stored.record
        record = stored.record.changed(
            now_s=time.time(),
            by=by,
            note=reason or 'taken back',
            state=MoveState.ROLLED_BACK,
            share=0,
        )
        await self._repository.change(stored, record)
        self._publish_fact(rollback_fact(move_id, reason))
        self._publish_fact(fact_of(record))
        return record

    async def _advance(
        self, record: MoveRecord, decision: MoveDecision
    ) -> None:
        stored = await self.read(record.move_id)
        if stored.record.sequence != record.sequence:
            self._publish_fact(fact_of(stored.record))
            return
        is_commit = decision.action is MoveAction.COMMIT
        changed = stored.record.changed(
            now_s=time.time(),
            by=self._daemon_name,
            note=decision.reason,
            state=MoveState.DONE if is_commit else None,
            share=decision.share,
        )
        await self._repository.change(stored, changed)
        self._publish_fact(fact_of(changed))


def _sum_reports(reports: Iterable[MoveReport]) -> dict[str, Evidence]:
    """Return the evidence of all reports together, by route."""
    return evidence_of(
        tuple(entry for report in reports for entry in report.entries)
    )


def _log_decision(
    record: MoveRecord, decision: MoveDecision, daemon: str
) -> None:
    progress = decision.progress
    comparisons = progress.comparisons_by_route
    _log.event(
        'move_decided',
        move=record.move_id,
        daemon=daemon,
        action=decision.action.value,
        share=decision.share,
        reason=decision.reason,
        started=progress.started.explain(),
        sound=progress.sound.explain(),
        coverage=round(progress.coverage, 2),
        remaining_s=round(record.deadline_at_s - time.time(), 2),
        evidence={
            route or 'all': comparison.summarize()
            for route, comparison in comparisons.items()
        },
    )


def _is_store_reply(error: BaseException) -> bool:
    return isinstance(error, BronzesillError) and error.code in {
        ResultCode.MOVE_UNKNOWN,
        ResultCode.MOVE_ENDED,
        ResultCode.MOVE_CONFLICT,
    }
