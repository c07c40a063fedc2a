"""Paces of servers measured by this daemon and by the others."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Collection

from .event_pace import PaceSample, PaceSamples, low_quantile

__all__ = ['FleetPaces', 'PaceKey']

_PACE_VALID_S = 120.0
#: Interval at which all paces are combined anew, without the expired ones.
_EXPIRY_CHECK_S = 5.0
#: Relative change of a pace up to which it is not combined anew.
_LITTLE_CHANGE = 0.02


@dataclasses.dataclass(frozen=True)
class PaceKey:
    """
    Server and kind of the work whose pace is known.

    :param server: name of the server.
    :param kind: route of a plain call, empty for the events of streams.
    """

    server: str
    kind: str = ''


class FleetPaces:
    """
    Mutable collection of the paces that all daemons measured.

    The combined pace of a server is kept until one of its parts changes or
    may have expired.  Does no I/O and reads no clock.
    """

    def __init__(self) -> None:
        self._own_by_key: dict[PaceKey, PaceSamples] = {}
        self._received_by_key: dict[PaceKey, dict[str, PaceSample]] = {}
        self._latest_by_key: dict[PaceKey, PaceSample] = {}
        self._now_s = -math.inf
        self._expired_at_s = -math.inf

    @property
    def keys(self) -> list[PaceKey]:
        """Keys of all paces that are kept, expired ones included."""
        return list(self._own_by_key.keys() | self._received_by_key.keys())

    def add_own(self, key: PaceKey, sample: PaceSample) -> None:
        """Add a sample of this daemon."""
        self._own_by_key.setdefault(key, PaceSamples()).add(sample)
        self._changed(key, sample.at_s)

    def add_received(
        self, key: PaceKey, daemon: str, sample: PaceSample
    ) -> None:
        """Replace the pace that another daemon reported."""
        received_by_daemon = self._received_by_key.setdefault(key, {})
        previous = received_by_daemon.get(daemon)
        received_by_daemon[daemon] = sample
        # The clock goes on without a change, so that paces can expire.
        self._now_s = max(self._now_s, sample.at_s)
        if previous is None or not _is_about_equal(previous, sample):
            self._changed(key, sample.at_s)

    def received_count(self, key: PaceKey) -> int:
        """Return the number of daemons whose pace of a server is kept."""
        return len(self._received_by_key.get(key, {}))

    def own_since(self, since_s: float) -> dict[PaceKey, PaceSample]:
        """Return the paces that this daemon measured after a time."""
        combined = {
            key: samples.combined(since_s - _PACE_VALID_S)
            for key, samples in self._own_by_key.items()
        }
        return {
            key: pace
            for key, pace in combined.items()
            if pace is not None and pace.at_s > since_s
        }

    def combined(self, key: PaceKey, now_s: float) -> PaceSample | None:
        """Return the pace of a server by all daemons."""
        since_s = now_s - _PACE_VALID_S
        known = [
            sample
            for sample in self._received_by_key.get(key, {}).values()
            if sample.at_s > since_s
        ]
        own = self._own_by_key.get(key)
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

    def latest(self) -> dict[PaceKey, PaceSample]:
        """Return the combined pace of each server and kind of work."""
        if self._now_s - self._expired_at_s >= _EXPIRY_CHECK_S:
            self._expired_at_s = self._now_s
            self._latest_by_key.clear()
        for changed in self.keys:
            if changed not in self._latest_by_key:
                self._update(changed)
        return dict(self._latest_by_key)

    def keep_only(self, names: Collection[str]) -> None:
        """Forget all other servers."""
        for key in self.keys:
            if key.server not in names:
                self._remove(key)

    def _update(self, key: PaceKey) -> None:
        self._drop_expired(key)
        pace = self.combined(key, self._now_s)
        if pace is None:
            self._remove(key)
        else:
            self._latest_by_key[key] = pace

    def _drop_expired(self, key: PaceKey) -> None:
        since_s = self._now_s - _PACE_VALID_S
        received_by_daemon = self._received_by_key.get(key, {})
        for daemon, sample in tuple(received_by_daemon.items()):
            if sample.at_s <= since_s:
                del received_by_daemon[daemon]

    def _remove(self, key: PaceKey) -> None:
        self._own_by_key.pop(key, None)
        self._received_by_key.pop(key, None)
        self._latest_by_key.pop(key, None)

    def _changed(self, key: PaceKey, at_s: float) -> None:
        self._now_s = max(self._now_s, at_s)
        self._latest_by_key.pop(key, None)


def _is_about_equal(before: PaceSample, now: PaceSample) -> bool:
    """Return whether a pace changed too little to compute speeds again."""
    if now.weight > 2 * before.weight:
        return False
    return abs(now.pace_s - before.pace_s) < _LITTLE_CHANGE * before.pace_s
