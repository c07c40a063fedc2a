"""Orders to move a subject's traffic to another version, and their status."""

from __future__ import annotations

import dataclasses

from ..store import StoreRevision
from .record import MoveState
from .split import KnownMove

__all__ = ['MoveOrder', 'OrderStatus', 'should_publish_status', 'status_of']

#: Time window of a move divided by the drain period.  Operators stop the old
#: version as soon as an order is reported as done, so the report is delayed
#: by this period to let running requests finish.
_DRAIN_WINDOW_DIVISOR = 6
_MAX_DRAIN_S = 8.0


@dataclasses.dataclass(frozen=True)
class MoveOrder:
    """
    An operator's order, read from the platform's store.

    :param subject: model or plain service whose traffic is to be moved.
    :param new_version: version that is to serve the traffic.
    :param window_s: seconds from the order to the deadline of its move.
    :param revision: store revision of the order.
    """

    subject: str
    new_version: str
    window_s: float
    revision: StoreRevision

    @property
    def move_id(self) -> str:
        """Identifier of the move that executes the order."""
        return f'{self.subject}-{self.revision.number}'


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
