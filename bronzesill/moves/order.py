"""Orders to move a subject's traffic to another version, and their status."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from ..store import StoreRevision
from .move_table import KnownMove
from .record import MoveRecord, MoveState

__all__ = [
    'MoveOrder',
    'OrderStatus',
    'find_move_id',
    'should_publish_status',
    'status_of',
]

#: Time window of a move divided by the drain period.  Operators stop the old
#: version as soon as an order is reported as done, so the report is delayed
#: by this period to let running requests finish.
_DRAIN_WINDOW_DIVISOR = 6
_MAX_DRAIN_S = 8.0
#: Era whose revisions have been given out once.
_FIRST_ERA = 1
#: Rounding of the times in a record.
_WINDOW_TOLERANCE_S = 1.0


@dataclasses.dataclass(frozen=True)
class MoveOrder:
    """
    An operator's order, read from the platform's store.

    :param subject: model or plain service whose traffic is to be moved.
    :param new_version: version that is to serve the traffic.
    :param window_s: seconds from the order to the deadline of its move.
    :param revision: store revision of the order.
    :param may_be_repeated: whether it may have been read or written again
        because the store came back from an older copy.
    """

    subject: str
    new_version: str
    window_s: float
    revision: StoreRevision
    may_be_repeated: bool = False

    @property
    def own_move_id(self) -> str:
        """Identifier of a move that is begun for this order."""
        era = self.revision.era
        number = self.revision.number
        if era <= _FIRST_ERA:
            return f'{self.subject}-{number}'
        return f'{self.subject}-{era}.{number}'

    def is_executed_by(self, record: MoveRecord) -> bool:
        """Return whether a move has the subject, version and window."""
        window_s = record.deadline_at_s - record.created_at_s
        return (
            record.subject == self.subject
            and record.new_version == self.new_version
            and abs(window_s - self.window_s) < _WINDOW_TOLERANCE_S
        )


@dataclasses.dataclass(frozen=True)
class OrderStatus:
    """
    Status of an order, as published to operators.

    :param subject: model or plain service of the order.
    :param new_version: version of the order.
    :param is_done: whether the new version serves all traffic for good.
    :param is_taken_back: whether the move was rolled back for good, so that
        the old version serves all traffic.
    """

    subject: str
    new_version: str
    is_done: bool = False
    is_taken_back: bool = False

    @property
    def is_final(self) -> bool:
        """Whether the status no longer changes and operators may act on it."""
        return self.is_done or self.is_taken_back


def find_move_id(order: MoveOrder, records: Iterable[MoveRecord]) -> str:
    """
    Return the identifier of the move that executes an order.

    After a return of the store from an older copy the order of a known move
    has another revision; it is the same order.

    :param order: the order.
    :param records: records of all known moves.
    """
    known = tuple(records)
    own_id = order.own_move_id
    is_begun = any(record.move_id == own_id for record in known)
    if is_begun or not order.may_be_repeated:
        return own_id
    earlier = [record for record in known if order.is_executed_by(record)]
    earlier.sort(key=lambda record: record.created_at_s)
    return earlier[-1].move_id if earlier else own_id


def status_of(
    order: MoveOrder, move: KnownMove | None, now_s: float
) -> OrderStatus:
    """
    Return the status to publish for an order.

    An order is reported as done only after the drain period that follows the
    commit.  A move that was rolled back after a commit is reported as
    running until the rollback is in its record.

    :param order: the operators' order.
    :param move: the move that executes it, none if there is none yet.
    :param now_s: seconds since the epoch.
    """
    running = OrderStatus(order.subject, order.new_version)
    if move is None:
        return running
    record = move.record
    if record.state is MoveState.ROLLED_BACK:
        return OrderStatus(order.subject, order.new_version, is_taken_back=True)
    if record.state is not MoveState.DONE or move.is_taken_back:
        return running
    drain_s = min(order.window_s / _DRAIN_WINDOW_DIVISOR, _MAX_DRAIN_S)
    if now_s < record.changed_at_s + drain_s:
        return running
    return OrderStatus(order.subject, order.new_version, is_done=True)


def should_publish_status(
    published: OrderStatus | None,
    status: OrderStatus,
    *,
    is_from_earlier_order: bool,
) -> bool:
    """
    Return whether a status has to be published.

    A final status is not replaced, unless it belongs to an earlier order.

    :param published: status published last, none if there is none.
    :param status: current status.
    :param is_from_earlier_order: whether `published` was written before this
        order.
    """
    if published is None or is_from_earlier_order:
        return True
    return not published.is_final and published != status
