"""Decisions on an order: wait, acquire a slot, send, finish."""

import dataclasses
import enum

from .record import OrderRecord, OrderState, has_ended

__all__ = ['ObservedServer', 'Step', 'WriterState', 'next_step']

_RESEND_INTERVAL_S = 5.0


class Step(enum.Enum):
    """Next step of the writer of an order."""

    WAIT = 'wait'
    ACQUIRE_SLOT = 'take_slot'
    SEND = 'send'
    FINISH = 'finish'
    NOTHING = 'nothing'


@dataclasses.dataclass(frozen=True)
class ObservedServer:
    """
    Observed state of the backend server of an order.

    :param checks_fencing: whether it rejects outdated fencing numbers.
    :param is_in_effect: whether it reports the effect of the order.
    """

    checks_fencing: bool
    is_in_effect: bool


@dataclasses.dataclass(frozen=True)
class WriterState:
    """
    State that the writer of an order keeps in memory, besides the record.

    :param writer_since_s: time at which this daemon became the writer.
    :param has_slot: whether it holds a slot for loading from the weight
        store.
    :param sent_at_s: time at which it last sent the order, 0 if never.
    """

    writer_since_s: float
    has_slot: bool = False
    sent_at_s: float = 0


def next_step(
    record: OrderRecord,
    observed: ObservedServer,
    writer: WriterState,
    takeover_delay_s: float,
    now_s: float,
) -> Step:
    """
    Decide the next step of the writer.

    An order may be sent at any time to a server that checks fencing numbers,
    because the server refuses late orders of an earlier writer.  For other
    servers a new writer first waits for longer than an earlier writer could
    still be sending.  An order is done only when its effect has been read
    back.

    :param record: the order.
    :param observed: observed state of its backend server.
    :param writer: state of the writer.
    :param takeover_delay_s: seconds that a new writer waits before it sends
        to a server that does not check fencing numbers.
    :param now_s: seconds on this daemon's clock.
    """
    if has_ended(record):
        return Step.NOTHING
    if observed.is_in_effect and record.state is OrderState.SENT:
        return Step.FINISH
    is_takeover_pending = now_s - writer.writer_since_s < takeover_delay_s
    if is_takeover_pending and not observed.checks_fencing:
        return Step.WAIT
    if not writer.has_slot:
        return Step.ACQUIRE_SLOT
    if now_s - writer.sent_at_s < _RESEND_INTERVAL_S and writer.sent_at_s:
        return Step.WAIT
    return Step.SEND
