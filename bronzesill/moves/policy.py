"""Decisions of a move: keep or increase the share, commit, roll back."""

import dataclasses
import enum
from collections.abc import Mapping
from dataclasses import field

from .comparison import (
    ComparisonOutcome,
    ComparisonPolicy,
    SequentialComparison,
)
from .evidence import Evidence, SoundAnswers, StartedAnswers
from .exposure import Exposure, ExposureLimit, LookWindow
from .plan import LAST_STEP_S, MovePlan, is_short, window_s
from .record import MoveRecord, MoveState, has_ended

__all__ = [
    'ALL_ROUTES',
    'MoveAction',
    'MoveDecision',
    'MoveProgress',
    'decide',
]


#: Key of the comparison over all routes together.
ALL_ROUTES = ''


class MoveAction(enum.Enum):
    """Next action of a move."""

    HOLD = 'hold'
    INCREASE_SHARE = 'grow'
    COMMIT = 'commit'
    ROLL_BACK = 'take_back'


#: Answers of the new version that are wanted before a commit.
_WANTED_ANSWERS = 18
#: Largest share before a commit, and before a few answers speak for it.
_MAX_LOOK_SHARE = 0.7
_MAX_FIRST_LOOK_SHARE = 0.4
_MIN_FIRST_ANSWERS = 2
#: Shares are raised for more answers only by this factor or more.
_MIN_RAISE_FACTOR = 1.3
#: With fewer answers of both versions there is no traffic to judge by.
_MIN_TRAFFIC = 6
#: Part of the daemons whose reports tell how many requests there are.
_MIN_COVERAGE = 0.6
#: Effect sizes and thresholds of short moves.  They yield little evidence, so
#: the thresholds are lower: a bad version must not be committed.
_SHORT_POLICY = ComparisonPolicy(
    failure_ratio=3,
    gross_failure_ratio=8,
    reject_threshold=4,
    reject_threshold_without_worst=1,
    slow_bucket_offset=5,
    commit_threshold=1.5,
    warmup_requests=4,
)


@dataclasses.dataclass(frozen=True)
class MoveProgress:
    """
    State of a move that its driver keeps in memory, besides the record.

    :param comparisons_by_route: comparison by route; the one under
        :data:`ALL_ROUTES` covers all routes together.
    :param share_since_s: time of the last change of the share, in seconds
        since the epoch.
    :param plan: schedule of the stages.
    :param policy: effect sizes and thresholds of the comparisons.
    :param pending_by_route: evidence on routes on which, since the last
        comparison, only one of the versions finished a request.
    :param started: times to the first token since the move began.
    :param sound: answers since the move began, and failures among them.
    :param exposure: answered requests since the move began.
    :param exposure_limit: requests that a bad version may get.
    :param coverage: part of the daemons all of whose reports since the order
        are included, 0 to 1.
    """

    comparisons_by_route: dict[str, SequentialComparison]
    share_since_s: float
    plan: MovePlan = field(default_factory=MovePlan)
    policy: ComparisonPolicy = field(default_factory=ComparisonPolicy)
    pending_by_route: Mapping[str, Evidence] = field(default_factory=dict)
    started: StartedAnswers = field(default_factory=StartedAnswers)
    sound: SoundAnswers = field(default_factory=SoundAnswers)
    exposure: Exposure = field(default_factory=Exposure)
    exposure_limit: ExposureLimit = field(default_factory=ExposureLimit)
    coverage: float = 1

    @classmethod
    def from_record(
        cls,
        record: MoveRecord,
        exposure_limit: ExposureLimit | None = None,
    ) -> 'MoveProgress':
        """
        Return the initial state of a move that this daemon starts to drive.

        The move may be new or taken over from another daemon.  Evidence that
        was gathered before is not part of the record.

        :param record: record of the move.
        :param exposure_limit: requests that a bad version may get.
        """
        seconds = window_s(record)
        policy = _policy_for(seconds)
        comparison = SequentialComparison(record.new_version, policy)
        return cls(
            {ALL_ROUTES: comparison},
            record.changed_at_s,
            MovePlan.for_window(seconds),
            policy,
            exposure_limit=exposure_limit or ExposureLimit(),
            # No request was answered by the new version without a share.
            coverage=0 if record.share else 1,
        )

    @property
    def outcome(self) -> ComparisonOutcome:
        """Rejected if rejected on any route, else as over all routes."""
        outcomes = {
            comparison.outcome
            for comparison in self.comparisons_by_route.values()
        }
        if ComparisonOutcome.REJECTED in outcomes:
            return ComparisonOutcome.REJECTED
        return self.comparisons_by_route[ALL_ROUTES].outcome

    def explain(self) -> str:
        """Return the rejecting tests by route, empty for none."""
        return '; '.join(
            f'{route}: {comparison.explain()}'
            for route, comparison in self.comparisons_by_route.items()
            if comparison.outcome is ComparisonOutcome.REJECTED
        )

    def updated_with(
        self, evidence_by_route: Mapping[str, Evidence], record: MoveRecord
    ) -> 'MoveProgress':
        """
        Return the state after one more step.

        :param evidence_by_route: counts since the last step.
        :param record: record of the move.
        """
        pooled = Evidence()
        for evidence in evidence_by_route.values():
            pooled = pooled.plus(evidence)
        comparisons = dict(self.comparisons_by_route)
        pending = dict(self.pending_by_route)
        for route, added in {**evidence_by_route, ALL_ROUTES: pooled}.items():
            counts = pending.pop(route, Evidence()).plus(added)
            if not _is_comparable(counts, record):
                pending[route] = counts
                continue
            comparison = comparisons.get(
                route, SequentialComparison(record.new_version, self.policy)
            )
            comparisons[route] = comparison.updated_with(
                counts, record.old_version
            )
        return dataclasses.replace(
            self,
            comparisons_by_route=comparisons,
            pending_by_route=pending,
            started=self.started.updated_with(
                pooled, record.new_version, record.old_version
            ),
            sound=self.sound.updated_with(
                pooled, record.new_version, record.old_version
            ),
            exposure=self.exposure.updated_with(
                evidence_by_route, record.new_version
            ),
        )


