"""Which versions serve a subject, by what a daemon knows of moves."""

import dataclasses
from collections.abc import Iterable

from ..routing import TrafficSplit
from .record import MoveRecord, MoveState, has_ended

__all__ = ['KnownMove', 'effective_share', 'split_of']


@dataclasses.dataclass(frozen=True)
class KnownMove:
    """
    A move as a daemon knows it.

    :param record: the newest record heard of.
    :param is_taken_back: whether word came that it is taken back; such word
        only ever grows and outweighs any record.
    """

    record: MoveRecord
    is_taken_back: bool = False

    @property
    def is_ended(self) -> bool:
        """Whether it is done or taken back, as far as known."""
        return self.is_taken_back or has_ended(self.record)


def effective_share(known: KnownMove, now_s: float) -> float:
    """
    Return the share of the new version, 0 to 1.

    Without a commit the old version serves all from the deadline on, also
    on a daemon that hears of nobody.

    :param known: the move as the daemon knows it.
    :param now_s: seconds since the epoch.
    """
    record = known.record
    if known.is_taken_back or record.state is MoveState.TAKEN_BACK:
        return 0
    if record.state is MoveState.DONE:
        return 1
    return 0 if now_s >= record.deadline_at_s else record.share


def split_of(
    subject: str, configured: str, moves: Iterable[KnownMove], now_s: float
) -> TrafficSplit:
    """
    Return how a subject's traffic is split now.

    Moves that are done follow one another from the configured version on;
    a move that began from the version reached gets its share.

    :param subject: model or plain service.
    :param configured: version that the configuration names.
    :param moves: all moves that the daemon knows.
    :param now_s: seconds since the epoch.
    """
    split = TrafficSplit(configured)
    of_subject = [known for known in moves if known.record.subject == subject]
    of_subject.sort(key=lambda known: known.record.created_at_s)
    for known in of_subject:
        share = effective_share(known, now_s)
        if known.record.old_version != split.old_version or not share:
            continue
        new_version = known.record.new_version
        if share >= 1:
            split = TrafficSplit(new_version)
        else:
            split = TrafficSplit(split.old_version, new_version, share)
    return split
