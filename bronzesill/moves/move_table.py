"""Moves known to one daemon."""

from __future__ import annotations

from ..membership import Fact, FactKind, GossipUpdates
from ..routing import TrafficSplit
from ..utils import PartLogger
from .record import MoveRecord, has_ended, record_from_fact
from .split import KnownMove, split_of

__all__ = ['MoveTable']

_log = PartLogger('moves')


class MoveTable:
    """Moves by identifier, updated from gossiped facts; does no I/O."""

    def __init__(self) -> None:
        self._moves_by_id: dict[str, KnownMove] = {}
        self._rolled_back_ids: frozenset[str] = frozenset()

    def apply_facts(self, update: GossipUpdates) -> None:
        """
        Apply the facts about moves; others are ignored.

        :param update: facts received from a peer or published by this daemon.
        """
        for fact in update.facts:
            if fact.kind == FactKind.MOVE_RECORD:
                self._apply_record(fact)
            elif fact.kind == FactKind.VERSION_TAKEN_BACK:
                self._apply_rollback(fact)

    def split(
        self, subject: str, configured_version: str, now_s: float
    ) -> TrafficSplit:
        """
        Return the current split of a subject's traffic.

        :param subject: model or plain service.
        :param configured_version: version named by the configuration.
        :param now_s: seconds since the epoch.
        """
        moves = self._moves_by_id.values()
        return split_of(subject, configured_version, moves, now_s)

    def sequence(self, move_id: str) -> int:
        """Return the sequence number of the known record, 0 for none."""
        move = self._moves_by_id.get(move_id)
        return move.record.sequence if move else 0

    def is_taken_back(self, move_id: str) -> bool:
        """Return whether a rollback of the move was received."""
        return move_id in self._rolled_back_ids

    def find(self, move_id: str) -> KnownMove | None:
        """Return a move by its identifier, none if it is not known."""
        return self._moves_by_id.get(move_id)

    def first_version(self, subject: str) -> str:
        """Return the version before a subject's first move, or ``''``."""
        records = [
            move.record
            for move in self._moves_by_id.values()
            if move.record.subject == subject
        ]
        records.sort(key=lambda record: record.created_at_s)
        return records[0].old_version if records else ''

    def records(self) -> tuple[MoveRecord, ...]:
        """Return the newest known records of all moves."""
        return tuple(move.record for move in self._moves_by_id.values())

    def open_moves(self) -> list[KnownMove]:
        """Return the moves whose known record has not ended."""
        return [
            move
            for move in self._moves_by_id.values()
            if not has_ended(move.record)
        ]

    def _apply_record(self, fact: Fact) -> None:
        record = record_from_fact(fact)
        if record is None:
            return
        is_taken_back = fact.key in self._rolled_back_ids
        self._moves_by_id[fact.key] = KnownMove(record, is_taken_back)
        _log.info(
            'move %s: state %s, share %s',
            fact.key,
            record.state.value,
            record.share,
        )

    def _apply_rollback(self, fact: Fact) -> None:
        self._rolled_back_ids = self._rolled_back_ids | {fact.key}
        _log.warning('move %s rolled back: %s', fact.key, fact.text)
        move = self._moves_by_id.get(fact.key)
        if move is not None:
            self._moves_by_id[fact.key] = KnownMove(
                move.record, is_taken_back=True
            )
