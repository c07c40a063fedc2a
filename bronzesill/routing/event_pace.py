"""Statistics of the time between the events of streams."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterable

__all__ = ['EventPace', 'PaceSample', 'PaceSamples', 'low_quantile']

#: Events that arrive within this time share one read.
_SAME_READ_S = 0.002
_GAPS_PER_SAMPLE = 10
_MAX_SAMPLES = 15
#: Samples above the quantile may be delayed by prefill or by the network.
#: It is not lower because a slowdown that has just ended, but still counts,
#: makes samples too short.
_QUANTILE = 0.4


@dataclasses.dataclass(frozen=True)
class PaceSample:
    """
    Time that one unit of work takes on a server.

    :param pace_s: seconds for an event of a stream, or for a plain call.
    :param at_s: time in seconds at which it was measured.
    :param weight: number of measurements that it stands for.
    """

    pace_s: float
    at_s: float
    weight: int = 1


def low_quantile(
    samples: Iterable[PaceSample], quantile: float = _QUANTILE
) -> float:
    """Return the weighted quantile of at least one sample, in seconds."""
    ordered = sorted(samples, key=lambda sample: sample.pace_s)
    rank = quantile * sum(sample.weight for sample in ordered)
    position = 0
    while position < len(ordered) - 1 and rank > ordered[position].weight:
        rank -= ordered[position].weight
        position += 1
    return ordered[position].pace_s


class EventPace:
    """
    Time between the events of one stream.

    The gap before events that arrive together is divided by their number.
    Does no I/O and reads no clock.
    """

    def __init__(self) -> None:
        self._arrived_at_s: float | None = None
        self._gap_s: float = 0
        self._events = 0
        self._gaps: list[PaceSample] = []

    def arrived(self, now_s: float) -> float | None:
        """
        Record the arrival of an event.

        :param now_s: time of the arrival in seconds.
        :returns: a low quantile of the latest gaps in seconds, each time that
            there are enough, else ``None``.
        """
        last_s = self._arrived_at_s
        if last_s is not None and now_s - last_s < _SAME_READ_S:
            self._events += 1
            return None
        if self._gap_s:
            self._gaps.append(PaceSample(self._gap_s / self._events, now_s))
        self._gap_s = 0 if last_s is None else now_s - last_s
        self._events = 1
        self._arrived_at_s = now_s
        return self._take_sample()

    def _take_sample(self) -> float | None:
        if len(self._gaps) < _GAPS_PER_SAMPLE:
            return None
        pace_s = low_quantile(self._gaps)
        self._gaps.clear()
        return pace_s


class PaceSamples:
    """Latest samples of the pace of one server."""

    def __init__(self) -> None:
        self._samples: collections.deque[PaceSample] = collections.deque(
            maxlen=_MAX_SAMPLES
        )

    def add(self, sample: PaceSample) -> None:
        """Add a sample; the oldest one is dropped if there are many."""
        self._samples.append(sample)

    def combined(self, since_s: float) -> PaceSample | None:
        """
        Return the pace by the samples after a time, ``None`` without any.

        :param since_s: time in seconds.
        """
        recent = [sample for sample in self._samples if sample.at_s > since_s]
        if not recent:
            return None
        return PaceSample(low_quantile(recent), recent[-1].at_s, len(recent))
