"""Work of a server, and how long a stream on it may be silent."""

from __future__ import annotations

import dataclasses
import enum
import math

from ..routing import DEFAULT_PREFILL_TOKENS_PER_S
from .stall_detection import USUAL_SILENCE_S, StallPolicy

__all__ = ['MoveBasis', 'MoveReason', 'ServerActivity', 'finite_s']

#: Time between two events of a stream on an engine of speed 1, for each of the
#: prompts that it prefills in turns.
_PREFILL_EVENT_GAP_S = 0.25
#: Margin for prompts that other hosts have sent but not reported yet.
_FIRST_EVENT_MARGIN = 1.5
#: Factor by which the timeout for the first event is extended at most; other
#: servers may have fewer prompts.
_MAX_FIRST_EVENT_FACTOR = 2
#: Age of an event up to which the server is known to be alive.
_ALIVE_AGE_S = 0.2
#: Slowdown from which on it may explain a silence.
_MIN_SLOWDOWN = 1.5
#: Time that a move has to save, as a multiple of the time that it takes; its
#: prefill delays the other streams of the new server by as much.
_MIN_SAVING_FACTOR = 2
#: Fraction of the route's maximum pause up to which a move to the holder of a
#: copy ends the pause in time.
_LAST_MOVE_FRACTION = 0.75


@dataclasses.dataclass(frozen=True)
class ServerActivity:
    """
    Work of a server as known to one host at one time.

    All times are in seconds on the generation's clock.

    :param known_at_s: time at which this was known.
    :param progress_at_s: time of the last event of another stream of this host
        on the server, minus infinity for none.
    :param prefilling: other prompts that wait or are prefilled on the server.
    :param slowdown: how many times as long as usual work takes on the server.
    :param speed: speed of the server relative to the others of its service.
    :param prefills_ahead: most prompts that were prefilled at a time since the
        attempt was opened.
    """

    known_at_s: float
    progress_at_s: float = -math.inf
    prefilling: int = 0
    slowdown: float = 1
    speed: float = 1
    prefills_ahead: int = 0

    @property
    def event_gap_s(self) -> float:
        """Expected time between two events of a stream, 0 if not extended."""
        if not self.prefilling:
            return 0
        prompts_s = _PREFILL_EVENT_GAP_S * self.prefilling
        return prompts_s * self.slowdown / self.speed

    def after(self, previous: ServerActivity | None) -> ServerActivity:
        """
        Return this activity as the continuation of an earlier one.

        :param previous: activity known before in the same attempt.
        """
        ahead = previous.prefills_ahead if previous else 0
        return dataclasses.replace(
            self, prefills_ahead=max(ahead, self.prefilling)
        )

    def log_fields(self, now_s: float) -> dict[str, float | None]:
        """Return log fields that describe this activity."""
        return {
            'prefilling': self.prefilling,
            'slowdown': round(self.slowdown, 2),
            'speed': round(self.speed, 2),
            'progress_age_s': finite_s(now_s - self.progress_at_s),
            'activity_age_s': round(now_s - self.known_at_s, 3),
        }

    def is_working(self, silent_since_s: float, policy: StallPolicy) -> bool:
        """
        Return whether the server's work may explain the silence of a stream.

        :param silent_since_s: time of the last event of the stream.
        :param policy: silence timeouts of the stream.
        """
        has_progressed = (
            self.progress_at_s > silent_since_s
            and self.known_at_s - self.progress_at_s <= policy.min_silence_s
        )
        is_slow = self.slowdown >= _MIN_SLOWDOWN
        return has_progressed or is_slow or self.prefilling > 0

    def first_event_s(
        self, allowed_s: float, policy: StallPolicy, *, uses_copy: bool
    ) -> float:
        """
        Return the timeout for the first event of an attempt.

        :param allowed_s: timeout by the policy alone.
        :param policy: silence timeouts of the stream.
        :param uses_copy: whether the attempt resumes from a copy.
        """
        if uses_copy:
            # Another server would have to prefill the prompt.
            move_s = max(policy.move_cost_s, USUAL_SILENCE_S)
            return allowed_s + min(self.event_gap_s, move_s)
        prompts = self.prefills_ahead + 1
        own_s = policy.prompt_tokens / DEFAULT_PREFILL_TOKENS_PER_S / self.speed
        expected_s = _FIRST_EVENT_MARGIN * prompts * own_s
        return max(
            allowed_s, min(expected_s, _MAX_FIRST_EVENT_FACTOR * allowed_s)
        )

    def look_at_s(
        self, silent_since_s: float, policy: StallPolicy, lead_s: float
    ) -> float:
        """
        Return the time of the first look for another server.

        While the server sends events to other streams it is known to be alive,
        and a look is needed only just before the stream is moved.

        :param silent_since_s: time of the last event of the stream.
        :param policy: silence timeouts of the stream.
        :param lead_s: time before a move at which a look is made.
        """
        look_after_s = policy.look_after_s or 0
        heard_at_s = max(silent_since_s, self.progress_at_s)
        last_s = _LAST_MOVE_FRACTION * policy.max_pause_s - lead_s
        return min(
            heard_at_s + look_after_s,
            silent_since_s + max(look_after_s, last_s),
        )

    def move_s(self, cost_s: float) -> float:
        """
        Return the time from a move to this server until its first event.

        :param cost_s: time to read the prompt anew on an idle server, 0 if the
            server holds a copy.
        """
        prompts_s = cost_s * (1 + self.prefilling) * self.slowdown / self.speed
        return max(prompts_s, self.event_gap_s)

    def leave_after_s(
        self, policy: StallPolicy, move_s: float, usual_s: float
    ) -> float:
        """
        Return the silence after which a stream is moved from this server.

        The stream waits as long as a move can still end the pause within the
        limit. Where it can't, it is moved if that ends the pause clearly
        sooner than the expected next event, or once that event is overdue by
        the time that the move takes, at most by that of a usual silence.

        :param policy: silence timeouts of the stream.
        :param move_s: time from the move until the next event.
        :param usual_s: silence after which a stream is moved from a server
            without known work.
        """
        in_time_s = _LAST_MOVE_FRACTION * policy.max_pause_s - move_s
        if in_time_s >= policy.min_silence_s:
            return in_time_s
        saving_s = _MIN_SAVING_FACTOR * move_s
        if policy.min_silence_s + saving_s < self.event_gap_s:
            return policy.min_silence_s
        overdue_s = min(move_s, max(usual_s, USUAL_SILENCE_S))
        return max(usual_s, self.event_gap_s + overdue_s)


