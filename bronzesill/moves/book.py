"""What one daemon knows of moves."""

from __future__ import annotations

from ..membership import Fact, FactKind, Rumours
from ..routing import TrafficSplit
from ..utils import PartLogger
from .facts import record_of
from .record import has_ended
from .split import KnownMove, split_of

__all__ = ['MoveBook']

_log = PartLogger('moves')


class MoveBook:
    """Moves by name, as facts tell of them; does no I/O."""

    def __init__(self) -> None:
        self._moves_by_id: dict[str, KnownMove] = {}
        self._taken_back: frozenset[str] = frozenset()

    def hear(self, rumours: Rumours) -> None:
        """Take in facts about moves."""
        for fact in rumours.facts:
            if fact.kind == FactKind.MOVE_RECORD:
                self._hear_record(fact)
            elif fact.kind == FactKind.VERSION_TAKEN_BACK:
                self._hear_taken_back(fact)

    def split(
        self, subject: str, configured: str, now_s: float
    ) -> TrafficSplit:
        """Return how a subject's traffic is split now."""
        moves = self._moves_by_id.values()
        return split_of(subject, configured, moves, now_s)

    def sequence(self, move_id: str) -> int:
        """Return the sequence number of the record known, 0 for none."""
        known = self._moves_by_id.get(move_id)
        return known.record.sequence if known else 0

    def is_taken_back(self, move_id: str) -> bool:
        """Say whether word came that a move is taken back."""
        return move_id in self._taken_back

    def find(self, move_id: str) -> KnownMove | None:
        """Return a move by its name, none if it is not known."""
        return self._moves_by_id.get(move_id)

    def first_version(self, subject: str) -> str:
        """Return the version before a subject's first move, if any."""
        records = [
            known.record
            for known in self._moves_by_id.values()
            if known.record.subject == subject
        ]
        records.sort(key=lambda record: record.created_at_s)
        return records[0].old_version if records else ''

    def open_moves(self) -> list[KnownMove]:
        """Return the moves whose end is not recorded, as far as known."""
        return [
            known
            for known in self._moves_by_id.values()
            if not has_ended(known.record)
        ]

    def _hear_record(self, fact: Fact) -> None:
        record = record_of(fact)
        if record is None:
            return
        is_taken_back = fact.key in self._taken_back
        self._moves_by_id[fact.key] = KnownMove(record, is_taken_back)
        _log.info(
            'move %s: %s at %s', fact.key, record.state.value, record.share
        )

    def _hear_taken_back(self, fact: Fact) -> None:
        self._taken_back = self._taken_back | {fact.key}
        _log.warning('move %s taken back: %s', fact.key, fact.text)
        known = self._moves_by_id.get(fact.key)
        if known is not None:
            self._moves_by_id[fact.key] = KnownMove(
                known.record, is_taken_back=True
            )
