"""Latency estimate that sets the delay of hedged requests."""

from __future__ import annotations

import dataclasses

__all__ = ['LatencyEstimate']

_QUANTILE = 0.95
_STEP_RATIO = 0.05
_INITIAL_ESTIMATE_S = 0.2
_MIN_ESTIMATE_S = 0.005


@dataclasses.dataclass(frozen=True)
class LatencyEstimate:
    """
    Running estimate of the 95th percentile of response latency.

    Each response moves the estimate by a fixed fraction, weighted so that it
    settles where 95 of 100 responses are faster.

    :param quantile_s: estimated 95th percentile in seconds.
    """

    quantile_s: float = _INITIAL_ESTIMATE_S

    def updated(self, latency_s: float) -> LatencyEstimate:
        """Return the estimate updated with the latency of one response."""
        is_below = latency_s < self.quantile_s
        gradient = (1 - _QUANTILE) if is_below else -_QUANTILE
        estimate_s = self.quantile_s * (1 - _STEP_RATIO * gradient)
        return LatencyEstimate(max(estimate_s, _MIN_ESTIMATE_S))
