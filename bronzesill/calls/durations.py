"""Durations of requests, learnt from those that were answered."""

from __future__ import annotations

import dataclasses
import itertools
from collections.abc import Callable
from typing import TypeAlias

__all__ = [
    'DurationLog',
    'LatencyEstimate',
    'LongestTimes',
    'Observe',
    'ObservedRequest',
    'RecentDurations',
    'RequestSize',
]

#: Quantile of the latency at which requests are hedged.
_QUANTILE = 0.95
_STEP_RATIO = 0.05
_INITIAL_ESTIMATE_S = 0.2
_MIN_ESTIMATE_S = 0.005
#: Requests for a service that are remembered, and for how long.
_MAX_OBSERVED = 64
_MAX_AGE_S = 60.0
#: With fewer observations the duration counts as unknown.
_MIN_OBSERVED = 8
#: Pauses as long as the longest that a further stream is expected to meet.
_EXPECTED_PAUSES = 2
#: Allowance for a load that grows, as other hosts stop too.
_GROWTH_FACTOR = 1.25


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

    def expected_quantile_s(self, ratio: float) -> float:
        """
        Return the percentile on a server that is not of typical speed.

        :param ratio: how many times as long as typical a response takes there.
        """
        return max(self.quantile_s * ratio, _MIN_ESTIMATE_S)


@dataclasses.dataclass(frozen=True)
class RequestSize:
    """
    Size of a request.

    :param prompt_tokens: tokens of its prompt, 0 for a plain call.
    :param output_tokens: most tokens of its answer, 0 for a plain call or if
        the caller does not tell.
    """

    prompt_tokens: int = 0
    output_tokens: int = 0

    def is_like(self, other: RequestSize) -> bool:
        """Return whether it is at least half as large as another one."""
        return (
            2 * self.prompt_tokens >= other.prompt_tokens
            and 2 * self.output_tokens >= other.output_tokens
        )


@dataclasses.dataclass(frozen=True)
class ObservedRequest:
    """
    Times of a request.

    Of a request without a whole answer they are lower bounds.

    :param size: size of the request.
    :param ended_at_s: loop time of its end in seconds, or of the observation.
    :param first_event_s: seconds to the first event, or to the answer.
    :param stream_s: seconds from the first event to the end, 0 for a call.
    :param longest_pause_s: longest pause between two events in seconds.
    :param is_whole: whether it got a whole answer.
    :param events: events of its answer after the first, 0 for a call.
    :param has_lacked_server: whether it failed as no server took it.
    """

    size: RequestSize
    ended_at_s: float
    first_event_s: float
    stream_s: float = 0
    longest_pause_s: float = 0
    is_whole: bool = True
    events: int = 0
    has_lacked_server: bool = False

    @property
    def began_at_s(self) -> float:
        """Loop time of its begin in seconds."""
        return self.ended_at_s - self.first_event_s - self.stream_s

    def to_whole(self, events: int) -> ObservedRequest:
        """
        Return the times that it takes at its pace until a number of events.

        :param events: events of a whole answer after the first.
        """
        if self.is_whole or not 0 < self.events < events:
            return self
        stream_s = self.stream_s * events / self.events
        return dataclasses.replace(self, stream_s=stream_s)


#: Returns the times of a running request at a loop time in seconds.
Observe: TypeAlias = Callable[[float], ObservedRequest]


@dataclasses.dataclass(frozen=True)
class LongestTimes:
    """
    Longest times of some requests, each in seconds.

    :param first_event_s: time to a first event.
    :param first_event_per_token_s: the same for each token of the prompt.
    :param stream_s: time after a first event.
    :param stream_per_token_s: the same for each token of the answer.
    :param pause_s: pause between two events.
    """

    first_event_s: float
    first_event_per_token_s: float
    stream_s: float
    stream_per_token_s: float
    pause_s: float

    @classmethod
    def from_requests(cls, requests: list[ObservedRequest]) -> LongestTimes:
        """Return the longest times of at least one request."""
        return cls(
            max(request.first_event_s for request in requests),
            max(
                request.first_event_s / max(request.size.prompt_tokens, 1)
                for request in requests
            ),
            max(request.stream_s for request in requests),
            max(
                request.stream_s / max(request.size.output_tokens, 1)
                for request in requests
            ),
            max(request.longest_pause_s for request in requests),
        )

    def predict_s(self, size: RequestSize) -> float:
        """Return the seconds that a request of a size takes at most."""
        start_s = max(
            self.first_event_s,
            size.prompt_tokens * self.first_event_per_token_s,
        )
        stream_s = self.stream_s
        if size.output_tokens:
            stream_s = size.output_tokens * self.stream_per_token_s
        return _GROWTH_FACTOR * (
            start_s + stream_s + _EXPECTED_PAUSES * self.pause_s
        )


