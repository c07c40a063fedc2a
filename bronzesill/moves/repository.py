"""Repository of move records in the platform's store."""

from __future__ import annotations

import dataclasses

import orjson

from ..audit import AuditEntry, audit_mutation
from ..store import KeyValueStore, Mutation, StoredEntry, StoreRevision
from ..utils import (
    BronzesillError,
    DocumentInvalid,
    PartLogger,
    ResultCode,
    structure_json,
    unstructure,
)
from .record import MoveRecord, MoveState, has_ended

__all__ = ['MOVE_PREFIX', 'MoveRepository', 'StoredMove', 'record_from_entry']

#: Prefix of the keys of move records.
MOVE_PREFIX = '/bronzesill/moves/'

_log = PartLogger('moves')


@dataclasses.dataclass(frozen=True)
class StoredMove:
    """
    A record with the store revision at which it was read.

    :param record: record of the move.
    :param revision: revision that a change of the record has to match.
    """

    record: MoveRecord
    revision: StoreRevision

    @classmethod
    def from_entry(cls, entry: StoredEntry) -> StoredMove:
        """
        Parse an entry of the store.

        :param entry: entry below :data:`MOVE_PREFIX`.
        :raises BronzesillError: the payload is not a record.
        """
        record = structure_json(entry.payload, MoveRecord)
        return cls(record, entry.revision)


class MoveRepository:
    """
    Reads and writes records of moves; each write is audited.

    :param store: the platform's key-value service.
    """

    def __init__(self, store: KeyValueStore) -> None:
        self._store = store

    async def list(self) -> tuple[StoredMove, ...]:
        """Return all records, including those of ended moves."""
        entries = await self._store.list(MOVE_PREFIX)
        return tuple(StoredMove.from_entry(entry) for entry in entries)

    async def read(self, move_id: str) -> StoredMove:
        """
        Return the record of one move.

        :param move_id: identifier of the move.
        :raises BronzesillError: ``MOVE_UNKNOWN`` if there is none.
        """
        entry = await self._store.get(f'{MOVE_PREFIX}{move_id}')
        if entry is None:
            raise BronzesillError(
                ResultCode.MOVE_UNKNOWN, f'no move {move_id!r}'
            )
        return StoredMove.from_entry(entry)

    async def create(self, record: MoveRecord) -> None:
        """
        Store the record of a new move.

        :param record: record of the move.
        :raises BronzesillError: ``MOVE_CONFLICT`` if another move of the
            same subject has not ended, or the identifier is in use.
        """
        for stored in await self.list():
            same_subject = stored.record.subject == record.subject
            if same_subject and not has_ended(stored.record):
                raise BronzesillError(
                    ResultCode.MOVE_CONFLICT,
                    f'move {stored.record.move_id} of {record.subject} by '
                    f'{stored.record.operator} has not ended',
                )
        if not await self._write(None, record, None):
            raise BronzesillError(
                ResultCode.MOVE_CONFLICT,
                'another move was created with the same identifier',
            )

    async def read_current(self, known: MoveRecord) -> StoredMove:
        """
        Return the record of a move, at least as new as a known one.

        A store that came back from an older copy has lost changes of it;
        they are written again.

        :param known: newest record that this daemon knows.
        :raises BronzesillError: ``MOVE_CONFLICT`` if another change was
            stored first.
        """
        key = f'{MOVE_PREFIX}{known.move_id}'
        entry = await self._store.get(key)
        stored = StoredMove.from_entry(entry) if entry else None
        if stored is not None and stored.record.sequence >= known.sequence:
            return stored
        renewed = _restored(stored.record if stored else None, known)
        written = await self._store.compare_and_swap(
            key,
            stored.revision if stored else None,
            (Mutation(key, orjson.dumps(unstructure(renewed))),),
        )
        if written is None:
            raise BronzesillError(
                ResultCode.MOVE_CONFLICT, 'another change was stored first'
            )
        _log.event('move_restored', move=known.move_id, record=renewed.sequence)
        return StoredMove(renewed, written)

    async def change(self, stored: StoredMove, record: MoveRecord) -> None:
        """
        Replace a record if it has not changed since it was read.

        :param stored: record that was read before.
        :param record: record to store in its place.
        :raises BronzesillError: ``MOVE_ENDED`` if the move has ended,
            ``MOVE_CONFLICT`` if another change was stored first.
        """
        if has_ended(stored.record) and not _is_rollback_of_commit(
            record, stored.record
        ):
            raise BronzesillError(
                ResultCode.MOVE_ENDED,
                f'move {record.move_id} is {stored.record.state.value}, '
                f'by {stored.record.changed_by}',
            )
        if not await self._write(stored.record, record, stored.revision):
            raise BronzesillError(
                ResultCode.MOVE_CONFLICT, 'another change was stored first'
            )

    async def _write(
        self,
        before: MoveRecord | None,
        after: MoveRecord,
        expected: StoreRevision | None,
    ) -> bool:
        key = f'{MOVE_PREFIX}{after.move_id}'
        mutations = (
            Mutation(key, orjson.dumps(unstructure(after))),
            audit_mutation(_audit_entry(before, after)),
        )
        try:
            written = await self._store.compare_and_swap(
                key, expected, mutations
            )
        except BronzesillError as error:
            if error.code is not ResultCode.STORE_ANSWER_LOST:
                raise
            # The write may have been applied although its answer was lost:
            # read the record back.
            stored = await self.read(after.move_id)
            return stored.record == after
        return written is not None


def _restored(stored: MoveRecord | None, known: MoveRecord) -> MoveRecord:
    """Return a known record; gossip leaves out who ordered it, and why."""
    if stored is None or known.operator:
        return known
    return dataclasses.replace(
        known, operator=stored.operator, reason=stored.reason
    )


def record_from_entry(entry: StoredEntry) -> MoveRecord | None:
    """Return the record in a store entry, none if it cannot be parsed."""
    try:
        return StoredMove.from_entry(entry).record
    except (BronzesillError, DocumentInvalid):
        return None


def _is_rollback_of_commit(after: MoveRecord, before: MoveRecord) -> bool:
    """
    Return whether a change rolls a committed move back.

    This is allowed: a rollback that is already published to daemons takes
    precedence over a commit.
    """
    return (
        before.state is MoveState.DONE and after.state is MoveState.ROLLED_BACK
    )


def _audit_entry(before: MoveRecord | None, after: MoveRecord) -> AuditEntry:
    verb = 'change' if before else 'create'
    return AuditEntry(
        at_s=after.changed_at_s,
        operator=after.changed_by,
        action=f'move {verb}',
        subject=after.move_id,
        reason=after.note or after.reason,
        before=_describe(before),
        after=_describe(after),
    )


def _describe(record: MoveRecord | None) -> str:
    if record is None:
        return 'none'
    return f'{record.state.value} at {record.share:.0%}'
