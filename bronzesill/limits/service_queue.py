"""Requests of one service that wait at one host for a server."""

from __future__ import annotations

import dataclasses
from collections import Counter
from collections.abc import Callable, Mapping
from random import Random
from typing import NamedTuple

from .dispatch_times import DispatchRate
from .recent_shares import RecentShares
from .repeated_requests import RepeatedRequests
from .waiters import (
    QueueBounds,
    QueueRefusal,
    RefusalCause,
    Waiter,
    WaitForecast,
)

__all__ = ['ServiceQueue']

#: Largest part of the time that a caller has left to be told to wait.
_RETRY_FRACTION = 1 / 3


class _Position(NamedTuple):
    """Position in the queue; the lowest is dispatched first."""

    has_not_begun: bool
    has_share: bool
    rank: int
    is_first_attempt: bool
    use: float
    deadline_at_s: float
    request_id: str


class ServiceQueue:
    """
    Queue of the requests of one service at one host.

    Answers that have begun come first, then kinds of requests that lack their
    share, then priority, retries, the account with the least recent use
    relative to its weight, and the deadline.

    :param bounds: bounds of the queue.
    :param random: generator that randomises the times of retries.
    :param find_weight: returns the weight of a client account.
    """

    def __init__(
        self,
        bounds: QueueBounds,
        random: Random,
        find_weight: Callable[[str], float],
    ) -> None:
        self._bounds = bounds
        self._random = random
        self._find_weight = find_weight
        self._waiters: dict[str, Waiter] = {}
        self._shares = RecentShares()
        self._rate = DispatchRate()
        self._repeated = RepeatedRequests()

    def __len__(self) -> int:
        return len(self._waiters)

    def __contains__(self, request_id: object) -> bool:
        return request_id in self._waiters

    def offer(self, waiter: Waiter, now_s: float) -> tuple[QueueRefusal, ...]:
        """
        Let a request wait, or refuse it or those that it displaces.

        :param waiter: the request.
        :param now_s: current time in seconds.
        """
        if self._repeated.is_early(waiter.fingerprint, now_s):
            self._repeated.note_early(waiter.account, now_s)
            waiter = dataclasses.replace(waiter, is_early=True)
        if waiter.is_refusable and self._rate.per_s(now_s) is not None:
            forecast = self.forecast(waiter, now_s)
            if self._is_expected_late(waiter, forecast, now_s):
                cause = RefusalCause.TOO_LONG
                return (self._refuse_expected(waiter, cause, forecast, now_s),)
        self._waiters[waiter.request_id] = waiter
        return self._refuse_excess(now_s)

    def ordered(self, now_s: float) -> list[Waiter]:
        """Return the waiting requests, the first one to dispatch first."""
        return sorted(
            self._waiters.values(),
            key=lambda waiter: self._position(waiter, now_s),
        )

    def lacks_share(self, waiter: Waiter, now_s: float) -> bool:
        """Return whether requests of its kind are far below the mean share."""
        kinds = waiter.kinds
        if self._repeated.is_repeating(waiter.account, now_s):
            # What such an account sends beyond its share comes after others.
            kinds = tuple(kind for kind in kinds if kind != waiter.account_kind)
        return self._shares.lacks_share(kinds, now_s)

    def dispatch(self, request_id: str, now_s: float) -> Waiter | None:
        """Remove and return a request that got a server."""
        waiter = self._remove(request_id)
        if waiter is not None:
            self._shares.count(waiter.kinds, now_s, is_dispatched=True)
            self._rate.count(now_s)
            self._forget_rate_if_empty()
        return waiter

    def leave(self, request_id: str) -> Waiter | None:
        """Remove and return a request that was abandoned."""
        waiter = self._remove(request_id)
        self._forget_rate_if_empty()
        return waiter

    def refuse_late(self, now_s: float) -> tuple[QueueRefusal, ...]:
        """Refuse the requests that can no longer be answered in time."""
        late = [
            waiter
            for waiter in self._waiters.values()
            if waiter.is_refusable and waiter.latest_start_s <= now_s
        ]
        return tuple(
            self._refuse(waiter, RefusalCause.LATE, now_s) for waiter in late
        )

    def refuse_all(self, now_s: float) -> tuple[QueueRefusal, ...]:
        """Refuse all requests that were not sent, as the host stops."""
        return tuple(
            self._refuse(waiter, RefusalCause.STOPPING, now_s)
            for waiter in tuple(self._waiters.values())
            if waiter.is_refusable
        )

    def count_by_rank(self, now_s: float) -> Mapping[int, int]:
        """Return the number of waiting requests by their present rank."""
        return Counter(
            self._rank(waiter, now_s) for waiter in self._waiters.values()
        )

    def forecast(self, waiter: Waiter, now_s: float) -> WaitForecast:
        """Return how long a request is expected to wait from now."""
        ahead = self._count_ahead(waiter, now_s)
        rate = self._rate.per_s(now_s)
        if rate is None:
            return WaitForecast(ahead)
        # A request that is raised then passes others of its rank.
        raised_s = max(waiter.raised_at_s - now_s, 0)
        wait_s = min(
            (ahead + 1) / rate,
            raised_s + (self._count_above(waiter, now_s + raised_s) + 1) / rate,
        )
        return WaitForecast(ahead, rate, self._rate.age_s(now_s), wait_s)

    def count_by_configured_rank(self) -> Mapping[int, int]:
        """Return the number of waiting requests by their configured rank."""
        return Counter(waiter.rank for waiter in self._waiters.values())

    def _refuse_excess(self, now_s: float) -> tuple[QueueRefusal, ...]:
        """Refuse the last requests in order while there are too many."""
        refusals: list[QueueRefusal] = []
        if not self._is_over_bounds():
            return ()
        for waiter in reversed(self.ordered(now_s)):
            if self._is_over_bounds() and waiter.is_refusable:
                refusals.append(self._refuse(waiter, RefusalCause.FULL, now_s))
        return tuple(refusals)

    def _is_expected_late(
        self, waiter: Waiter, forecast: WaitForecast, now_s: float
    ) -> bool:
        if forecast.wait_s is None or self.lacks_share(waiter, now_s):
            return False
        return now_s + forecast.wait_s > waiter.latest_start_s

    def _count_above(self, waiter: Waiter, at_s: float) -> int:
        rank = self._rank(waiter, at_s)
        return sum(
            self._rank(other, at_s) < rank for other in self._waiters.values()
        )

    def _is_over_bounds(self) -> bool:
        size = sum(waiter.body_bytes for waiter in self._waiters.values())
        return (
            len(self._waiters) > self._bounds.max_waiting
            or size > self._bounds.max_bytes
        )

    def _count_ahead(self, waiter: Waiter, now_s: float) -> int:
        own = self._position(waiter, now_s)
        return sum(
            self._position(other, now_s) < own
            for other in self._waiters.values()
            if other.request_id != waiter.request_id
        )

    def _position(self, waiter: Waiter, now_s: float) -> _Position:
        use = self._shares.recent_use(waiter.account_kind, now_s)
        return _Position(
            not waiter.has_begun,
            not self.lacks_share(waiter, now_s),
            self._rank(waiter, now_s),
            not waiter.is_retry,
            use / self._weight(waiter.account),
            waiter.deadline_at_s,
            waiter.request_id,
        )

    def _refuse(
        self, waiter: Waiter, cause: RefusalCause, now_s: float
    ) -> QueueRefusal:
        forecast = self.forecast(waiter, now_s)
        return self._refuse_expected(waiter, cause, forecast, now_s)

    def _refuse_expected(
        self,
        waiter: Waiter,
        cause: RefusalCause,
        forecast: WaitForecast,
        now_s: float,
    ) -> QueueRefusal:
        self._remove(waiter.request_id)
        longest_s = _RETRY_FRACTION * max(waiter.deadline_at_s - now_s, 0)
        after_s = longest_s
        if forecast.wait_s is not None:
            after_s = min(forecast.wait_s, longest_s)
        retry_after_s = after_s * self._random.uniform(0.5, 1)
        refusal = QueueRefusal(waiter, cause, retry_after_s, forecast)
        if not self._repeated.is_repeated(waiter.fingerprint, now_s):
            self._shares.count(waiter.kinds, now_s, is_dispatched=False)
        self._repeated.note_refused(waiter.fingerprint, now_s + retry_after_s)
        self._forget_rate_if_empty()
        return refusal

    def _weight(self, account: str) -> float:
        return max(self._find_weight(account), 1)

    def _rank(self, waiter: Waiter, now_s: float) -> int:
        """
        Return the rank of a request with regard to the time it has waited.

        What an account repeats earlier than told comes after the requests of
        others, and its requests are not raised before theirs.
        """
        if self._repeated.is_repeating(waiter.account, now_s):
            return waiter.rank + int(waiter.is_early)
        return waiter.rank - int(now_s >= waiter.raised_at_s)

    def _remove(self, request_id: str) -> Waiter | None:
        return self._waiters.pop(request_id, None)

    def _forget_rate_if_empty(self) -> None:
        if not self._waiters:
            self._rate.forget()
