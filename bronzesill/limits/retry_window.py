"""Limits on the retries of one daemon: token bucket and sliding window."""

from __future__ import annotations

import dataclasses

__all__ = ['RetryBounds', 'RetryBudget', 'RetryWindow']


@dataclasses.dataclass(frozen=True)
class RetryBounds:
    """
    Fleet-wide retry bounds, applied to each service separately.

    :param ratio: allowed retries per first attempt.
    :param window_s: length of the sliding window in seconds.
    :param slack: retries allowed per window regardless of the number of first
        attempts.
    :param margin: fraction of the bounds that is used.
    :param begun_margin: the same for retries of answers that have begun; what
        lies above ``margin`` is kept for them.
    """

    ratio: float = 0.8
    window_s: float = 10
    slack: float = 150
    margin: float = 0.8
    begun_margin: float = 0.9


@dataclasses.dataclass(frozen=True)
class _SecondCounts:
    number: int
    first_attempts: int = 0
    retries: int = 0


@dataclasses.dataclass(frozen=True)
class RetryWindow:
    """
    Counts of first attempts and retries of one daemon for one service.

    :param bounds: retry bounds for the whole fleet.
    :param seconds: counts per second within the window, oldest first.
    """

    bounds: RetryBounds = dataclasses.field(default_factory=RetryBounds)
    seconds: tuple[_SecondCounts, ...] = ()

    def with_first_attempt(self, now_s: float) -> RetryWindow:
        """Return the window after a first attempt."""
        return self._counted(now_s, first_attempts=1)

    def with_retry(self, now_s: float) -> RetryWindow:
        """Return the window after a retry."""
        return self._counted(now_s, retries=1)

    def without_retry(self, now_s: float) -> RetryWindow:
        """Return the window without its last retry, which was not sent."""
        recent = list(self._recent(now_s - self.bounds.window_s))
        for index in reversed(range(len(recent))):
            second = recent[index]
            if second.retries:
                recent[index] = dataclasses.replace(
                    second, retries=second.retries - 1
                )
                return dataclasses.replace(self, seconds=tuple(recent))
        return self

    def allows_retry(
        self, now_s: float, daemons: int, *, has_begun: bool = False
    ) -> bool:
        """
        Return whether a retry is within this daemon's share of the bounds.

        Answers that have begun may outlast the window in which they were
        requested, as on a host that takes no new requests while it stops.  So
        a part of the requests of the window before counts for them too; the
        sum over all hosts stays within the bounds when requests move from one
        host to another.

        :param now_s: current time in seconds.
        :param daemons: number of live daemons, among which
            ``RetryBounds.slack`` is divided evenly.
        :param has_begun: whether the caller has a part of the answer.
        """
        recent = self._recent(now_s)
        retries = sum(second.retries for second in recent)
        bounds = self.bounds
        first_attempts = _count_first_attempts(recent)
        allowed = bounds.ratio * first_attempts + bounds.slack / max(daemons, 1)
        if not has_begun:
            return retries + 1 <= bounds.margin * allowed
        before = self._recent(now_s - bounds.window_s)
        earlier = _count_first_attempts(before) - first_attempts
        kept = (1 - bounds.begun_margin) * bounds.ratio * earlier
        return retries + 1 <= bounds.begun_margin * allowed + kept

    def _counted(self, now_s: float, **counts: int) -> RetryWindow:
        recent = self._recent(now_s - self.bounds.window_s)
        number = int(now_s)
        if recent and recent[-1].number == number:
            last = recent[-1]
            recent = recent[:-1]
        else:
            last = _SecondCounts(number)
        changed = {
            name: getattr(last, name) + count for name, count in counts.items()
        }
        current = dataclasses.replace(last, **changed)
        return dataclasses.replace(self, seconds=(*recent, current))

    def _recent(self, now_s: float) -> tuple[_SecondCounts, ...]:
        oldest = now_s - self.bounds.window_s
        return tuple(
            second for second in self.seconds if second.number >= oldest
        )


def _count_first_attempts(seconds: tuple[_SecondCounts, ...]) -> int:
    return sum(second.first_attempts for second in seconds)


@dataclasses.dataclass(frozen=True)
class RetryBudget:
    """
    Token balance: first attempts add tokens, each retry consumes one.

    :param balance: available tokens.
    :param earned_per_first_attempt: tokens added by each first attempt.
    :param max_balance: upper limit of the balance.
    """

    balance: float = 10
    earned_per_first_attempt: float = 0.1
    max_balance: float = 10

    def with_first_attempt(self) -> RetryBudget:
        """Return the budget after a first attempt."""
        balance = min(
            self.balance + self.earned_per_first_attempt, self.max_balance
        )
        return dataclasses.replace(self, balance=balance)

    @property
    def allows_retry(self) -> bool:
        """Whether the balance covers a retry."""
        return self.balance >= 1

    def with_retry(self) -> RetryBudget:
        """Return the budget after a retry."""
        return dataclasses.replace(self, balance=self.balance - 1)

    def without_retry(self) -> RetryBudget:
        """Return the budget without a retry that was not sent."""
        balance = min(self.balance + 1, self.max_balance)
        return dataclasses.replace(self, balance=balance)
