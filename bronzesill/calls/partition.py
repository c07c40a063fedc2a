"""Controller of one partition of the ledger: group commit to the store."""

from __future__ import annotations

import asyncio
import dataclasses
import time
from typing import TypeAlias

from ..store import KeyValueStore
from ..utils import BronzesillError, PartLogger, ResultCode
from .ledger import (
    CallClaim,
    ClaimAnswer,
    LedgerIndex,
    LedgerRecord,
    RecordKind,
    Verdict,
)
from .ledger_messages import ClaimCall, RecordCall, Recorded, ReleaseCall
from .segments import Layout, plan_write

__all__ = ['LedgerPartition', 'LedgerQuestion', 'LedgerReply']

_MIN_INTERVAL_S = 0.1
_TRIES = 4
_KEEP_MARGIN_S = 600.0

LedgerQuestion: TypeAlias = ClaimCall | RecordCall | ReleaseCall
LedgerReply: TypeAlias = ClaimAnswer | Recorded

_log = PartLogger('calls')


@dataclasses.dataclass(frozen=True)
class _Waiting:
    question: LedgerQuestion
    reply: asyncio.Future[LedgerReply]


class LedgerPartition:
    """
    Owner of one partition's index on this daemon.

    Any daemon may run a controller for any partition: each write compares
    the head's revision, so that one which knows less than the store fails
    and reads again.  Who is asked first is only a matter of speed.

    :param number: number of the partition.
    :param store: the platform's key-value service.
    :param window_s: seconds for which a key is kept.
    """

    def __init__(
        self, number: int, store: KeyValueStore, window_s: float
    ) -> None:
        self.writes = 0
        self._number = number
        self._store = store
        self._window_s = window_s
        self._index = LedgerIndex(window_s)
        self._layout: Layout | None = None
        self._mailbox: asyncio.Queue[_Waiting] = asyncio.Queue()

    async def answer(self, question: LedgerQuestion) -> LedgerReply:
        """Answer a question once what it changes is in the store."""
        waiting = _Waiting(question, asyncio.Future())
        self._mailbox.put_nowait(waiting)
        return await waiting.reply

    async def run(self) -> None:
        """Commit what is asked in groups, for ever."""
        while True:
            group = [await self._mailbox.get()]
            while not self._mailbox.empty():
                group.append(self._mailbox.get_nowait())
            try:
                await self._commit(group)
            except BronzesillError as error:
                _log.warning('partition %s: %s', self._number, error)
                self._layout = None
                _refuse(group)
            await asyncio.sleep(_MIN_INTERVAL_S)

    async def _commit(self, group: list[_Waiting]) -> None:
        for _ in range(_TRIES):
            layout = self._layout or await self._load()
            now_s = time.time()
            records = self._new_records(group, now_s)
            if not records or await self._write(layout, records, now_s):
                self._reply(group, now_s)
                return
        raise BronzesillError(
            ResultCode.STORE_UNAVAILABLE, 'others write this partition'
        )

    async def _load(self) -> Layout:
        prefix = Layout(self._number).prefix
        entries = await self._store.list(prefix)
        layout = Layout.from_entries(self._number, entries)
        self._index = LedgerIndex(self._window_s)
        for segment in layout.segments:
            for record in segment.records:
                self._index.apply(record)
        self._layout = layout
        return layout

    async def _write(
        self, layout: Layout, records: tuple[LedgerRecord, ...], now_s: float
    ) -> bool:
        oldest_s = now_s - self._window_s - _KEEP_MARGIN_S
        planned = plan_write(layout, records, oldest_s)
        self._layout = None
        self.writes += 1
        try:
            revision = await self._store.compare_and_swap(
                layout.head_key, layout.head_revision, planned.mutations
            )
        except BronzesillError as error:
            if error.code is not ResultCode.STORE_ANSWER_LOST:
                raise
            # The write may be in force: read again, know own claims by id.
            return False
        if revision is None:
            return False
        self._layout = dataclasses.replace(
            planned.layout, head_revision=revision
        )
        for record in records:
            self._index.apply(record)
        self._index.expire(now_s)
        return True

    def _new_records(
        self, group: list[_Waiting], now_s: float
    ) -> tuple[LedgerRecord, ...]:
        records_by_key: dict[str, LedgerRecord] = {}
        for waiting in group:
            record = self._record_for(waiting.question, now_s)
            if record is not None and not self._index.is_recorded(record):
                records_by_key.setdefault(record.key, record)
        return tuple(records_by_key.values())

    def _record_for(
        self, question: LedgerQuestion, now_s: float
    ) -> LedgerRecord | None:
        match question:
            case ClaimCall():
                verdict = self._index.judge(question.claim, now_s).verdict
                if verdict != Verdict.GRANTED:
                    return None
                return _make_record(RecordKind.CLAIM, question.claim, now_s)
            case RecordCall():
                record = _make_record(RecordKind.OUTCOME, question.claim, now_s)
                return dataclasses.replace(record, outcome=question.outcome)
            case ReleaseCall():
                return _make_record(RecordKind.RELEASE, question.claim, now_s)

    def _reply(self, group: list[_Waiting], now_s: float) -> None:
        for waiting in group:
            answer = self._answer_for(waiting.question, now_s)
            if answer is None:
                # The key became free with this very write: ask once more.
                self._mailbox.put_nowait(waiting)
            elif not waiting.reply.done():
                waiting.reply.set_result(answer)

    def _answer_for(
        self, question: LedgerQuestion, now_s: float
    ) -> LedgerReply | None:
        if not isinstance(question, ClaimCall):
            return Recorded(is_durable=True)
        answer = self._index.judge(question.claim, now_s)
        is_granted = answer.verdict == Verdict.GRANTED
        if is_granted and not self._index.holds(question.claim):
            return None
        return answer


def _make_record(
    kind: RecordKind, claim: CallClaim, now_s: float
) -> LedgerRecord:
    return LedgerRecord(
        kind=kind,
        key=claim.key,
        claim_id=claim.claim_id,
        fingerprint=claim.fingerprint,
        at_s=now_s,
        deadline_s=claim.deadline_s,
    )


def _refuse(group: list[_Waiting]) -> None:
    for waiting in group:
        if waiting.reply.done():
            continue
        if isinstance(waiting.question, ClaimCall):
            waiting.reply.set_result(ClaimAnswer(Verdict.UNAVAILABLE))
        else:
            waiting.reply.set_result(Recorded(is_durable=False))
