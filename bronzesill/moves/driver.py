"""Driver of moves: judges, grows, commits, takes back."""

from __future__ import annotations

import asyncio
import dataclasses
import time
from collections.abc import Callable

from ..membership import Fact
from ..utils import BronzesillError, PartLogger, ResultCode
from .book import MoveBook
from .evidence import Evidence
from .facts import fact_of, taken_back_fact
from .policy import MoveDecision, MoveProgress, Verdict, decide
from .record import MoveRecord, MoveState, has_ended
from .reports import MoveReport, evidence_of
from .repository import MoveRepository
from .split import KnownMove

__all__ = ['MoveDriver']

_STORE_PATIENCE_S = 0.7

_log = PartLogger('moves')


class MoveDriver:
    """
    Drives the moves for which this daemon was chosen.

    :param own: name of this daemon.
    :param repository: records in the store.
    :param book: what this daemon knows of moves.
    :param state_fact: spreads a fact.
    """

    def __init__(
        self,
        own: str,
        repository: MoveRepository,
        book: MoveBook,
        state_fact: Callable[[Fact], None],
    ) -> None:
        self._own = own
        self._repository = repository
        self._book = book
        self._state_fact = state_fact
        self._progress_by_id: dict[str, MoveProgress] = {}
        self._evidence_by_id: dict[str, dict[str, Evidence]] = {}

    def take_report(self, report: MoveReport) -> None:
        """Take in what a daemon saw."""
        evidence = self._evidence_by_id.setdefault(report.move_id, {})
        for route, seen in evidence_of(report.entries).items():
            evidence[route] = evidence.get(route, Evidence()).plus(seen)

    async def drive(self, known: KnownMove, *, is_first: bool) -> None:
        """
        Judge a move once more and do what follows.

        :param known: the move as this daemon knows it.
        :param is_first: whether this daemon drives it; otherwise it only
            takes it back if need be.
        :raises BronzesillError: the store did not take a change.
        """
        record = known.record
        progress = self._progress_by_id.get(record.move_id)
        decision = decide(
            record,
            progress or MoveProgress.from_record(record),
            self._evidence_by_id.pop(record.move_id, {}),
            time.time(),
        )
        self._progress_by_id[record.move_id] = dataclasses.replace(
            decision.progress, share_since_s=record.changed_at_s
        )
        if known.is_taken_back or decision.verdict is Verdict.TAKE_BACK:
            await self.take_back(record.move_id, self._own, decision.reason)
        elif is_first and decision.verdict is not Verdict.HOLD:
            await self._advance(record, decision)

    async def take_back(
        self, move_id: str, by: str, reason: str
    ) -> MoveRecord | None:
        """
        Take a move back, whether or not the store can be reached.

        With the store within reach its record decides, so that a move that
        was done is not taken back at the same time.  Without it the word
        spreads first and is recorded later.

        :param move_id: name of the move.
        :param by: operator or daemon.
        :param reason: why.
        :returns: the record, none if it is not recorded yet.
        :raises BronzesillError: the move is unknown or has ended.
        """
        try:
            async with asyncio.timeout(_STORE_PATIENCE_S):
                return await self._record_taken_back(move_id, by, reason)
        except (BronzesillError, TimeoutError) as error:
            if _is_answer_of_store(error):
                raise
            _log.warning('move %s taken back unrecorded', move_id)
        self._state_fact(taken_back_fact(move_id, reason))
        return None

    async def _record_taken_back(
        self, move_id: str, by: str, reason: str
    ) -> MoveRecord:
        held = await self._repository.read(move_id)
        is_word_out = self._book.is_taken_back(move_id)
        state = held.record.state
        if has_ended(held.record) and not (
            is_word_out and state is MoveState.DONE
        ):
            self._state_fact(fact_of(held.record))
            return held.record
        record = held.record.changed(
            now_s=time.time(),
            by=by,
            note=reason or 'taken back',
            state=MoveState.TAKEN_BACK,
            share=0,
        )
        await self._repository.change(held, record)
        self._state_fact(taken_back_fact(move_id, reason))
        self._state_fact(fact_of(record))
        return record

    async def _advance(
        self, record: MoveRecord, decision: MoveDecision
    ) -> None:
        held = await self._repository.read(record.move_id)
        if held.record.sequence != record.sequence:
            self._state_fact(fact_of(held.record))
            return
        is_commit = decision.verdict is Verdict.COMMIT
        changed = held.record.changed(
            now_s=time.time(),
            by=self._own,
            note=decision.reason,
            state=MoveState.DONE if is_commit else None,
            share=decision.share,
        )
        await self._repository.change(held, changed)
        self._state_fact(fact_of(changed))


def _is_answer_of_store(error: BaseException) -> bool:
    return isinstance(error, BronzesillError) and error.code in {
        ResultCode.MOVE_UNKNOWN,
        ResultCode.MOVE_ENDED,
        ResultCode.MOVE_CONFLICT,
    }