@dataclasses.dataclass(frozen=True)
class RecentDurations:
    """
    Recent requests for one service, from which durations are predicted.

    A prediction is an upper bound at the load of the last minute rather than
    a mean: a request that a stopping host takes has to end before it exits.

    :param observed: the requests, the oldest first.
    """

    observed: tuple[ObservedRequest, ...] = ()

    def with_request(self, request: ObservedRequest) -> RecentDurations:
        """Return a copy that includes one more request."""
        kept = (*self.observed, request)[-_MAX_OBSERVED:]
        return RecentDurations(kept)

    def predict_s(
        self,
        size: RequestSize,
        now_s: float,
        running: tuple[ObservedRequest, ...] = (),
    ) -> float | None:
        """
        Return the seconds that a request takes at most.

        Requests that still run count too: while the load grows, those that
        got a whole answer are the fast ones.  ``None`` if too few requests
        for the service got one within the last minute.

        :param size: size of the request.
        :param now_s: loop time in seconds.
        :param running: requests for the service that still run.
        """
        longest = self.longest(now_s, running)
        return None if longest is None else longest.predict_s(size)

    def longest(
        self, now_s: float, running: tuple[ObservedRequest, ...] = ()
    ) -> LongestTimes | None:
        """
        Return the longest times, from which requests of any size follow.

        :param now_s: loop time in seconds.
        :param running: requests for the service that still run.
        """
        recent = [
            request
            for request in self.observed
            if now_s - request.ended_at_s < _MAX_AGE_S
        ]
        whole = [request for request in recent if request.is_whole]
        if len(whole) < _MIN_OBSERVED:
            return None
        events = max(request.events for request in whole)
        counted = [*_without_past_lacks(recent, whole), *running]
        return LongestTimes.from_requests(
            [request.to_whole(events) for request in counted]
        )


class DurationLog:
    """Durations of the running and recent requests for each service."""

    def __init__(self) -> None:
        self._recent_by_service: dict[str, RecentDurations] = {}
        self._running_by_service: dict[str, dict[int, Observe]] = {}
        self._numbers = itertools.count()
        #: Longest times for each service, and the loop time they hold for.
        self._longest_by_service: dict[
            str, tuple[float, LongestTimes | None]
        ] = {}

    def begin(self, service: str, observe: Observe) -> int:
        """
        Note a request that begins; return the number to end it by.

        :param service: service of the request.
        :param observe: returns its times, while it runs and at its end.
        """
        number = next(self._numbers)
        self._running_by_service.setdefault(service, {})[number] = observe
        self._longest_by_service.pop(service, None)
        return number

    def end(self, service: str, number: int, now_s: float) -> None:
        """
        Record the end of a request.

        :param service: service of the request.
        :param number: what ``begin`` returned.
        :param now_s: loop time in seconds.
        """
        observe = self._running_by_service[service].pop(number)
        self.record(service, observe(now_s))

    def record(self, service: str, request: ObservedRequest) -> None:
        """Record a request that has ended."""
        known = self._recent_by_service.get(service, RecentDurations())
        self._recent_by_service[service] = known.with_request(request)
        self._longest_by_service.pop(service, None)

    def predict_s(
        self, service: str, size: RequestSize, now_s: float
    ) -> float | None:
        """
        Return the seconds that a request takes at most, ``None`` if unknown.

        :param service: service of the request.
        :param size: size of the request.
        :param now_s: loop time in seconds.
        """
        # A stopping host asks for all its open requests at one time.
        longest = self._longest(service, now_s)
        return None if longest is None else longest.predict_s(size)

    def _longest(self, service: str, now_s: float) -> LongestTimes | None:
        """Return the longest times, computed once for each time."""
        held_at_s, longest = self._longest_by_service.get(service, (-1.0, None))
        if held_at_s != now_s:
            known = self._recent_by_service.get(service, RecentDurations())
            running = self._running_by_service.get(service, {})
            observed = tuple(observe(now_s) for observe in running.values())
            longest = known.longest(now_s, observed)
            self._longest_by_service[service] = (now_s, longest)
        return longest


def _without_past_lacks(
    recent: list[ObservedRequest], whole: list[ObservedRequest]
) -> list[ObservedRequest]:
    """
    Leave out requests that no server took, once servers take them again.

    Servers that asked for a pause take requests again after it; how long
    others waited for its end tells nothing of those that come later.

    :param recent: recent requests.
    :param whole: those with a whole answer, at least ``_MIN_OBSERVED``.
    """
    return [
        request
        for request in recent
        if not request.has_lacked_server or not _is_past(request, whole)
    ]


def _is_past(lack: ObservedRequest, whole: list[ObservedRequest]) -> bool:
    """Return whether servers took such requests again after a lack."""
    later = [
        request
        for request in whole
        if request.began_at_s >= lack.ended_at_s
        and request.size.is_like(lack.size)
    ]
    return len(later) >= _MIN_OBSERVED
