"""When a late lookup is sent a second time."""

from __future__ import annotations

import dataclasses

__all__ = ['LatencyEstimate']

_QUANTILE = 0.95
_STEP = 0.05
_START_S = 0.2
_FLOOR_S = 0.005


@dataclasses.dataclass(frozen=True)
class LatencyEstimate:
    """
    Running estimate of a high quantile of latency.

    :param late_s: latency that 95 in 100 answers stay below, in seconds.
    """

    late_s: float = _START_S

    def after(self, latency_s: float) -> LatencyEstimate:
        """Take in one answer's latency."""
        is_below = latency_s < self.late_s
        change = (1 - _QUANTILE) if is_below else -_QUANTILE
        moved_s = self.late_s * (1 - _STEP * change)
        return LatencyEstimate(max(moved_s, _FLOOR_S))
