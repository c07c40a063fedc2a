"""Rate at which waiting requests were dispatched of late."""

from __future__ import annotations

from collections import deque

__all__ = ['DispatchRate']

_MIN_DISPATCHES = 4
_MAX_DISPATCHES = 16
_WINDOW_S = 20.0


class DispatchRate:
    """Dispatches of one queue while others waited."""

    def __init__(self) -> None:
        self._at_s: deque[float] = deque(maxlen=_MAX_DISPATCHES)

    def count(self, now_s: float) -> None:
        """Count a dispatch."""
        self._at_s.append(now_s)

    def forget(self) -> None:
        """Forget all dispatches, as no request waits any more."""
        self._at_s.clear()

    def age_s(self, now_s: float) -> float:
        """Return the seconds since the last dispatch, 0 without one."""
        return now_s - self._at_s[-1] if self._at_s else 0

    def per_s(self, now_s: float) -> float | None:
        """
        Return the recent dispatches a second, ``None`` if not known.

        The time since the last one does not count: a short outage changes no
        rate.
        """
        recent = [at_s for at_s in self._at_s if now_s - at_s <= _WINDOW_S]
        if len(recent) < _MIN_DISPATCHES or recent[-1] <= recent[0]:
            return None
        return (len(recent) - 1) / (recent[-1] - recent[0])
