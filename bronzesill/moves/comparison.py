"""
Sequential comparison of a new version with the old one.

Each kind of bad event has a log-likelihood ratio that is updated with every
batch of evidence: its running total accepts the version, its cumulative sum
control statistic (CUSUM, never below zero) rejects it.
"""

import dataclasses
import enum
import math
from collections.abc import Callable
from dataclasses import field
from typing import TypeAlias

from .evidence import (
    Evidence,
    RequestCounts,
    ServerEvidence,
    count_from_bucket,
    median_bucket,
)

__all__ = [
    'ComparisonOutcome',
    'ComparisonPolicy',
    'LogLikelihoodSums',
    'SequentialComparison',
]


class ComparisonOutcome(enum.Enum):
    """Result of the comparison so far."""

    INCONCLUSIVE = 'open'
    ACCEPTED = 'good'
    REJECTED = 'bad'


@dataclasses.dataclass(frozen=True)
class ComparisonPolicy:
    """
    Effect sizes and thresholds of the comparison.

    :param failure_ratio: ratio of the new failure rate to the old one under
        the hypothesis that the new version is worse.
    :param gross_failure_ratio: the same ratio for a second test, which
        rejects faster when nearly every request fails.
    :param slow_bucket_offset: a request is slow if its latency is more than
        this number of buckets above the median of the old version; two
        buckets are about 25 % more.
    :param slow_odds: odds that a request is slow if the median of the new
        version is clearly above that latency, and odds that it is not slow
        if the median is clearly below.
    :param reject_threshold: CUSUM at which a server is failing, or the
        version is rejected.
    :param reject_threshold_without_worst: sum of the CUSUMs of the servers,
        without the failing ones and without the highest of the others, that
        is also needed to reject the version.  It is not needed if the
        version has a single server, or if two or more servers, and at least
        a third of all, are failing.
    :param commit_threshold: CUSUM at which the version is no longer
        committed, even if it is not rejected: at the time of the commit no
        more evidence can be awaited.
    :param accept_threshold: total log-likelihood ratio at or below which the
        version is accepted.
    :param warmup_requests: first requests of each server whose latencies
        are ignored, because its cache is cold.
    :param min_failure_cap: lower bound of the cap on the failures of one
        server that are counted in one step.  The cap is otherwise an eighth
        of its requests, so that a crash that fails a full batch of requests
        does not count as many independent events.
    :param min_reference_requests: number of requests of the old version in
        one step below which earlier steps are added to its histogram, to
        stabilise the median.
    """

    failure_ratio: float = 2
    gross_failure_ratio: float = 10
    slow_bucket_offset: int = 2
    slow_odds: float = 1.6
    reject_threshold: float = 8
    reject_threshold_without_worst: float = 4
    commit_threshold: float = 8
    accept_threshold: float = -4.6
    warmup_requests: int = 60
    min_failure_cap: int = 2
    min_reference_requests: float = 60


@dataclasses.dataclass(frozen=True)
class LogLikelihoodSums:
    """
    Running sums of log-likelihood ratios of one kind of bad event.

    :param total: sum since the start over the servers that were not failing
        at the time.
    :param cusum: CUSUM over the servers that are not failing.  It never
        falls below zero, so that a long good period does not hide a later
        fault.
    :param cusum_by_server: CUSUM of each server.
    """

    total: float = 0
    cusum: float = 0
    cusum_by_server: dict[str, float] = field(default_factory=dict)


_LogRatio: TypeAlias = Callable[[RequestCounts], float]


