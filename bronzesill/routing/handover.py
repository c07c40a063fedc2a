"""Gain of handing a stream over to the server that copies its memory."""

from __future__ import annotations

import math

from .expected_time import ServiceRates, remaining_s
from .views import ServerView

__all__ = ['handover_gain_s']

#: Time from the last event on one server to the next event on the other.
_HANDOVER_PAUSE_S = 0.2
#: Cost of a failure domain that started earlier: it is expected to fail
#: earlier, and the stream would have to be resumed once more.
_EARLIER_DOMAIN_COST_S = 1.0
#: Failure domains whose start times differ by at most this much rank equally.
_START_TOLERANCE_S = 1.0


def handover_gain_s(
    current: ServerView,
    holder: ServerView,
    rates: ServiceRates,
    events_left: int,
) -> float:
    """
    Return by how much sooner a stream ends on the server that has its copy.

    While an engine prefills prompts, its streams make little progress. The
    stream gains if the server that has its copy prefills fewer.

    :param current: server that runs the stream, whose answer has begun.
    :param holder: server that keeps a copy of the stream's memory.
    :param rates: typical rates of both.
    :param events_left: expected number of events to come.
    :returns: the gain in seconds, negative for a loss; minus infinity if the
        holder has no free slot.
    """
    if holder.running + 1 > holder.capacity:
        return -math.inf
    here_s = remaining_s(current, rates, events_left)
    there_s = remaining_s(holder, rates, events_left) + _HANDOVER_PAUSE_S
    older_s = current.domain_started_at_s - holder.domain_started_at_s
    if older_s > _START_TOLERANCE_S:
        there_s += _EARLIER_DOMAIN_COST_S
    return here_s - there_s
