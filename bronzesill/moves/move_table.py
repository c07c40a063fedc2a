"""Moves known to one daemon, and the traffic split that follows from them."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from ..membership import Fact, FactKind, GossipUpdates
from ..routing import TrafficSplit
from ..utils import PartLogger
from .record import MoveRecord, MoveState, has_ended, record_from_fact

__all__ = ['KnownMove', 'MoveTable', 'effective_share', 'split_of']

_log = PartLogger('moves')


@dataclasses.dataclass(frozen=True)
class KnownMove:
    """
    State of a move as known to one daemon, possibly older than the stored one.

    :param record: newest record received.
    :param is_taken_back: whether a rollback of the move was received.  This
        is never unset and takes precedence over any record.
    """

    record: MoveRecord
    is_taken_back: bool = False

    @property
    def is_ended(self) -> bool:
        """Whether the move is known to be done or rolled back."""
        return self.is_taken_back or has_ended(self.record)


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


def effective_share(move: KnownMove, now_s: float) -> float:
    """
    Return the share of the new version, 0 to 1.

    From the deadline on, the old version serves all traffic of a move that
    is not committed.  This needs no message, so it also applies on a daemon
    that cannot reach any other daemon.

    :param move: the move as known to this daemon.
    :param now_s: seconds since the epoch.
    """
    record = move.record
    if move.is_taken_back or record.state is MoveState.ROLLED_BACK:
        return 0
    if record.state is MoveState.DONE:
        return 1
    return 0 if now_s >= record.deadline_at_s else record.share


def split_of(
    subject: str,
    configured_version: str,
    moves: Iterable[KnownMove],
    now_s: float,
) -> TrafficSplit:
    """
    Return the current split of a subject's traffic.

    Completed moves are applied in order of creation, beginning with the
    configured version.  An open move gets its share if its old version is
    the one reached so far; other moves are ignored.

    :param subject: model or plain service.
    :param configured_version: version named by the configuration.
    :param moves: all moves known to this daemon.
    :param now_s: seconds since the epoch.
    """
    split = TrafficSplit(configured_version)
    subject_moves = [move for move in moves if move.record.subject == subject]
    subject_moves.sort(key=lambda move: move.record.created_at_s)
    for move in subject_moves:
        share = effective_share(move, now_s)
        if move.record.old_version != split.old_version or not share:
            continue
        new_version = move.record.new_version
        if share >= 1:
            split = TrafficSplit(new_version)
        else:
            split = TrafficSplit(split.old_version, new_version, share)
    return split
