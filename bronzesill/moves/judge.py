"""Sequential comparison of a new version with the old one."""

import dataclasses
import enum
import math
from collections.abc import Callable
from dataclasses import field
from typing import TypeAlias

from .evidence import EngineEvidence, Evidence

__all__ = ['Judge', 'JudgePolicy', 'Opinion', 'Sums']


class Opinion(enum.Enum):
    """What the evidence says of the new version."""

    OPEN = 'open'
    GOOD = 'good'
    BAD = 'bad'


@dataclasses.dataclass(frozen=True)
class JudgePolicy:
    """
    Error rates of the comparison.

    :param failure_ratio: increase of failures that counts as bad.
    :param gross_ratio: increase that is looked for besides, to be quick when
        nearly everything fails.
    :param slow_buckets: latency buckets above the old median from which on
        a request is slow; two are a quarter more.
    :param slow_odds: odds for a slow request if the new median lies clearly
        above that edge, and against it if it lies clearly below.
    :param alarm: log-likelihood ratio that is an alarm.
    :param alarm_elsewhere: the same without the worst engine.
    :param doubt: log-likelihood ratio with which a version is no longer
        committed, though it is no alarm; the time for more evidence is over.
    :param accept: log-likelihood ratio below which the version is good.
    :param warm_up_requests: first requests of an engine whose latency is
        not looked at, for its cache is cold.
    :param failure_cap: failures of one engine counted in one step at the
        least; above it one request in eight, so that the death of a full
        batch is not many events.
    :param reference_requests: requests of the old version below which
        earlier steps lend some to the median of the present one.
    """

    failure_ratio: float = 2
    gross_ratio: float = 10
    slow_buckets: int = 2
    slow_odds: float = 1.6
    alarm: float = 8
    alarm_elsewhere: float = 4
    doubt: float = 8
    accept: float = -4.6
    warm_up_requests: int = 60
    failure_cap: int = 2
    reference_requests: float = 60


@dataclasses.dataclass(frozen=True)
class Sums:
    """
    Running sums of log-likelihood ratios of one kind of bad event.

    :param total: sum over all engines since the start.
    :param alarm: sum over the engines that are not sick, never below zero,
        so that good times do not hide a later fault.
    :param alarm_by_engine: alarm sums of single engines.
    """

    total: float = 0
    alarm: float = 0
    alarm_by_engine: dict[str, float] = field(default_factory=dict)


@dataclasses.dataclass(frozen=True)
class _Counts:
    """Requests and bad events over one step."""

    requests: float = 0
    bad: float = 0

    def plus(self, other: '_Counts') -> '_Counts':
        """Add other counts."""
        return _Counts(self.requests + other.requests, self.bad + other.bad)


_Ratio: TypeAlias = Callable[[_Counts], float]


