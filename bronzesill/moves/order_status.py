"""Status of an order that is published to operators."""

from __future__ import annotations

from .order import MoveOrder, OrderStatus
from .record import MoveState
from .split import KnownMove

__all__ = ['should_publish_status', 'status_of']

#: Time window of a move divided by the drain period.  Operators stop the old
#: version as soon as an order is reported as done, so the report is delayed
#: by this period to let running requests finish.
_DRAIN_WINDOW_DIVISOR = 6
_MAX_DRAIN_S = 8.0


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
