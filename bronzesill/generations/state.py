"""State of one generation."""

from __future__ import annotations

import dataclasses
import enum
import math

from .messages import Action
from .stall_detection import GapEstimate, StallPolicy

__all__ = ['Decision', 'GenerationState', 'Phase']


class Phase(enum.Enum):
    """Phase of a generation; it ends in ``DONE`` or ``FAILED``."""

    IDLE = 'idle'
    CHOOSING = 'choosing'
    STREAMING = 'streaming'
    WAITING = 'waiting'
    DONE = 'done'
    FAILED = 'failed'


@dataclasses.dataclass(frozen=True)
class GenerationState:
    """
    Immutable input of the state transitions of one generation.

    All times are in seconds on the generation's clock.

    :param deadline_at_s: time at which the generation fails if it has not
        completed.
    :param policy: silence timeouts and retry limits.
    :param phase: current phase.
    :param attempt: number of the current attempt, 0 before the first.
    :param server: backend server of the current attempt, empty for none.
    :param fill: streams per unit of capacity of that server when it was
        chosen.
    :param accepted: number of accepted tokens, which is the next offset.
    :param digest: digest chained over the accepted tokens.
    :param gap_estimate: estimated gap between tokens of the current attempt.
    :param last_activity_at_s: time at which the attempt was opened or last
        delivered tokens.
    :param losses: number of lost attempts, not counting refused ones.
    :param excluded: backend servers on which an attempt was lost or refused;
        emptied when no server is available.
    :param copy_to: server that keeps a copy of the current run's memory,
        empty for none.
    :param copy_holder: server that keeps a copy of the lost run's memory, empty
        for none.
    :param uses_copy: whether the current attempt resumes from a copy.
    :param last_probe_at_s: time of the last probe of the attempt's server.
    """

    deadline_at_s: float
    policy: StallPolicy = dataclasses.field(default_factory=StallPolicy)
    phase: Phase = Phase.IDLE
    attempt: int = 0
    server: str = ''
    fill: float = 0
    accepted: int = 0
    digest: int = 0
    gap_estimate: GapEstimate = dataclasses.field(default_factory=GapEstimate)
    last_activity_at_s: float = 0
    losses: int = 0
    excluded: frozenset[str] = frozenset()
    copy_to: str = ''
    copy_holder: str = ''
    uses_copy: bool = False
    last_probe_at_s: float = 0

    @property
    def has_ended(self) -> bool:
        """Whether the generation has completed or failed."""
        return self.phase in {Phase.DONE, Phase.FAILED}

    @property
    def stall_at_s(self) -> float:
        """Time at which the current attempt is lost if nothing arrives."""
        allowed_s = self.gap_estimate.stall_timeout_s(
            self.policy, self.fill, uses_copy=self.uses_copy
        )
        return self.last_activity_at_s + allowed_s

    @property
    def probe_at_s(self) -> float:
        """
        Time of the next probe of the server.

        Infinity if the policy disables probes, or once the first token has
        arrived.
        """
        interval_s = self.policy.probe_interval_s
        if interval_s is None or self.gap_estimate.gap_s:
            return math.inf
        return max(self.last_activity_at_s, self.last_probe_at_s) + interval_s

    @property
    def next_check_at_s(self) -> float:
        """Earliest of the stall timeout, the deadline and the next probe."""
        return min(self.stall_at_s, self.deadline_at_s, self.probe_at_s)


@dataclasses.dataclass(frozen=True)
class Decision:
    """
    Result of one state transition.

    :param state: state after the event.
    :param actions: actions to perform, in this order.
    """

    state: GenerationState
    actions: tuple[Action, ...] = ()
