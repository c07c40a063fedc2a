"""Traffic split of a subject, computed from the moves known to a daemon."""

import dataclasses
from collections.abc import Iterable

from ..routing import TrafficSplit
from .record import MoveRecord, MoveState, has_ended

__all__ = ['KnownMove', 'effective_share', 'split_of']


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
