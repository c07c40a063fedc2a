"""Behaviour of a stand-in worker that ends when it rejects too much."""

from __future__ import annotations

import dataclasses
import math

__all__ = ['BrittlePlan', 'BrittleState']

_WINDOW_S = 1.0


@dataclasses.dataclass(frozen=True)
class BrittlePlan:
    """
    Rejections that a worker survives.

    :param rejections_per_s: rejections in a second above which it ends, as
        named in its answers.
    :param robust_s: seconds after its service first names this within which
        it does not end.
    :param waiting: requests that wait for a slot until then.
    :param waiting_later: requests that wait for a slot from then on.
    """

    rejections_per_s: float
    robust_s: float = 3
    waiting: int = 0
    waiting_later: int = 0


class BrittleState:
    """
    Rejections of one worker so far.

    :param plan: rejections that it survives, none if it survives all.
    """

    def __init__(self, plan: BrittlePlan | None) -> None:
        #: Time in seconds of the first answer that named it.
        self.named_at_s = math.inf
        #: Times in seconds of all rejections.
        self.rejections_s: list[float] = []
        self._plan = plan

    def waiting(self, now_s: float) -> int:
        """Return how many requests may wait for a slot."""
        if self._plan is None:
            return 0
        if self._is_robust(now_s):
            return self._plan.waiting
        return self._plan.waiting_later

    def name(self, now_s: float) -> str:
        """Return what an answer names, empty for nothing."""
        if self._plan is None:
            return ''
        self.named_at_s = min(self.named_at_s, now_s)
        return str(self._plan.rejections_per_s)

    def rejected(self, now_s: float) -> bool:
        """Count a rejection and return whether the worker ends."""
        self.rejections_s.append(now_s)
        if self._plan is None or self._is_robust(now_s):
            return False
        recent = [
            at_s for at_s in self.rejections_s if now_s - at_s < _WINDOW_S
        ]
        return len(recent) > self._plan.rejections_per_s

    def _is_robust(self, now_s: float) -> bool:
        robust_s = self._plan.robust_s if self._plan else math.inf
        return now_s - self.named_at_s < robust_s
