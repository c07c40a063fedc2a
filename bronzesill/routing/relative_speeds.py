"""Relative speeds of the servers of a service, from their paces."""

from __future__ import annotations

import math
import statistics
from collections.abc import Mapping

from .event_pace import PaceSample
from .fleet_paces import PaceKey

__all__ = ['relative_speeds']

_MIN_SPEED = 0.25
_MAX_SPEED = 4.0
#: Samples of a typical pace that those of each server are weighed against.
_PRIOR_SAMPLES = 1


def relative_speeds(paces: Mapping[PaceKey, PaceSample]) -> dict[str, float]:
    """
    Return the speed of each server, relative to the median of all.

    Paces of different kinds of work are not compared with each other.

    :param paces: paces of the servers of one service.
    """
    medians_s = _medians_s(paces)
    ratios_by_server: dict[str, _MeanRatio] = {}
    for key, pace in paces.items():
        ratios = ratios_by_server.setdefault(key.server, _MeanRatio())
        ratios.add(medians_s[key.kind] / pace.pace_s, pace.weight)
    return {
        server: min(max(ratios.mean, _MIN_SPEED), _MAX_SPEED)
        for server, ratios in ratios_by_server.items()
    }


class _MeanRatio:
    """Geometric mean of ratios, drawn towards 1 while they weigh little."""

    def __init__(self) -> None:
        self._log: float = 0
        self._weight = _PRIOR_SAMPLES

    def add(self, ratio: float, weight: int) -> None:
        """Add the ratio for one kind of work."""
        self._log += weight * math.log(ratio)
        self._weight += weight

    @property
    def mean(self) -> float:
        """The mean ratio."""
        return math.exp(self._log / self._weight)


def _medians_s(paces: Mapping[PaceKey, PaceSample]) -> dict[str, float]:
    """Return the median pace of each kind of work."""
    paces_s_by_kind: dict[str, list[float]] = {}
    for key, pace in paces.items():
        paces_s_by_kind.setdefault(key.kind, []).append(pace.pace_s)
    return {
        kind: statistics.median(paces_s)
        for kind, paces_s in paces_s_by_kind.items()
    }
