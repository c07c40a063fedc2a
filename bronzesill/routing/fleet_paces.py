"""Paces of servers, as this daemon and the others measured them."""

from __future__ import annotations

import math
from collections.abc import Collection

from .event_pace import PaceSample, PaceSamples, low_quantile

__all__ = ['FleetPaces']

_PACE_VALID_S = 120.0
#: Paces expire unless another measurement arrives; checked this often.
_EXPIRY_CHECK_S = 5.0
_LITTLE_CHANGE = 0.02


class FleetPaces:
    """Paces of servers by this daemon and the others."""

    def __init__(self) -> None:
        self._own_by_name: dict[str, PaceSamples] = {}
        self._heard_by_name: dict[str, dict[str, PaceSample]] = {}
        self._latest_by_name: dict[str, PaceSample | None] = {}
        self._now_s = -math.inf
        self._expired_at_s = -math.inf

    @property
    def names(self) -> list[str]:
        """Names of the servers of which a pace is or was known."""
        return list(self._own_by_name.keys() | self._heard_by_name.keys())

    def add_own(self, name: str, sample: PaceSample) -> None:
        """Add a sample of this daemon."""
        self._own_by_name.setdefault(name, PaceSamples()).add(sample)
        self._changed(name, sample.at_s)

    def add_heard(self, name: str, daemon: str, sample: PaceSample) -> None:
        """Replace the pace that another daemon told."""
        heard_by_daemon = self._heard_by_name.setdefault(name, {})
        previous = heard_by_daemon.get(daemon)
        heard_by_daemon[daemon] = sample
        if previous is None or not _is_about_equal(previous, sample):
            self._changed(name, sample.at_s)

    def own_since(self, since_s: float) -> dict[str, PaceSample]:
        """Return the paces that this daemon measured after a time."""
        combined = {
            name: samples.combined(since_s - _PACE_VALID_S)
            for name, samples in self._own_by_name.items()
        }
        return {
            name: pace
            for name, pace in combined.items()
            if pace is not None and pace.at_s > since_s
        }

    def combined(self, name: str, now_s: float) -> PaceSample | None:
        """Return the pace of a server by all daemons."""
        since_s = now_s - _PACE_VALID_S
        known = [
            sample
            for sample in self._heard_by_name.get(name, {}).values()
            if sample.at_s > since_s
        ]
        own = self._own_by_name.get(name)
        pace = own.combined(since_s) if own else None
        if pace is not None:
            known.append(pace)
        if not known:
            return None
        return PaceSample(
            low_quantile(known),
            max(sample.at_s for sample in known),
            sum(sample.weight for sample in known),
        )

    def latest(self) -> dict[str, PaceSample]:
        """Return all known paces, computed again only where they changed."""
        if self._now_s - self._expired_at_s >= _EXPIRY_CHECK_S:
            self._expired_at_s = self._now_s
            self._latest_by_name.clear()
        for changed in self.names:
            if changed not in self._latest_by_name:
                pace = self.combined(changed, self._now_s)
                self._latest_by_name[changed] = pace
        return {
            name: known
            for name, known in self._latest_by_name.items()
            if known is not None
        }

    def keep_only(self, names: Collection[str]) -> None:
        """Forget all other servers."""
        for name in self.names:
            if name not in names:
                self.forget(name)

    def forget(self, name: str) -> None:
        """Forget the pace of a server."""
        self._own_by_name.pop(name, None)
        self._heard_by_name.pop(name, None)
        self._latest_by_name.pop(name, None)

    def _changed(self, name: str, at_s: float) -> None:
        self._now_s = max(self._now_s, at_s)
        self._latest_by_name.pop(name, None)


def _is_about_equal(before: PaceSample, now: PaceSample) -> bool:
    """Return whether a pace changed too little to compute speeds again."""
    if now.weight > 2 * before.weight:
        return False
    return abs(now.pace_s - before.pace_s) < _LITTLE_CHANGE * before.pace_s
