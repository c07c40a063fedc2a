"""Schedule of the stages of a move."""

import dataclasses

from .record import MoveRecord

__all__ = ['LAST_STEP_S', 'MovePlan', 'Stage', 'is_short', 'window_s']


@dataclasses.dataclass(frozen=True)
class Stage:
    """
    One stage of a move: a share and its duration.

    :param share: share of the traffic that the new version gets, 0 to 1.
    :param time_fraction: duration as a fraction of the time window of the
        move, 0 to 1.
    """

    share: float
    time_fraction: float


#: Moves with less time than this use the short schedule and thresholds.
_SHORT_WINDOW_LIMIT_S = 25.0
_SHORT_STAGES = (Stage(0.08, 0.25), Stage(0.2, 0.2), Stage(0.45, 0.2))
#: Time window of a short move divided by its shortest stage.
_SHORT_MIN_STAGE_DIVISOR = 12
#: A decision that waits for answers is taken this long before its latest time.
LAST_STEP_S = 1.0


@dataclasses.dataclass(frozen=True)
class MovePlan:
    """
    Schedule of the stages of a move.

    :param stages: stages in order of increasing share.  The first takes most
        of the time, because some faults appear only after a while.
    :param commit_margin_s: seconds before the deadline from which a move is
        no longer committed; at most a quarter of its time window.
    :param min_stage_s: shortest duration of a stage in seconds.
    """

    stages: tuple[Stage, ...] = (
        Stage(0.02, 0.7),
        Stage(0.08, 0.02),
        Stage(0.2, 0.03),
        Stage(0.45, 0.055),
    )
    commit_margin_s: float = 16
    min_stage_s: float = 5

    @classmethod
    def for_window(cls, seconds: float) -> 'MovePlan':
        """
        Return the schedule for a time window.

        In a short time a small share yields too little evidence, so a short
        move starts with a larger one.  It is still below the share of
        requests that a bad version is allowed to receive.

        :param seconds: seconds from the order to its deadline.
        """
        if not is_short(seconds):
            return cls()
        return cls(
            stages=_SHORT_STAGES,
            min_stage_s=seconds / _SHORT_MIN_STAGE_DIVISOR,
        )

    def stage_index(self, share: float) -> int:
        """Return the index of the stage of a share, -1 before the first."""
        reached = [
            index
            for index, stage in enumerate(self.stages)
            if stage.share <= share
        ]
        return reached[-1] if reached else -1

    def stage_duration_s(self, index: int, record: MoveRecord) -> float:
        """Return the duration of a stage in seconds."""
        planned_s = self.stages[index].time_fraction * window_s(record)
        return max(planned_s, self.min_stage_s)

    def latest_commit_s(self, record: MoveRecord) -> float:
        """Return the latest time of a commit, in seconds since the epoch."""
        commit_margin_s = min(self.commit_margin_s, window_s(record) / 4)
        return record.deadline_at_s - commit_margin_s

    def earliest_commit_s(self, record: MoveRecord) -> float:
        """Return the time before which a move is not committed."""
        stages_s = sum(
            self.stage_duration_s(index, record)
            for index in range(len(self.stages))
        )
        return min(
            record.created_at_s + stages_s,
            self.latest_commit_s(record) - LAST_STEP_S,
        )

    def latest_start_s(self, index: int, record: MoveRecord) -> float:
        """Return the latest start of a stage that permits a commit."""
        remaining_s = sum(
            self.stage_duration_s(later, record)
            for later in range(index, len(self.stages))
        )
        return self.latest_commit_s(record) - remaining_s


def window_s(record: MoveRecord) -> float:
    """Return the seconds from the order of a move to its deadline."""
    return record.deadline_at_s - record.created_at_s


def is_short(seconds: float) -> bool:
    """Return whether a time window is too short for the usual schedule."""
    return seconds < _SHORT_WINDOW_LIMIT_S
