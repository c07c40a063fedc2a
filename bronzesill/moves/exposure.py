"""How many requests a version may get before enough of them were answered."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

from .evidence import Evidence

__all__ = ['Exposure', 'ExposureLimit', 'RouteCounts']

#: Answered requests of the new version that a route needs for a verdict.
_MIN_ANSWERED = 6
#: Routes with a smaller part of the requests need no verdict of their own.
_MIN_ROUTE_SHARE = 0.04
#: Requests that were sent to the new version, for each answered one.
_SENT_PER_ANSWERED = 1.3
_SAFETY_FACTOR = 0.9


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
