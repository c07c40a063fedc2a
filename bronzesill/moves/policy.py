"""Decisions of a move: hold, grow, commit, take back."""

import dataclasses
import enum
from collections.abc import Mapping
from dataclasses import field

from .evidence import Evidence
from .judge import Judge, JudgePolicy, Opinion
from .record import MoveRecord, MoveState, has_ended

__all__ = [
    'ALL_ROUTES',
    'MoveDecision',
    'MovePlan',
    'MoveProgress',
    'Stage',
    'Verdict',
    'decide',
]


#: Name of the comparison over all routes together.
ALL_ROUTES = ''


class Verdict(enum.Enum):
    """What to do with a move now."""

    HOLD = 'hold'
    GROW = 'grow'
    COMMIT = 'commit'
    TAKE_BACK = 'take_back'


@dataclasses.dataclass(frozen=True)
class Stage:
    """
    One share of a move and how long it is kept.

    :param share: share of the traffic that the new version gets.
    :param part: part of the move's time that is spent on it.
    """

    share: float
    part: float


_SHORT_WINDOW_S = 25.0
_SHORT_STAGES = (Stage(0.08, 0.25), Stage(0.2, 0.2), Stage(0.45, 0.2))
#: The shortest stay at a share, as a part of a short move's time.
_SHORT_STAGE_COUNT = 12
#: Little is seen in a short move, and a bad version must not pass.
_SHORT_POLICY = JudgePolicy(
    failure_ratio=3,
    gross_ratio=8,
    alarm=4,
    alarm_elsewhere=1,
    slow_buckets=5,
    doubt=1.5,
    warm_up_requests=4,
)


@dataclasses.dataclass(frozen=True)
class MovePlan:
    """
    How a move spends its time.

    :param stages: shares, one after the other; most of the time goes
        to the first, for some faults show late.
    :param margin_s: seconds before the deadline after which a move is no
        longer committed.
    :param min_stage_s: shortest stay at a share in seconds.
    """

    stages: tuple[Stage, ...] = (
        Stage(0.02, 0.7),
        Stage(0.08, 0.02),
        Stage(0.2, 0.03),
        Stage(0.45, 0.055),
    )
    margin_s: float = 16
    min_stage_s: float = 5

    @classmethod
    def for_window(cls, window_s: float) -> 'MovePlan':
        """
        Plan a move by the time that it has.

        In a short time a small share shows nothing: it begins with a larger
        one, under the share that a bad version may get.

        :param window_s: seconds from the order to its deadline.
        """
        if window_s >= _SHORT_WINDOW_S:
            return cls()
        return cls(
            stages=_SHORT_STAGES, min_stage_s=window_s / _SHORT_STAGE_COUNT
        )

    def stage_at(self, share: float) -> int:
        """Return the number of the stage with a share, -1 for none yet."""
        reached = [
            number
            for number, stage in enumerate(self.stages)
            if stage.share <= share
        ]
        return reached[-1] if reached else -1

    def stage_s(self, number: int, record: MoveRecord) -> float:
        """Return the seconds to spend on a stage."""
        planned_s = self.stages[number].part * _window_s(record)
        return max(planned_s, self.min_stage_s)

    def latest_commit_s(self, record: MoveRecord) -> float:
        """Return the time after which a move is no longer committed."""
        margin_s = min(self.margin_s, _window_s(record) / 4)
        return record.deadline_at_s - margin_s

    def latest_start_s(self, number: int, record: MoveRecord) -> float:
        """Return the time by which a stage begins, to be done in time."""
        remaining_s = sum(
            self.stage_s(later, record)
            for later in range(number, len(self.stages))
        )
        return self.latest_commit_s(record) - remaining_s


