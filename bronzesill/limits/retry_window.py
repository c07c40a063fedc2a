"""Retries of one daemon as a share of what the whole fleet may send."""

from __future__ import annotations

import dataclasses

__all__ = ['RetryBounds', 'RetryWindow']


@dataclasses.dataclass(frozen=True)
class RetryBounds:
    """
    Bounds for the whole fleet, for each service.

    :param ratio: retries for each first try.
    :param window_s: span in which both are counted.
    :param slack: retries that are free in each span.
    :param margin: part of the bounds that is used.
    """

    ratio: float = 0.8
    window_s: float = 10
    slack: float = 150
    margin: float = 0.8


@dataclasses.dataclass(frozen=True)
class _Second:
    number: int
    first_tries: int = 0
    retries: int = 0


@dataclasses.dataclass(frozen=True)
class RetryWindow:
    """
    First tries and retries of one daemon and service, second by second.

    :param bounds: bounds for the whole fleet.
    :param seconds: counts of the seconds in the window, oldest first.
    """

    bounds: RetryBounds = dataclasses.field(default_factory=RetryBounds)
    seconds: tuple[_Second, ...] = ()

    def after_try(self, now_s: float) -> RetryWindow:
        """Count a first try."""
        return self._counted(now_s, first_tries=1)

    def after_retry(self, now_s: float) -> RetryWindow:
        """Count a retry."""
        return self._counted(now_s, retries=1)

    def allows_retry(self, now_s: float, daemons: int) -> bool:
        """
        Say whether a retry may be sent.

        :param now_s: time in seconds.
        :param daemons: daemons that share the fleet's free retries.
        """
        recent = self._recent(now_s)
        first_tries = sum(second.first_tries for second in recent)
        retries = sum(second.retries for second in recent)
        bounds = self.bounds
        free = bounds.slack / max(daemons, 1)
        return retries + 1 <= bounds.margin * (
            bounds.ratio * first_tries + free
        )

    def _counted(self, now_s: float, **counts: int) -> RetryWindow:
        recent = self._recent(now_s)
        number = int(now_s)
        if recent and recent[-1].number == number:
            last = recent[-1]
            recent = recent[:-1]
        else:
            last = _Second(number)
        changed = {
            name: getattr(last, name) + count for name, count in counts.items()
        }
        present = dataclasses.replace(last, **changed)
        return dataclasses.replace(self, seconds=(*recent, present))

    def _recent(self, now_s: float) -> tuple[_Second, ...]:
        oldest = now_s - self.bounds.window_s
        return tuple(
            second for second in self.seconds if second.number >= oldest
        )