def finite_s(duration_s: float) -> float | None:
    """Return a duration for the log, None if it is infinite."""
    return round(duration_s, 3) if math.isfinite(duration_s) else None


class MoveReason(enum.Enum):
    """
    Why a silent stream is moved from a server whose activity is known.

    ``REFUSED``: the server accepts no connection, but another one does.
    ``FIRST_EVENT``: the first event is overdue. ``OVERDUE``: the server has
    other work, but the next event is overdue or a move ends the pause sooner.
    ``SILENT``: no work of the server explains the silence.
    """

    REFUSED = 'refused'
    FIRST_EVENT = 'first_event'
    OVERDUE = 'overdue'
    SILENT = 'silent'


@dataclasses.dataclass(frozen=True)
class MoveBasis:
    """
    Why a silent stream is moved.

    :param reason: the reason.
    :param activity: what was known of the server's work.
    :param silent_s: seconds since the last event of the stream.
    :param evidence_age_s: seconds since the look that found the new server.
    """

    reason: MoveReason
    activity: ServerActivity
    silent_s: float
    evidence_age_s: float

    @property
    def is_server_alive(self) -> bool:
        """Whether the server has just sent an event on another stream."""
        activity = self.activity
        return activity.known_at_s - activity.progress_at_s <= _ALIVE_AGE_S

    @property
    def is_server_working(self) -> bool:
        """Whether other work explains that the server is silent."""
        return self.reason is MoveReason.OVERDUE

    @property
    def is_server_accepting(self) -> bool:
        """Whether the server accepted a connection just before the move."""
        return self.reason is not MoveReason.REFUSED

    def log_fields(self, now_s: float) -> dict[str, float | str | None]:
        """Return the fields of the log line of the move."""
        return {
            'move_reason': self.reason.value,
            'silent_s': round(self.silent_s, 3),
            'evidence_age_s': round(self.evidence_age_s, 3),
            **self.activity.log_fields(now_s),
        }
