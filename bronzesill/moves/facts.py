"""Conversion between moves and the facts that daemons gossip."""

from __future__ import annotations

import orjson

from ..membership import Fact, FactKind
from .record import MoveRecord, MoveState

__all__ = ['fact_of', 'record_from_fact', 'rollback_fact']

_MAX_REASON_CHARS = 80


def fact_of(record: MoveRecord) -> Fact:
    """
    Return the fact that publishes a record.

    The operator, the reason and the note are left out to keep it short.

    :param record: record of the move.
    """
    fields = (
        record.subject,
        record.old_version,
        record.new_version,
        round(record.created_at_s, 3),
        round(record.deadline_at_s, 3),
        record.state.value,
        record.share,
        round(record.changed_at_s, 3),
    )
    text = orjson.dumps(fields).decode()
    return Fact(FactKind.MOVE_RECORD, record.move_id, record.sequence, text)


def record_from_fact(fact: Fact) -> MoveRecord | None:
    """Return the record of a fact, none if the fact cannot be parsed."""
    try:
        fields = orjson.loads(fact.text)
        return MoveRecord(
            move_id=fact.key,
            subject=str(fields[0]),
            old_version=str(fields[1]),
            new_version=str(fields[2]),
            created_at_s=float(fields[3]),
            deadline_at_s=float(fields[4]),
            operator='',
            reason='',
            state=MoveState(fields[5]),
            share=float(fields[6]),
            sequence=fact.rank,
            changed_at_s=float(fields[7]),
        )
    except (ValueError, IndexError, TypeError):
        return None


def rollback_fact(move_id: str, reason: str) -> Fact:
    """
    Return the fact that rolls a move back on all daemons.

    :param move_id: identifier of the move.
    :param reason: reason of the rollback; only its beginning is sent.
    """
    return Fact(
        FactKind.VERSION_TAKEN_BACK, move_id, 1, reason[:_MAX_REASON_CHARS]
    )
