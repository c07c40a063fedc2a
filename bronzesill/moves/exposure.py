"""How many requests a version may get before enough of them were answered."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

from .evidence import Evidence

__all__ = ['Exposure', 'ExposureLimit', 'LookWindow', 'RouteCounts']

#: Answered requests of the new version that a route needs for a verdict.
_MIN_ANSWERED = 6
#: Routes with a smaller part of the requests need no verdict of their own.
_MIN_ROUTE_SHARE = 0.04
#: Requests that were sent to the new version, for each answered one.
_SENT_PER_ANSWERED = 1.3
_SAFETY_FACTOR = 0.9
#: Part of the allowed requests that a version may use up to be judged.
_LOOK_FACTOR = 0.6
#: Answers from which the rate of requests is known well enough.
_MIN_RATE_ANSWERS = 3
#: Requests sent so shortly before a decision are not answered by then.
_ANSWER_DELAY_S = 3.0


@dataclasses.dataclass(frozen=True)
class ExposureLimit:
    """
    Number of requests that a bad version may get until the deadline.

    :param ratio: part of all requests of the subject in the time window.
    :param slack: requests besides.
    """

    ratio: float = 0.1
    slack: float = 50


@dataclasses.dataclass(frozen=True)
class LookWindow:
    """
    Times of a move that is being judged, in seconds.

    :param elapsed_s: time since the order.
    :param decided_in_s: time until the latest commit.
    :param remaining_s: time until the deadline.
    """

    elapsed_s: float
    decided_in_s: float
    remaining_s: float


@dataclasses.dataclass(frozen=True)
class RouteCounts:
    """
    Requests of one route that were answered, by a failure too.

    :param total: answered by either version.
    :param new: answered by the new version.
    """

    total: int = 0
    new: int = 0

    def plus(self, other: RouteCounts) -> RouteCounts:
        """Return the sum of both counts."""
        return RouteCounts(self.total + other.total, self.new + other.new)


@dataclasses.dataclass(frozen=True)
class Exposure:
    """
    Answered requests since a move began.

    :param counts_by_route: counts of each route.
    """

    counts_by_route: Mapping[str, RouteCounts] = dataclasses.field(
        default_factory=dict
    )

    def updated_with(
        self, evidence_by_route: Mapping[str, Evidence], new_version: str
    ) -> Exposure:
        """
        Return the counts after one more step.

        :param evidence_by_route: evidence since the last step.
        :param new_version: version under test.
        """
        counts = dict(self.counts_by_route)
        for route, evidence in evidence_by_route.items():
            added = _count(evidence, new_version)
            counts[route] = counts.get(route, RouteCounts()).plus(added)
        return Exposure(counts)

    @property
    def totals(self) -> RouteCounts:
        """Counts of all routes together."""
        totals = RouteCounts()
        for counts in self.counts_by_route.values():
            totals = totals.plus(counts)
        return totals

    def routes_without_verdict(self) -> tuple[str, ...]:
        """Return the routes on which the new version answered too little."""
        needed = _MIN_ROUTE_SHARE * self.totals.total
        return tuple(
            route
            for route, counts in self.counts_by_route.items()
            if counts.total >= needed and counts.new < _MIN_ANSWERED
        )

    def would_exceed(
        self, limit: ExposureLimit, elapsed_s: float, remaining_s: float
    ) -> bool:
        """
        Return whether a bad version would get too many requests.

        :param limit: requests that it may get.
        :param elapsed_s: seconds since the order.
        :param remaining_s: seconds until the deadline, during which the
            version would get all requests.
        """
        totals = self.totals
        per_s = totals.total / max(elapsed_s, 1)
        expected = _SENT_PER_ANSWERED * totals.new + per_s * remaining_s
        window_s = elapsed_s + remaining_s
        allowed = limit.ratio * per_s * window_s + limit.slack
        return expected > _SAFETY_FACTOR * allowed

    def share_for(
        self, answers: float, limit: ExposureLimit, window: LookWindow
    ) -> float:
        """
        Return the share that yields a number of answers in time, 0 to 1.

        It is smaller if a bad version would otherwise get too large a part of
        the requests that it may get, and 0 if the rate of requests is unknown
        or no time is left.

        :param answers: answers of the new version that are wanted.
        :param limit: requests that a bad version may get.
        :param window: times of the move.
        """
        totals = self.totals
        look_s = window.decided_in_s - _ANSWER_DELAY_S
        if totals.total < _MIN_RATE_ANSWERS or look_s <= 0:
            return 0
        per_s = totals.total / max(window.elapsed_s, 1)
        window_s = window.elapsed_s + window.remaining_s
        allowed = limit.ratio * per_s * window_s + limit.slack
        spare = _LOOK_FACTOR * allowed - _SENT_PER_ANSWERED * totals.new
        wanted = answers - totals.new
        share = min(wanted / look_s, spare / window.remaining_s) / per_s
        return min(max(share, 0), 1)


def _count(evidence: Evidence, new_version: str) -> RouteCounts:
    # A stream is answered with its first token, long before its end.
    answered = {
        name: sum(server.first_token) + server.failures
        for name, server in evidence.by_server.items()
    }
    new = evidence.of_version(new_version)
    return RouteCounts(
        sum(answered.values()),
        sum(answered[name] for name in new),
    )