@dataclasses.dataclass(frozen=True)
class Judge:
    """
    State of the comparison; a new one is made for each step.

    A failure belongs to the new version with a chance that follows from its
    share of the requests of the same step, if both versions are equal.  A
    request is slow if it is clearly above the old version's median of the
    same time.  So what hits both alike, a burst or a noisy hour, speaks for
    neither.

    :param new_version: version that is judged.
    :param policy: error rates.
    :param sums_by_kind: running sums by kind of bad event.
    :param seen_by_engine: requests seen of each engine.
    :param reference_by_kind: old version's latencies of late, by kind.
    """

    new_version: str
    policy: JudgePolicy = field(default_factory=JudgePolicy)
    sums_by_kind: dict[str, Sums] = field(default_factory=dict)
    seen_by_engine: dict[str, int] = field(default_factory=dict)
    reference_by_kind: dict[str, tuple[float, ...]] = field(
        default_factory=dict
    )

    def after(self, evidence: Evidence, old_version: str) -> 'Judge':
        """
        Take in what was seen since the last step.

        :param evidence: counts of that while.
        :param old_version: version to compare with.
        """
        new = evidence.of_version(self.new_version)
        old = evidence.of_version(old_version)
        references = {
            kind: self._reference(kind, old)
            for kind in ('first_token', 'token_gap')
        }
        sums = {
            'failures': self._judge_failures(
                'failures', new, old, self.policy.failure_ratio
            ),
            'gross_failures': self._judge_failures(
                'gross_failures', new, old, self.policy.gross_ratio
            ),
        }
        for kind, reference in references.items():
            sums[kind] = self._judge_latency(kind, new, reference)
        seen = {
            name: self.seen_by_engine.get(name, 0) + found.requests
            for name, found in new.items()
        }
        return dataclasses.replace(
            self,
            sums_by_kind=sums,
            seen_by_engine={**self.seen_by_engine, **seen},
            reference_by_kind=references,
        )

    @property
    def opinion(self) -> Opinion:
        """What the evidence says so far."""
        if any(map(self._is_alarm, self.sums_by_kind.values())):
            return Opinion.BAD
        totals = [
            sums.total
            for kind, sums in self.sums_by_kind.items()
            if kind != 'gross_failures'
        ]
        if totals and max(totals) <= self.policy.accept:
            return Opinion.GOOD
        return Opinion.OPEN

    @property
    def is_doubtful(self) -> bool:
        """Whether too much speaks against a commit."""
        return any(
            sums.alarm >= self.policy.doubt
            for sums in self.sums_by_kind.values()
        )

    @property
    def sick_engines(self) -> frozenset[str]:
        """Engines that are bad, whether or not others are."""
        return frozenset(
            name
            for sums in self.sums_by_kind.values()
            for name in self._sick(sums)
        )

    def explain(self) -> str:
        """Say in a few words what speaks against the version."""
        return ', '.join(
            f'{kind} {sums.alarm:.1f}'
            for kind, sums in self.sums_by_kind.items()
            if self._is_alarm(sums)
        )

    def _sick(self, sums: Sums) -> frozenset[str]:
        return frozenset(
            name
            for name, alarm in sums.alarm_by_engine.items()
            if alarm >= self.policy.alarm
        )

    def _is_alarm(self, sums: Sums) -> bool:
        engines = sorted(sums.alarm_by_engine.values())
        if len(engines) == 1:
            return sums.alarm >= self.policy.alarm
        sick = len(self._sick(sums))
        if sick >= 2 and sick * 3 >= len(engines):
            return True
        # Without the worst engine: a sick host is not a sick version.
        well = [alarm for alarm in engines if alarm < self.policy.alarm]
        return (
            sums.alarm >= self.policy.alarm
            and sum(well[:-1]) >= self.policy.alarm_elsewhere
        )

    def _judge_failures(
        self,
        kind: str,
        new: dict[str, EngineEvidence],
        old: dict[str, EngineEvidence],
        ratio: float,
    ) -> Sums:
        old_side = _Counts()
        for engine in old.values():
            old_side = old_side.plus(self._failures(engine))
        by_engine = {name: self._failures(seen) for name, seen in new.items()}
        return self._sums_after(
            kind,
            by_engine,
            lambda counts: _failure_sum(counts, old_side, ratio),
        )

    def _judge_latency(
        self,
        kind: str,
        new: dict[str, EngineEvidence],
        reference: tuple[float, ...],
    ) -> Sums:
        edge = _median_bucket(reference) + self.policy.slow_buckets + 1
        by_engine = {
            name: _count_above(getattr(seen, kind), edge)
            for name, seen in new.items()
            if sum(reference) and self._is_warm(name)
        }
        # A median of few requests must not decide on many.
        new_requests = sum(counts.requests for counts in by_engine.values())
        trust = min(1, 2 * sum(reference) / max(new_requests, 1))
        weight = trust * math.log(self.policy.slow_odds)
        return self._sums_after(
            kind,
            by_engine,
            lambda counts: weight * (2 * counts.bad - counts.requests),
        )

    def _sums_after(
        self, kind: str, by_engine: dict[str, _Counts], ratio: _Ratio
    ) -> Sums:
        before = self.sums_by_kind.get(kind, Sums())
        sick = self._sick(before)
        pooled = _Counts()
        engine_sums = dict(before.alarm_by_engine)
        for name, counts in by_engine.items():
            grown = engine_sums.get(name, 0) + ratio(counts)
            engine_sums[name] = max(grown, 0)
            if name not in sick:
                pooled = pooled.plus(counts)
        step = ratio(pooled)
        alarm = max(before.alarm + step, 0)
        if len(sick) < len(self._sick(Sums(0, 0, engine_sums))):
            # What a sick engine brought in does not count against others.
            alarm = min(alarm, self._alarm_of_well(engine_sums))
        return Sums(before.total + step, alarm, engine_sums)

    def _alarm_of_well(self, engine_sums: dict[str, float]) -> float:
        return sum(
            alarm for alarm in engine_sums.values() if alarm < self.policy.alarm
        )

    def _failures(self, seen: EngineEvidence) -> _Counts:
        cap = max(self.policy.failure_cap, seen.requests // 8)
        return _Counts(seen.requests, min(seen.failures, cap))

    def _is_warm(self, name: str) -> bool:
        seen = self.seen_by_engine.get(name, 0)
        return seen >= self.policy.warm_up_requests

    def _reference(
        self, kind: str, old: dict[str, EngineEvidence]
    ) -> tuple[float, ...]:
        columns: list[tuple[float, ...]] = [
            getattr(seen, kind) for seen in old.values()
        ]
        before = self.reference_by_kind.get(kind, ())
        present = sum(map(sum, columns))
        if sum(before):
            short = max(self.policy.reference_requests - present, 0)
            most = min(short, present)
            lent = min(1, most / sum(before))
            columns.append(tuple(lent * count for count in before))
        return tuple(map(sum, zip(*columns, strict=True)))


def _failure_sum(new: _Counts, old: _Counts, ratio: float) -> float:
    """Return the log-likelihood ratio of who failed, new or old."""
    if not new.requests or not old.requests:
        return 0
    share = new.requests / (new.requests + old.requests)
    spread = 1 - share + ratio * share
    return new.bad * math.log(ratio / spread) - old.bad * math.log(spread)


def _count_above(histogram: tuple[int, ...], edge: int) -> _Counts:
    return _Counts(sum(histogram), sum(histogram[edge:]))


def _median_bucket(histogram: tuple[float, ...]) -> int:
    half = sum(histogram) / 2
    below: float = 0
    for number, count in enumerate(histogram):
        below += count
        if below >= half:
            return number
    return 0