@dataclasses.dataclass(frozen=True)
class MoveProgress:
    """
    What the driver of a move knows besides its record.

    :param judges_by_route: state of the comparison by route; the one named
        :data:`ALL_ROUTES` looks at all of them together.
    :param share_since_s: when the present share came into force.
    :param plan: how the move spends its time.
    :param policy: error rates of the comparison.
    """

    judges_by_route: dict[str, Judge]
    share_since_s: float
    plan: MovePlan = field(default_factory=MovePlan)
    policy: JudgePolicy = field(default_factory=JudgePolicy)

    @classmethod
    def from_record(cls, record: MoveRecord) -> 'MoveProgress':
        """Begin to drive a move, or go on with one that another drove."""
        window_s = _window_s(record)
        policy = _policy_for(window_s)
        judge = Judge(record.new_version, policy)
        return cls(
            {ALL_ROUTES: judge},
            record.changed_at_s,
            MovePlan.for_window(window_s),
            policy,
        )

    @property
    def opinion(self) -> Opinion:
        """What the evidence says so far: bad if it is bad on any route."""
        opinions = {judge.opinion for judge in self.judges_by_route.values()}
        if Opinion.BAD in opinions:
            return Opinion.BAD
        return self.judges_by_route[ALL_ROUTES].opinion

    def explain(self) -> str:
        """Say in a few words what speaks against the version."""
        return '; '.join(
            f'{route}: {judge.explain()}'
            for route, judge in self.judges_by_route.items()
            if judge.opinion is Opinion.BAD
        )

    def after(
        self, evidence_by_route: Mapping[str, Evidence], record: MoveRecord
    ) -> 'MoveProgress':
        """Take in what was seen since the last step."""
        pooled = Evidence()
        for evidence in evidence_by_route.values():
            pooled = pooled.plus(evidence)
        judges = dict(self.judges_by_route)
        for route, seen in {**evidence_by_route, ALL_ROUTES: pooled}.items():
            judge = judges.get(route, Judge(record.new_version, self.policy))
            judges[route] = judge.after(seen, record.old_version)
        return dataclasses.replace(self, judges_by_route=judges)


@dataclasses.dataclass(frozen=True)
class MoveDecision:
    """
    What follows from a step.

    :param progress: what the driver knows from now on.
    :param verdict: what to do.
    :param share: the share from now on.
    :param reason: why, in a few words.
    """

    progress: MoveProgress
    verdict: Verdict
    share: float
    reason: str = ''


def decide(
    record: MoveRecord,
    progress: MoveProgress,
    evidence_by_route: Mapping[str, Evidence],
    now_s: float,
) -> MoveDecision:
    """
    Decide what to do with a move.

    :param record: the move as recorded.
    :param progress: what the driver knows besides.
    :param evidence_by_route: what was seen since the last step.
    :param now_s: seconds since the epoch.
    """
    progress = progress.after(evidence_by_route, record)
    if has_ended(record):
        return MoveDecision(progress, Verdict.HOLD, record.share)
    if progress.opinion is Opinion.BAD:
        return _take_back(progress, progress.explain())
    if now_s >= record.deadline_at_s:
        return _take_back(progress, 'deadline passed without a commit')
    if record.state is MoveState.PAUSED:
        return MoveDecision(progress, Verdict.HOLD, record.share)
    return _grow(record, progress, now_s)


def _take_back(progress: MoveProgress, reason: str) -> MoveDecision:
    return MoveDecision(progress, Verdict.TAKE_BACK, 0, reason)


def _grow(
    record: MoveRecord, progress: MoveProgress, now_s: float
) -> MoveDecision:
    plan = progress.plan
    number = plan.stage_at(record.share)
    reason = f'evidence is {progress.opinion.value}'
    if number < 0:
        return _to_stage(progress, 0, now_s, 'begun')
    ends_at_s = progress.share_since_s + plan.stage_s(number, record)
    if number + 1 < len(plan.stages):
        latest_s = plan.latest_start_s(number + 1, record)
        if now_s < min(ends_at_s, latest_s):
            return MoveDecision(progress, Verdict.HOLD, record.share)
        return _to_stage(progress, number + 1, now_s, reason)
    if now_s < ends_at_s or now_s > plan.latest_commit_s(record):
        return MoveDecision(progress, Verdict.HOLD, record.share)
    if progress.judges_by_route[ALL_ROUTES].is_doubtful:
        return _take_back(progress, 'too doubtful to commit')
    return MoveDecision(progress, Verdict.COMMIT, 1, reason)


def _to_stage(
    progress: MoveProgress, number: int, now_s: float, reason: str
) -> MoveDecision:
    grown = dataclasses.replace(progress, share_since_s=now_s)
    share = progress.plan.stages[number].share
    return MoveDecision(grown, Verdict.GROW, share, reason)


def _policy_for(window_s: float) -> JudgePolicy:
    if window_s >= _SHORT_WINDOW_S:
        return JudgePolicy()
    return _SHORT_POLICY


def _window_s(record: MoveRecord) -> float:
    return record.deadline_at_s - record.created_at_s
