"""When a running stream is considered for a handover to another server."""

from __future__ import annotations

import dataclasses
import math

from .state import GenerationState

__all__ = ['HandoverSchedule', 'may_hand_over']

#: Time by which the copy of a run's memory may lag behind the run.
_COPY_LAG_S = 0.3
_CHECK_INTERVAL_S = 1.0
#: Handovers of one generation; each of them pauses the stream.
_MAX_HANDOVERS = 2


@dataclasses.dataclass(frozen=True)
class HandoverSchedule:
    """
    Next time at which a handover of a stream is considered.

    :param attempt: number of the attempt that streams.
    :param check_at_s: time of the next check in seconds.
    """

    attempt: int = 0
    check_at_s: float = math.inf

    def after_events(
        self, state: GenerationState, now_s: float
    ) -> HandoverSchedule:
        """
        Return the schedule after events have arrived.

        :param state: state of the generation after them.
        :param now_s: current time in seconds.
        """
        if state.attempt != self.attempt:
            return HandoverSchedule(state.attempt, now_s + _COPY_LAG_S)
        if now_s < self.check_at_s:
            return self
        return HandoverSchedule(state.attempt, now_s + _CHECK_INTERVAL_S)

    def is_due(self, state: GenerationState, now_s: float) -> bool:
        """Return whether a handover is considered now."""
        is_current = state.attempt == self.attempt and now_s >= self.check_at_s
        return is_current and may_hand_over(state)


def may_hand_over(state: GenerationState) -> bool:
    """Return whether the run has a copy and was not handed over too often."""
    is_first = state.handovers < _MAX_HANDOVERS
    return is_first and state.is_memory_begun and bool(state.usable_copy)