@dataclasses.dataclass(frozen=True)
class MoveDecision:
    """
    Result of one step.

    :param progress: new state of the driver.
    :param action: next action.
    :param share: new share of the new version, 0 to 1.
    :param reason: reason of the action, recorded with the move.
    :param is_for_backup: whether a backup driver executes it too; it may have
        missed reports, so a lack of answers says nothing there.
    """

    progress: MoveProgress
    action: MoveAction
    share: float
    reason: str = ''
    is_for_backup: bool = False


def decide(
    record: MoveRecord,
    progress: MoveProgress,
    evidence_by_route: Mapping[str, Evidence],
    now_s: float,
) -> MoveDecision:
    """
    Decide the next action of a move.

    A rejected version is rolled back at any time, also while the move is
    paused.  So is a move that was not committed by its deadline.

    :param record: record of the move.
    :param progress: state of the driver.
    :param evidence_by_route: counts since the last step, by route.
    :param now_s: seconds since the epoch.
    """
    progress = progress.updated_with(evidence_by_route, record)
    if has_ended(record):
        return MoveDecision(progress, MoveAction.HOLD, record.share)
    if progress.outcome is ComparisonOutcome.REJECTED:
        return _roll_back(progress, progress.explain(), is_for_backup=True)
    if now_s >= record.deadline_at_s:
        return _roll_back(
            progress, 'deadline passed without a commit', is_for_backup=True
        )
    if record.state is MoveState.PAUSED:
        return MoveDecision(progress, MoveAction.HOLD, record.share)
    return _advance(record, progress, now_s)


def _roll_back(
    progress: MoveProgress, reason: str, *, is_for_backup: bool = False
) -> MoveDecision:
    return MoveDecision(
        progress, MoveAction.ROLL_BACK, 0, reason, is_for_backup
    )


def _advance(
    record: MoveRecord, progress: MoveProgress, now_s: float
) -> MoveDecision:
    plan = progress.plan
    index = plan.stage_index(record.share)
    reason = f'evidence is {progress.outcome.value}'
    if index < 0:
        return _start_stage(progress, 0, now_s, 'begun')
    share = _share_for_answers(record, progress, now_s)
    if share > _MIN_RAISE_FACTOR * record.share:
        return _raise_share(progress, share, now_s)
    ends_at_s = progress.share_since_s + plan.stage_duration_s(index, record)
    if index + 1 < len(plan.stages):
        latest_s = plan.latest_start_s(index + 1, record)
        if now_s < min(ends_at_s, latest_s):
            return MoveDecision(progress, MoveAction.HOLD, record.share)
        return _start_stage(progress, index + 1, now_s, reason)
    ends_at_s = max(
        min(ends_at_s, plan.latest_commit_s(record) - LAST_STEP_S),
        plan.earliest_commit_s(record),
    )
    if now_s < ends_at_s or now_s > plan.latest_commit_s(record):
        return MoveDecision(progress, MoveAction.HOLD, record.share)
    return _finish(record, progress, now_s)


