"""Decisions of an order: wait, send, read back, end."""

import dataclasses
import enum

from .record import OrderRecord, OrderState, has_ended

__all__ = ['ServerSight', 'Step', 'WriterState', 'next_step']

_RESEND_S = 5.0


class Step(enum.Enum):
    """What the writer of an order does next."""

    WAIT = 'wait'
    TAKE_SLOT = 'take_slot'
    SEND = 'send'
    FINISH = 'finish'
    NOTHING = 'nothing'


@dataclasses.dataclass(frozen=True)
class ServerSight:
    """
    What is known of the server an order is for.

    :param checks_fencing: whether it refuses an old fencing number.
    :param is_in_effect: whether reading it back shows the order's effect.
    """

    checks_fencing: bool
    is_in_effect: bool


@dataclasses.dataclass(frozen=True)
class WriterState:
    """
    What the writer of an order knows besides its record.

    :param writer_since_s: since when this daemon is the one that writes.
    :param has_slot: whether a slot of the weight store's budget is held.
    :param sent_at_s: when the order was last sent, 0 for not yet.
    """

    writer_since_s: float
    has_slot: bool = False
    sent_at_s: float = 0


def next_step(
    record: OrderRecord,
    sight: ServerSight,
    writer: WriterState,
    quiet_s: float,
    now_s: float,
) -> Step:
    """
    Decide what the writer does next.

    A server that checks fencing numbers may be told at any time: an order
    of an earlier writer that arrives late is refused by it.  One that does
    not is told only after a quiet time longer than an earlier writer could
    still be sending, and the order is in effect only once it is read back.

    :param record: the order.
    :param sight: what is known of its server.
    :param writer: what the writer knows.
    :param quiet_s: seconds that a new writer stays quiet.
    :param now_s: seconds on this daemon's clock.
    """
    if has_ended(record):
        return Step.NOTHING
    if sight.is_in_effect and record.state is OrderState.SENT:
        return Step.FINISH
    is_quiet = now_s - writer.writer_since_s < quiet_s
    if is_quiet and not sight.checks_fencing:
        return Step.WAIT
    if not writer.has_slot:
        return Step.TAKE_SLOT
    if now_s - writer.sent_at_s < _RESEND_S and writer.sent_at_s:
        return Step.WAIT
    return Step.SEND
