"""Records of moves in the platform's store."""

from __future__ import annotations

import dataclasses

import orjson

from ..audit import AuditEntry, audit_mutation
from ..store import KeyValueStore, Mutation, StoredEntry
from ..utils import (
    BronzesillError,
    DocumentInvalid,
    ResultCode,
    structure_json,
    unstructure,
)
from .record import MoveRecord, MoveState, has_ended

__all__ = ['MOVE_PREFIX', 'HeldMove', 'MoveRepository', 'record_from_entry']

#: Prefix of the keys of records.
MOVE_PREFIX = '/bronzesill/moves/'


@dataclasses.dataclass(frozen=True)
class HeldMove:
    """
    A record as read from the store.

    :param record: the record.
    :param mod_revision: store revision to compare with on a change.
    """

    record: MoveRecord
    mod_revision: int

    @classmethod
    def from_entry(cls, entry: StoredEntry) -> HeldMove:
        """Parse a record as the store keeps it."""
        record = structure_json(entry.payload, MoveRecord)
        return cls(record, entry.mod_revision)


class MoveRepository:
    """
    Reads and changes records of moves.

    :param store: the platform's key-value service.
    """

    def __init__(self, store: KeyValueStore) -> None:
        self._store = store

    async def list(self) -> tuple[HeldMove, ...]:
        """Read all records."""
        entries = await self._store.list(MOVE_PREFIX)
        return tuple(HeldMove.from_entry(entry) for entry in entries)

    async def read(self, move_id: str) -> HeldMove:
        """
        Read one record.

        :raises BronzesillError: ``MOVE_UNKNOWN`` if there is none.
        """
        entry = await self._store.get(f'{MOVE_PREFIX}{move_id}')
        if entry is None:
            raise BronzesillError(
                ResultCode.MOVE_UNKNOWN, f'no move {move_id!r}'
            )
        return HeldMove.from_entry(entry)

    async def create(self, record: MoveRecord) -> None:
        """
        Record a new move.

        :raises BronzesillError: ``MOVE_CONFLICT`` if another move of the
            same subject has not ended, or one of this name exists.
        """
        for held in await self.list():
            same_subject = held.record.subject == record.subject
            if same_subject and not has_ended(held.record):
                raise BronzesillError(
                    ResultCode.MOVE_CONFLICT,
                    f'move {held.record.move_id} of {record.subject} by '
                    f'{held.record.operator} has not ended',
                )
        if not await self._swap(None, record, 0):
            raise BronzesillError(
                ResultCode.MOVE_CONFLICT, 'another move was created first'
            )

    async def change(self, held: HeldMove, record: MoveRecord) -> None:
        """
        Put a changed record in place of what was read before.

        :raises BronzesillError: ``MOVE_ENDED`` if the move has ended,
            ``MOVE_CONFLICT`` if another change came first.
        """
        if has_ended(held.record) and not _outweighs(record, held.record):
            raise BronzesillError(
                ResultCode.MOVE_ENDED,
                f'move {record.move_id} is {held.record.state.value}, '
                f'by {held.record.changed_by}',
            )
        if not await self._swap(held.record, record, held.mod_revision):
            raise BronzesillError(
                ResultCode.MOVE_CONFLICT, 'another change came first'
            )

    async def _swap(
        self, before: MoveRecord | None, after: MoveRecord, revision: int
    ) -> bool:
        key = f'{MOVE_PREFIX}{after.move_id}'
        mutations = (
            Mutation(key, orjson.dumps(unstructure(after))),
            audit_mutation(_entry(before, after)),
        )
        try:
            written = await self._store.compare_and_swap(
                key, revision, mutations
            )
        except BronzesillError as error:
            if error.code is not ResultCode.STORE_ANSWER_LOST:
                raise
            # Read back: the write may be in force without an answer.
            held = await self.read(after.move_id)
            return held.record == after
        return written is not None


def record_from_entry(entry: StoredEntry) -> MoveRecord | None:
    """Return the record that an entry holds, none if it is not readable."""
    try:
        return HeldMove.from_entry(entry).record
    except (BronzesillError, DocumentInvalid):
        return None


def _outweighs(after: MoveRecord, before: MoveRecord) -> bool:
    """Say whether word of a taking back outweighs a commit."""
    return (
        before.state is MoveState.DONE and after.state is MoveState.TAKEN_BACK
    )


def _entry(before: MoveRecord | None, after: MoveRecord) -> AuditEntry:
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