def _finish(
    record: MoveRecord, progress: MoveProgress, now_s: float
) -> MoveDecision:
    """Commit after the last stage, unless the evidence forbids it."""
    if progress.comparisons_by_route[ALL_ROUTES].is_commit_blocked:
        return _roll_back(progress, 'too doubtful to commit')
    missing = _missing_proof(record, progress, now_s)
    if not missing:
        reason = f'evidence is {progress.outcome.value}'
        return MoveDecision(progress, MoveAction.COMMIT, 1, reason)
    # More answers may come until the latest commit.
    if now_s + LAST_STEP_S < progress.plan.latest_commit_s(record):
        return MoveDecision(progress, MoveAction.HOLD, record.share)
    return _roll_back(progress, missing)


def _missing_proof(
    record: MoveRecord, progress: MoveProgress, now_s: float
) -> str:
    """Return what is not known yet of the new version, empty for nothing."""
    unproved = _unproved_routes(record, progress, now_s)
    if unproved:
        return f'too few answers on {", ".join(unproved)}'
    if not progress.started.speaks_for_new:
        return f'too few answers in time: {progress.started.explain()}'
    if progress.sound.speaks_for_new or _has_no_traffic(progress):
        return ''
    return f'too few sound answers: {progress.sound.explain()}'


def _has_no_traffic(progress: MoveProgress) -> bool:
    """Return whether nearly no request came since the order."""
    answered = progress.exposure.totals.total
    return progress.coverage >= 1 and answered < _MIN_TRAFFIC


def _share_for_answers(
    record: MoveRecord, progress: MoveProgress, now_s: float
) -> float:
    """Return the share that yields enough answers before the last commit."""
    sound = progress.sound
    is_doubtful = bool(sound.new.bad) and not sound.speaks_for_new
    if is_doubtful or progress.coverage < _MIN_COVERAGE:
        return 0
    window = LookWindow(
        now_s - record.created_at_s,
        progress.plan.latest_commit_s(record) - now_s,
        record.deadline_at_s - now_s,
    )
    share = progress.exposure.share_for(
        _WANTED_ANSWERS, progress.exposure_limit, window
    )
    is_first_look = sound.new.requests < _MIN_FIRST_ANSWERS
    most = _MAX_FIRST_LOOK_SHARE if is_first_look else _MAX_LOOK_SHARE
    return min(share, most)


def _raise_share(
    progress: MoveProgress, share: float, now_s: float
) -> MoveDecision:
    raised = dataclasses.replace(progress, share_since_s=now_s)
    return MoveDecision(
        raised, MoveAction.INCREASE_SHARE, round(share, 2), 'little traffic'
    )


def _is_comparable(evidence: Evidence, record: MoveRecord) -> bool:
    """Return whether both versions finished requests."""
    return all(
        any(server.requests for server in evidence.of_version(version).values())
        for version in (record.old_version, record.new_version)
    )


def _unproved_routes(
    record: MoveRecord, progress: MoveProgress, now_s: float
) -> tuple[str, ...]:
    """
    Return routes without a verdict, if a commit risks too many requests.

    With little traffic even a bad version cannot get too many of them; how
    much there is is unknown if reports are missing.
    """
    if progress.coverage < _MIN_COVERAGE:
        return progress.exposure.routes_without_verdict()
    elapsed_s = now_s - record.created_at_s
    remaining_s = record.deadline_at_s - now_s
    would_exceed = progress.exposure.would_exceed(
        progress.exposure_limit, elapsed_s, remaining_s
    )
    return progress.exposure.routes_without_verdict() if would_exceed else ()


def _start_stage(
    progress: MoveProgress, index: int, now_s: float, reason: str
) -> MoveDecision:
    started = dataclasses.replace(progress, share_since_s=now_s)
    share = progress.plan.stages[index].share
    return MoveDecision(started, MoveAction.INCREASE_SHARE, share, reason)


def _policy_for(seconds: float) -> ComparisonPolicy:
    return _SHORT_POLICY if is_short(seconds) else ComparisonPolicy()
