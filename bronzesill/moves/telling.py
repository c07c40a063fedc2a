"""What operators are told of an order, and when."""

from __future__ import annotations

from .order import MoveOrder, OrderStatus
from .record import MoveState
from .split import KnownMove

__all__ = ['should_tell', 'status_of']

#: Part of the time of a move that begun requests get to end on the old
#: version, which is stopped as soon as operators hear that all is done.
_ENDING_PART = 6
_MAX_ENDING_S = 8.0


def status_of(
    order: MoveOrder, known: KnownMove | None, now_s: float
) -> OrderStatus:
    """
    Return what operators are to be told now.

    :param order: the operators' order.
    :param known: the move that carries it out, none if there is none yet.
    :param now_s: seconds since the epoch.
    """
    running = OrderStatus(order.subject, order.new_version)
    if known is None:
        return running
    record = known.record
    if record.state is MoveState.TAKEN_BACK:
        return OrderStatus(order.subject, order.new_version, is_taken_back=True)
    if record.state is not MoveState.DONE or known.is_taken_back:
        return running
    ending_s = min(order.window_s / _ENDING_PART, _MAX_ENDING_S)
    if now_s < record.changed_at_s + ending_s:
        return running
    return OrderStatus(order.subject, order.new_version, is_done=True)


def should_tell(
    told: OrderStatus | None, status: OrderStatus, *, is_older: bool
) -> bool:
    """
    Say whether operators are told something new.

    :param told: what they were told last, none for nothing.
    :param status: what they are to be told now.
    :param is_older: whether they were told before this order.
    """
    if told is None or is_older:
        return True
    return not told.is_final and told != status
