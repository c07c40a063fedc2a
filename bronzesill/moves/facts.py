"""Moves as facts, short enough to spread between daemons."""

from __future__ import annotations

import orjson

from ..membership import Fact, FactKind
from .record import MoveRecord, MoveState

__all__ = ['fact_of', 'record_of', 'taken_back_fact']

_MAX_TEXT = 80


def fact_of(record: MoveRecord) -> Fact:
    """Return the fact that tells daemons where a move is."""
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


def record_of(fact: Fact) -> MoveRecord | None:
    """Return the record that a fact tells of, none if it makes no sense."""
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


def taken_back_fact(move_id: str, reason: str) -> Fact:
    """Return the fact that takes a move back everywhere."""
    return Fact(FactKind.VERSION_TAKEN_BACK, move_id, 1, reason[:_MAX_TEXT])
