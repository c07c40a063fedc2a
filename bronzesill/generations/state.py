"""State of one generation."""

from __future__ import annotations

import dataclasses
import enum
import math

from .messages import Action, ChooseServer, LookedElsewhere, LossCause
from .server_activity import ServerActivity
from .stall_detection import USUAL_SILENCE_S, GapEstimate, StallPolicy

#: Age in seconds up to which a connection accepted by another server is
#: evidence that it can take over.
_EVIDENCE_MAX_AGE_S = 0.1
_LOOK_INTERVAL_S = 0.3
#: Interval of looks while the server is alive and its work explains a silence.
_WAITING_LOOK_INTERVAL_S = 0.6
#: Time before a move at which a look is made; its result is still evidence.
_LOOK_LEAD_S = 0.05
#: Part of the work lost by a move for which a server has to refuse connections.
_REFUSED_FRACTION = 0.5
#: Time in seconds added to the doubled silence for bytes sent again.
_RESEND_MARGIN_S = 0.3

#: Time in seconds from the loss of a server until a probe of it fails.
_PROBE_LAG_S = 0.3
#: Tolerance for timers that fire early, in seconds.
_TIMER_TOLERANCE_S = 0.001
#: Causes of losses after which the request has used no server more.
_UNCOUNTED = frozenset(
    (
        LossCause.REFUSED,
        LossCause.UNSENT,
        LossCause.PATH,
        LossCause.DEADLINE,
    )
)


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
    :param losses: number of attempts that were lost on servers that may be
        sound; refused and unsent ones are not counted.
    :param sends: number of attempts that were sent to a server.
    :param unsent: number of attempts in a row that were not sent.
    :param paused_until_s: time before which no further attempt is made.
    :param excluded: backend servers on which an attempt was lost or refused;
        emptied when no server is available.
    :param copy_to: server that keeps a copy of the current run's memory,
        empty for none.
    :param copy_holder: server that keeps a copy of the lost run's memory, empty
        for none.
    :param uses_copy: whether the current attempt resumes from a copy.
    :param last_probe_at_s: time of the last probe of the attempt's server.
    :param last_look_at_s: time of the last look for another server.
    :param refused_since_s: time since which the attempt's server accepts no
        connection, None if it does.
    :param hindered_s: how long the attempt's server accepted no connection
        before the first token, until it did again.
    :param timer_at_s: time of the earliest timer that is set.
    :param unreachable_at_s: time of the last look at which no server
        accepted a connection.
    :param refused_at_s: time at which the attempt's server last accepted no
        connection.
    :param evidence: result of the last look, None if tokens came since.
    :param evidence_at_s: time of that result.
    :param activity: work of the attempt's server as last known, None if tokens
        came since or where speed is unknown.
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
    last_look_at_s: float = 0
    refused_since_s: float | None = None
    evidence: LookedElsewhere | None = None
    evidence_at_s: float = 0
    sends: int = 0
    unsent: int = 0
    paused_until_s: float = 0
    hindered_s: float = 0
    timer_at_s: float = math.inf
    unreachable_at_s: float = -math.inf
    refused_at_s: float = -math.inf
    activity: ServerActivity | None = None

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
        if not self.is_memory_begun:
            if self.activity is not None:
                allowed_s = self.activity.first_event_s(
                    allowed_s, self.policy, uses_copy=self.uses_copy
                )
            allowed_s += self.hindered_s
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
        """Earliest of the deadline, the next probe and a step on silence."""
        return min(
            self.deadline_at_s,
            self.probe_at_s,
            self.look_at_s,
            self.leave_at_s,
        )

    @property
    def may_leave(self) -> bool:
        """Whether one more server may run the request."""
        return self.losses + 1 < self.policy.max_attempts

    @property
    def is_memory_begun(self) -> bool:
        """Whether the attempt has delivered tokens."""
        return bool(self.gap_estimate.gap_s)

    @property
    def usable_copy(self) -> str:
        """Server with a usable copy of the current run, empty for none."""
        if self.is_memory_begun and self.accepted:
            return self.copy_to
        # The attempt produced no tokens, so no new copy exists. An earlier
        # copy remains unless this attempt consumed it.
        return '' if self.uses_copy else self.copy_holder

    @property
    def look_at_s(self) -> float:
        """Time of the next look for another server, infinity for none."""
        if self.policy.look_after_s is None or not self.may_leave:
            return math.inf
        first_s = self.stall_at_s
        if self.is_memory_begun:
            first_s = self.last_activity_at_s + self.policy.look_after_s
            if self.activity is not None:
                first_s = self.activity.look_at_s(
                    self.last_activity_at_s, self.policy, _LOOK_LEAD_S
                )
        interval_s = _LOOK_INTERVAL_S
        if self._working_server and self.evidence and self.evidence.lets_wait:
            interval_s = _WAITING_LOOK_INTERVAL_S
        return max(first_s, self.last_look_at_s + interval_s)

    @property
    def leave_at_s(self) -> float:
        """
        Time at which the silent run is left, infinity without a reason.

        A run whose memory is lost by the move is left at once if the move
        costs less than the rest of a usual silence, else after it. Where no
        server accepted a connection, the run may go on as soon as they do.
        """
        if not self.may_leave:
            return math.inf
        if self.policy.look_after_s is None:
            return self.stall_at_s
        evidence = self.evidence
        if evidence is None or not evidence.candidate:
            return math.inf
        return max(
            self._move_at_s(evidence),
            self.unreachable_at_s + self.policy.min_silence_s,
        )

    def has_evidence(self, now_s: float) -> bool:
        """Return whether another server accepted a connection just now."""
        if self.policy.look_after_s is None:
            return True
        return now_s - self.evidence_at_s <= _EVIDENCE_MAX_AGE_S

    def is_current(self, attempt: int) -> bool:
        """Return whether an attempt is the one that streams."""
        return self.phase is Phase.STREAMING and attempt == self.attempt

    def choose_action(self, candidate: str = '') -> ChooseServer:
        """
        Return the choice of the next attempt's server.

        :param candidate: server that accepted a connection just now, empty for
            none.
        """
        holder = self.copy_holder
        is_other = bool(candidate) and candidate != holder
        if is_other or holder in self.excluded:
            holder = ''
        is_resume = self.accepted > 0
        return ChooseServer(self.excluded, is_resume, holder, candidate)

    def with_attempt(
        self, server: str, attempt: int, now_s: float
    ) -> GenerationState:
        """Return the state at the start of an attempt on a server."""
        return dataclasses.replace(
            self,
            phase=Phase.STREAMING,
            attempt=attempt,
            server=server,
            gap_estimate=GapEstimate(),
            last_activity_at_s=now_s,
            refused_since_s=None,
            hindered_s=0,
            evidence=None,
            activity=None,
            sends=self.sends + 1,
        )

    def without_attempt(self, cause: LossCause) -> GenerationState:
        """Return the state after the loss of the current attempt."""
        is_unsent = cause is LossCause.UNSENT
        excluded = self.excluded
        if cause is not LossCause.PATH:
            excluded |= {self.server}
        is_copy_unused = is_unsent and self.uses_copy
        return dataclasses.replace(
            self,
            losses=self.losses + int(_is_counted(cause, self.accepted)),
            sends=self.sends - int(is_unsent),
            unsent=self.unsent + 1 if is_unsent else 0,
            excluded=excluded,
            copy_holder=self.server if is_copy_unused else self.usable_copy,
        )

    def is_used_up(self, cause: LossCause) -> bool:
        """Return whether no attempt is left after a loss with a cause."""
        if cause is LossCause.SILENT or cause in _UNCOUNTED:
            return False
        return self.losses >= self.policy.max_attempts

    def gap_estimate_after(self, token_count: int, now_s: float) -> GapEstimate:
        """Return the gap estimate after an arrival of tokens."""
        silence_s = max(now_s - self.last_activity_at_s, 0)
        return self.gap_estimate.with_arrival(silence_s, token_count)

    def refused(self, now_s: float) -> GenerationState:
        """Return the state after the server accepted no connection."""
        since_s = self.refused_since_s
        return dataclasses.replace(
            self,
            refused_since_s=now_s if since_s is None else since_s,
            refused_at_s=now_s,
        )

    def accepting(self, now_s: float) -> GenerationState:
        """Return the state after the server accepted a connection."""
        if self.refused_since_s is None:
            return self
        refused_s = now_s - self.refused_since_s
        return dataclasses.replace(
            self,
            refused_since_s=None,
            hindered_s=self.hindered_s + refused_s + _PROBE_LAG_S,
        )

    def without_due_timer(self, now_s: float) -> GenerationState:
        """Return the state after a timer has fired."""
        if now_s < self.timer_at_s - _TIMER_TOLERANCE_S:
            return self
        return dataclasses.replace(self, timer_at_s=math.inf)

    def _move_at_s(self, evidence: LookedElsewhere) -> float:
        is_by_copy = evidence.candidate == self.usable_copy
        cost_s = 0 if is_by_copy else self.policy.move_cost_s
        usual_at_s = self._usual_move_at_s(evidence, cost_s)
        silent_since_s = self.last_activity_at_s
        activity = self._working_server
        if activity is None or not evidence.lets_wait:
            return usual_at_s
        return silent_since_s + activity.leave_after_s(
            self.policy,
            evidence.move_s(cost_s),
            usual_at_s - silent_since_s,
        )

    @property
    def _working_server(self) -> ServerActivity | None:
        """Activity of the server if it may explain a silence after tokens."""
        activity = self.activity
        if activity is None or not self.is_memory_begun:
            return None
        since_s = self.last_activity_at_s
        return activity if activity.is_working(since_s, self.policy) else None

    def _usual_move_at_s(
        self, evidence: LookedElsewhere, cost_s: float
    ) -> float:
        is_by_copy = evidence.candidate == self.usable_copy
        if evidence.is_shared:
            at_s = self._leave_after(max(cost_s, USUAL_SILENCE_S))
            return at_s if is_by_copy else max(at_s, self._resent_at_s)
        if is_by_copy:
            return self.stall_at_s
        if not self.is_memory_begun and not self.uses_copy:
            return min(self.stall_at_s, self._unbegun_leave_at_s)
        left_s = USUAL_SILENCE_S - self.policy.min_silence_s
        if cost_s < left_s:
            return self.stall_at_s
        is_refused = self.refused_since_s is not None
        wait_s = USUAL_SILENCE_S if is_refused else cost_s
        at_s = self._leave_after(max(wait_s, USUAL_SILENCE_S))
        return at_s if is_refused else max(at_s, self._resent_at_s)

    @property
    def _resent_at_s(self) -> float:
        """
        Time by which bytes lost while the server refused are sent again.

        A sender repeats lost bytes at doubling intervals, so the last interval
        may be as long as the silence.
        """
        lost_s = self.refused_at_s - self.last_activity_at_s
        return self.last_activity_at_s + 2 * lost_s + _RESEND_MARGIN_S

    @property
    def _unbegun_leave_at_s(self) -> float:
        """Time at which the server refuses about as long as it has worked."""
        refused_s = self.refused_since_s
        if refused_s is None:
            return math.inf
        worked_s = refused_s - self.last_activity_at_s
        lost_s = min(worked_s, self.policy.move_cost_s)
        return refused_s + _REFUSED_FRACTION * lost_s

    def _leave_after(self, silence_s: float) -> float:
        return max(self.stall_at_s, self.last_activity_at_s + silence_s)


@dataclasses.dataclass(frozen=True)
class Decision:
    """
    Result of one state transition.

    :param state: state after the event.
    :param actions: actions to perform, in this order.
    """

    state: GenerationState
    actions: tuple[Action, ...] = ()


def _is_counted(cause: LossCause, accepted: int) -> bool:
    """
    Return whether an attempt ran on a server that may be sound.

    After tokens it takes a look at the server to tell: see
    ``LostServerAlive``.
    """
    if cause is LossCause.DISCONNECTED:
        return not accepted
    return cause not in _UNCOUNTED
