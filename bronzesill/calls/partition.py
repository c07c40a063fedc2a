"""Controller of one ledger partition, with group commit to the store."""

from __future__ import annotations

import asyncio
import dataclasses
import time
from typing import TypeAlias

from ..store import GuardedStore
from ..utils import BronzesillError, PartLogger, ResultCode
from .keys import MAX_CLOCK_SKEW_S
from .ledger import (
    CallClaim,
    ClaimAnswer,
    ClaimVerdict,
    LedgerIndex,
    LedgerRecord,
    RecordKind,
)
from .ledger_messages import ClaimCall, RecordCall, RecordReply, ReleaseCall
from .segments import Layout, plan_write

__all__ = ['LedgerPartition', 'LedgerReply', 'LedgerRequest']

_MIN_COMMIT_INTERVAL_S = 0.1
_MAX_ATTEMPTS = 4
_RETENTION_MARGIN_S = 600.0

LedgerRequest: TypeAlias = ClaimCall | RecordCall | ReleaseCall
LedgerReply: TypeAlias = ClaimAnswer | RecordReply

_log = PartLogger('calls')


@dataclasses.dataclass(frozen=True)
class _PendingRequest:
    request: LedgerRequest
    reply: asyncio.Future[LedgerReply]


class LedgerPartition:
    """
    Controller of one ledger partition on this daemon.

    Any daemon may run a controller for any partition.  Each write is
    conditional on the revision of the head key, so a controller whose index
    is out of date fails to write and reads the partition again.  The choice
    of the owner affects latency only, not correctness.

    :param number: number of the partition.
    :param store: the platform's key-value service.
    :param window_s: retention period of a key in seconds.
    """

    def __init__(
        self, number: int, store: GuardedStore, window_s: float
    ) -> None:
        self.writes = 0
        self._number = number
        self._store = store
        self._window_s = window_s
        self._index = LedgerIndex(window_s)
        self._index_era = 0
        self._lost_records: tuple[LedgerRecord, ...] = ()
        self._layout: Layout | None = None
        self._queue: asyncio.Queue[_PendingRequest] = asyncio.Queue()

    async def answer(self, request: LedgerRequest) -> LedgerReply:
        """Return the reply to a request after its changes are in the store."""
        pending = _PendingRequest(request, asyncio.Future())
        self._queue.put_nowait(pending)
        return await pending.reply

    async def run(self) -> None:
        """Commit queued requests in groups until cancelled."""
        while True:
            group = [await self._queue.get()]
            while not self._queue.empty():
                group.append(self._queue.get_nowait())
            try:
                await self._commit(group)
            except BronzesillError as error:
                _log.warning(
                    'commit to ledger partition %s failed: %s',
                    self._number,
                    error,
                )
                self._layout = None
                _fail_group(group)
            await asyncio.sleep(_MIN_COMMIT_INTERVAL_S)

    async def _commit(self, group: list[_PendingRequest]) -> None:
        for _ in range(_MAX_ATTEMPTS):
            layout = self._layout or await self._load()
            now_s = time.time()
            records = self._new_records(group, now_s)
            if not records or await self._write(layout, records, now_s):
                self._send_replies(group, now_s)
                return
        raise BronzesillError(
            ResultCode.STORE_UNAVAILABLE,
            'too many conflicting writes or lost store replies',
        )

    async def _load(self) -> Layout:
        prefix = Layout(self._number).prefix
        entries = await self._store.list(prefix)
        layout = Layout.from_entries(self._number, entries)
        returned_at_s = await self._store.returned_at_s()
        index = LedgerIndex(self._window_s, returned_at_s + MAX_CLOCK_SKEW_S)
        for segment in layout.segments:
            for record in segment.records:
                index.apply(record)
        if self._index_era < self._store.era:
            self._keep_lost_records(index)
        self._index = index
        self._index_era = self._store.era
        self._layout = layout
        return layout

    def _keep_lost_records(self, index: LedgerIndex) -> None:
        """Keep what only this daemon knows after a return of the store."""
        self._lost_records = self._index.records_missing_in(index)
        for record in self._lost_records:
            index.restore(record)
        if self._lost_records:
            _log.event(
                'ledger_records_kept',
                partition=self._number,
                era=self._store.era,
                count=len(self._lost_records),
            )

    async def _write(
        self, layout: Layout, records: tuple[LedgerRecord, ...], now_s: float
    ) -> bool:
        cutoff_s = now_s - self._window_s - _RETENTION_MARGIN_S
        lost = self._lost_records
        write_plan = plan_write(layout, (*lost, *records), cutoff_s)
        self._layout = None
        self.writes += 1
        try:
            revision = await self._store.compare_and_swap(
                layout.head_key, layout.head_revision, write_plan.mutations
            )
        except BronzesillError as error:
            if error.code is not ResultCode.STORE_ANSWER_LOST:
                raise
            # The write may have taken effect.  Read the partition again; a
            # claim that was written is recognized by its claim ID.
            return False
        if revision is None:
            return False
        self._layout = dataclasses.replace(
            write_plan.layout, head_revision=revision
        )
        self._lost_records = ()
        for record in records:
            self._index.apply(record)
        self._index.expire(now_s)
        return True

    def _new_records(
        self, group: list[_PendingRequest], now_s: float
    ) -> tuple[LedgerRecord, ...]:
        records_by_key: dict[str, LedgerRecord] = {}
        for pending in group:
            record = self._record_for(pending.request, now_s)
            if record is not None and not self._index.is_redundant(record):
                records_by_key.setdefault(record.key, record)
        return tuple(records_by_key.values())

    def _record_for(
        self, request: LedgerRequest, now_s: float
    ) -> LedgerRecord | None:
        match request:
            case ClaimCall():
                verdict = self._index.evaluate_claim(
                    request.claim, now_s
                ).verdict
                if verdict != ClaimVerdict.GRANTED:
                    return None
                return _make_record(RecordKind.CLAIM, request.claim, now_s)
            case RecordCall():
                record = _make_record(RecordKind.OUTCOME, request.claim, now_s)
                return dataclasses.replace(record, outcome=request.outcome)
            case ReleaseCall():
                return _make_record(RecordKind.RELEASE, request.claim, now_s)

    def _send_replies(self, group: list[_PendingRequest], now_s: float) -> None:
        for pending in group:
            answer = self._make_reply(pending.request, now_s)
            if answer is None:
                # This write released the key: queue the claim again.
                self._queue.put_nowait(pending)
            elif not pending.reply.done():
                pending.reply.set_result(answer)

    def _make_reply(
        self, request: LedgerRequest, now_s: float
    ) -> LedgerReply | None:
        if not isinstance(request, ClaimCall):
            return RecordReply(is_durable=True)
        answer = self._index.evaluate_claim(request.claim, now_s)
        is_granted = answer.verdict == ClaimVerdict.GRANTED
        if is_granted and not self._index.has_claim(request.claim):
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


def _fail_group(group: list[_PendingRequest]) -> None:
    for pending in group:
        if pending.reply.done():
            continue
        if isinstance(pending.request, ClaimCall):
            pending.reply.set_result(ClaimAnswer(ClaimVerdict.UNAVAILABLE))
        else:
            pending.reply.set_result(RecordReply(is_durable=False))