@dataclasses.dataclass(frozen=True)
class SequentialComparison:
    """
    Immutable state of the comparison; each step returns a new state.

    If both versions are equal, the probability that a failure falls on the
    new version is its share of the requests of the same step.  A request is
    slow if its latency is clearly above the median of the old version in
    the same step.  Disturbances that affect both versions, such as bursts
    or a generally slow hour, therefore do not change the result.

    :param new_version: version under test.
    :param policy: effect sizes and thresholds.
    :param sums_by_kind: running sums by kind of bad event.
    :param requests_by_server: requests counted so far, by server of the new
        version.
    :param reference_by_kind: recent latency histogram of the old version,
        by kind of latency.
    """

    new_version: str
    policy: ComparisonPolicy = field(default_factory=ComparisonPolicy)
    sums_by_kind: dict[str, LogLikelihoodSums] = field(default_factory=dict)
    requests_by_server: dict[str, int] = field(default_factory=dict)
    reference_by_kind: dict[str, tuple[float, ...]] = field(
        default_factory=dict
    )

    def updated_with(
        self, evidence: Evidence, old_version: str
    ) -> 'SequentialComparison':
        """
        Return the state after one more step.

        :param evidence: counts since the last step.
        :param old_version: version to compare with.
        """
        new = evidence.of_version(self.new_version)
        old = evidence.of_version(old_version)
        references = {
            kind: self._updated_reference(kind, old)
            for kind in ('first_token', 'token_gap')
        }
        sums = {
            'failures': self._compare_failures(
                'failures', new, old, self.policy.failure_ratio
            ),
            'gross_failures': self._compare_failures(
                'gross_failures', new, old, self.policy.gross_failure_ratio
            ),
        }
        for kind, reference in references.items():
            sums[kind] = self._compare_latency(kind, new, reference)
        requests = {
            name: self.requests_by_server.get(name, 0) + counts.requests
            for name, counts in new.items()
        }
        return dataclasses.replace(
            self,
            sums_by_kind=sums,
            requests_by_server={**self.requests_by_server, **requests},
            reference_by_kind=references,
        )

    @property
    def outcome(self) -> ComparisonOutcome:
        """
        Rejected if any test rejects, accepted if all others accept.

        The test for gross failures only rejects; it is not needed to accept.
        """
        if any(map(self._is_rejected, self.sums_by_kind.values())):
            return ComparisonOutcome.REJECTED
        totals = [
            sums.total
            for kind, sums in self.sums_by_kind.items()
            if kind != 'gross_failures'
        ]
        if totals and max(totals) <= self.policy.accept_threshold:
            return ComparisonOutcome.ACCEPTED
        return ComparisonOutcome.INCONCLUSIVE

    @property
    def is_commit_blocked(self) -> bool:
        """Whether any CUSUM has reached the threshold for a commit."""
        return any(
            sums.cusum >= self.policy.commit_threshold
            for sums in self.sums_by_kind.values()
        )

    @property
    def failing_servers(self) -> frozenset[str]:
        """Names of the servers whose own CUSUM reached the threshold."""
        return frozenset(
            name
            for sums in self.sums_by_kind.values()
            for name in self._failing_servers(sums)
        )

    def explain(self) -> str:
        """Return the rejecting tests and their CUSUMs, empty for none."""
        return ', '.join(
            f'{kind} {sums.cusum:.1f}'
            for kind, sums in self.sums_by_kind.items()
            if self._is_rejected(sums)
        )

    def summarize(self) -> dict[str, str]:
        """Return requests counted, and total and CUSUM by kind, for a log."""
        requests = sum(self.requests_by_server.values())
        servers = len(self.requests_by_server)
        sums_by_kind = {
            kind: f'total {sums.total:.1f}, CUSUM {sums.cusum:.1f}'
            for kind, sums in self.sums_by_kind.items()
        }
        counted = f'{requests} by {servers} servers'
        return {'ended': counted, **sums_by_kind}

    def _failing_servers(self, sums: LogLikelihoodSums) -> frozenset[str]:
        return frozenset(
            name
            for name, cusum in sums.cusum_by_server.items()
            if cusum >= self.policy.reject_threshold
        )

    def _is_rejected(self, sums: LogLikelihoodSums) -> bool:
        server_cusums = sorted(sums.cusum_by_server.values())
        if len(server_cusums) == 1:
            return sums.cusum >= self.policy.reject_threshold
        failing = len(self._failing_servers(sums))
        if failing >= 2 and failing * 3 >= len(server_cusums):
            return True
        # Leave out the worst server: a fault of one host is not a fault of
        # the version.
        healthy = [
            cusum
            for cusum in server_cusums
            if cusum < self.policy.reject_threshold
        ]
        return (
            sums.cusum >= self.policy.reject_threshold
            and sum(healthy[:-1]) >= self.policy.reject_threshold_without_worst
        )

    def _compare_failures(
        self,
        kind: str,
        new: dict[str, ServerEvidence],
        old: dict[str, ServerEvidence],
        ratio: float,
    ) -> LogLikelihoodSums:
        old_counts = RequestCounts()
        for evidence in old.values():
            old_counts = old_counts.plus(self._failure_counts(evidence))
        counts_by_server = {
            name: self._failure_counts(server) for name, server in new.items()
        }
        return self._updated_sums(
            kind,
            counts_by_server,
            lambda counts: _failure_log_ratio(counts, old_counts, ratio),
        )

    def _compare_latency(
        self,
        kind: str,
        new: dict[str, ServerEvidence],
        reference: tuple[float, ...],
    ) -> LogLikelihoodSums:
        first_slow_bucket = (
            median_bucket(reference) + self.policy.slow_bucket_offset + 1
        )
        counts_by_server = {
            name: count_from_bucket(getattr(server, kind), first_slow_bucket)
            for name, server in new.items()
            if sum(reference) and self._is_warm(name)
        }
        # Reduce the weight if the reference has fewer than half as many
        # requests as the new version: its median is then too uncertain.
        new_requests = sum(
            counts.requests for counts in counts_by_server.values()
        )
        confidence = min(1, 2 * sum(reference) / max(new_requests, 1))
        weight = confidence * math.log(self.policy.slow_odds)
        return self._updated_sums(
            kind,
            counts_by_server,
            lambda counts: weight * (2 * counts.bad - counts.requests),
        )

    def _updated_sums(
        self,
        kind: str,
        counts_by_server: dict[str, RequestCounts],
        ratio: _LogRatio,
    ) -> LogLikelihoodSums:
        previous = self.sums_by_kind.get(kind, LogLikelihoodSums())
        failing = self._failing_servers(previous)
        pooled = RequestCounts()
        server_cusums = dict(previous.cusum_by_server)
        for name, counts in counts_by_server.items():
            updated = server_cusums.get(name, 0) + ratio(counts)
            server_cusums[name] = max(updated, 0)
            if name not in failing:
                pooled = pooled.plus(counts)
        step = ratio(pooled)
        cusum = max(previous.cusum + step, 0)
        if len(failing) < len(
            self._failing_servers(LogLikelihoodSums(0, 0, server_cusums))
        ):
            # Drop what the newly failing servers added to the pooled CUSUM.
            cusum = min(cusum, self._cusum_of_healthy(server_cusums))
        return LogLikelihoodSums(previous.total + step, cusum, server_cusums)

    def _cusum_of_healthy(self, server_cusums: dict[str, float]) -> float:
        return sum(
            cusum
            for cusum in server_cusums.values()
            if cusum < self.policy.reject_threshold
        )

    def _failure_counts(self, server: ServerEvidence) -> RequestCounts:
        cap = max(self.policy.min_failure_cap, server.requests // 8)
        return RequestCounts(server.requests, min(server.failures, cap))

    def _is_warm(self, name: str) -> bool:
        requests = self.requests_by_server.get(name, 0)
        return requests >= self.policy.warmup_requests

    def _updated_reference(
        self, kind: str, old: dict[str, ServerEvidence]
    ) -> tuple[float, ...]:
        histograms: list[tuple[float, ...]] = [
            getattr(server, kind) for server in old.values()
        ]
        previous = self.reference_by_kind.get(kind, ())
        current = sum(map(sum, histograms))
        if sum(previous):
            missing = max(self.policy.min_reference_requests - current, 0)
            borrowed = min(missing, current)
            scale = min(1, borrowed / sum(previous))
            histograms.append(tuple(scale * count for count in previous))
        return tuple(map(sum, zip(*histograms, strict=True)))


def _failure_log_ratio(
    new: RequestCounts, old: RequestCounts, ratio: float
) -> float:
    """
    Return the log-likelihood ratio of the distribution of failures.

    :param new: counts of the new version.
    :param old: counts of the old version.
    :param ratio: ratio of the failure rates if the new version is worse.
    """
    if not new.requests or not old.requests:
        return 0
    share = new.requests / (new.requests + old.requests)
    normalizer = 1 - share + ratio * share
    return new.bad * math.log(ratio / normalizer) - old.bad * math.log(
        normalizer
    )
