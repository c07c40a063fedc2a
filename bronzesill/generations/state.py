"""State of one generation."""

from __future__ import annotations

import dataclasses
import enum
import math

from .messages import Action
from .pace import Pace, StallPolicy

__all__ = ['Decision', 'GenerationState', 'Phase']


class Phase(enum.Enum):
    """What a generation is waiting for."""

    IDLE = 'idle'
    CHOOSING = 'choosing'
    STREAMING = 'streaming'
    WAITING = 'waiting'
    DONE = 'done'
    FAILED = 'failed'


@dataclasses.dataclass(frozen=True)
class GenerationState:
    """
    All that decides what a generation does next.

    :param deadline_at_s: time at which the generation is given up.
    :param policy: how long its streams may be silent.
    :param phase: what it is waiting for.
    :param attempt: number of the current attempt, 0 before the first.
    :param server: backend server of the current attempt.
    :param fill: how full that server was when it was chosen.
    :param accepted: tokens accepted, which is the next offset.
    :param digest: digest chained over the accepted tokens.
    :param pace: pace of the current attempt.
    :param progress_at_s: time of the last sign of life of the attempt.
    :param losses: attempts lost so far, refused ones left out.
    :param excluded: backend servers that lost an attempt.
    :param copy_to: server that keeps a copy of the current run's memory.
    :param copy_at: server that keeps a copy of the run that was lost.
    :param uses_copy: whether the current attempt goes on from a copy.
    :param probed_at_s: when the server of the attempt was last probed.
    """

    deadline_at_s: float
    policy: StallPolicy = dataclasses.field(default_factory=StallPolicy)
    phase: Phase = Phase.IDLE
    attempt: int = 0
    server: str = ''
    fill: float = 0
    accepted: int = 0
    digest: int = 0
    pace: Pace = dataclasses.field(default_factory=Pace)
    progress_at_s: float = 0
    losses: int = 0
    excluded: frozenset[str] = frozenset()
    copy_to: str = ''
    copy_at: str = ''
    uses_copy: bool = False
    probed_at_s: float = 0

    @property
    def has_ended(self) -> bool:
        """Whether the caller was told the end."""
        return self.phase in {Phase.DONE, Phase.FAILED}

    @property
    def stall_at_s(self) -> float:
        """Time at which the current attempt counts as silent."""
        allowed_s = self.pace.stall_limit_s(
            self.policy, self.fill, uses_copy=self.uses_copy
        )
        return self.progress_at_s + allowed_s

    @property
    def probe_at_s(self) -> float:
        """Time at which the server is probed next, infinity for never."""
        every_s = self.policy.probe_every_s
        if every_s is None or self.pace.gap_s:
            return math.inf
        return max(self.progress_at_s, self.probed_at_s) + every_s

    @property
    def due_at_s(self) -> float:
        """Time at which there is something to do if nothing arrives."""
        return min(self.stall_at_s, self.deadline_at_s, self.probe_at_s)


@dataclasses.dataclass(frozen=True)
class Decision:
    """
    What follows from an event.

    :param state: the state from now on.
    :param actions: what to do, in this order.
    """

    state: GenerationState
    actions: tuple[Action, ...] = ()
