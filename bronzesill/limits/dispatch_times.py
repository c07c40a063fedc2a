"""Rate of recent dispatches, and the time that requests need after them."""

from __future__ import annotations

from collections import defaultdict, deque

__all__ = ['DispatchRate', 'RunTimes']

_MIN_DISPATCHES = 4
_MAX_DISPATCHES = 16
_WINDOW_S = 20.0
_MIN_RUNS = 5
_MAX_RUNS = 31


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


class RunTimes:
    """Times of the last complete runs by service and size class."""

    def __init__(self) -> None:
        self._times_s: defaultdict[str, deque[float]] = defaultdict(
            lambda: deque(maxlen=_MAX_RUNS)
        )

    def record(self, service: str, size: str, lasted_s: float) -> None:
        """Record a complete run."""
        self._times_s[f'{service} {size}'].append(lasted_s)

    def median_s(self, service: str, size: str) -> float:
        """Return the median time, 0 if too few runs are known."""
        times_s = sorted(self._times_s[f'{service} {size}'])
        if len(times_s) < _MIN_RUNS:
            return 0
        return times_s[len(times_s) // 2]
