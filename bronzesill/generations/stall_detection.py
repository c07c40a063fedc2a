"""Stall detection: arrival times, token gaps and timeouts of a stream."""

from __future__ import annotations

import dataclasses
from collections import Counter
from collections.abc import Iterable

__all__ = [
    'USUAL_SILENCE_S',
    'AttemptTimings',
    'GapEstimate',
    'StallPolicy',
    'StreamActivity',
    'is_silence_shared',
]

#: Length in seconds up to which a silence is likely to end by itself.
USUAL_SILENCE_S = 1.6

_SMOOTHING_FACTOR = 0.1
#: Fill up to which the first token is not expected to wait in the queue.
_UNQUEUED_FILL = 0.5

#: Fraction of the route's maximum pause after which a stream is lost. The
#: rest of the pause is left for resuming it on another server.
_MAX_PAUSE_FRACTION = 0.52
#: Timeout for the first event of a run that resumes from a copy, as a
#: multiple of the timeout between events.
_RESUMED_FIRST_EVENT_FACTOR = 1.5
_PROBE_INTERVAL_S = 0.3
#: Fraction of the target latency after which a stream without a first event
#: is lost.
_TARGET_LATENCY_FRACTION = 0.8
#: Prompt tokens that a busy engine processes per second.
_BUSY_PREFILL_TOKENS_PER_S = 3000
_NO_SERVER_RETRY_S = 0.1
#: Part of the silence timeout after which another server is looked for.
_LOOK_FRACTION = 0.5
#: Longest silence in seconds that a prompt to read anew is weighed against.
_MAX_MOVE_COST_S = 3.0
#: Share of the failure domains with streams that are silent at once.
_SHARED_FRACTION = 0.6


@dataclasses.dataclass(frozen=True)
class StallPolicy:
    """
    Silence timeouts and retry limits of a generation.

    Once tokens have arrived, the timeout is ``gap_factor`` times the mean gap
    plus ``deviation_factor`` times its mean deviation, clipped to the range
    from ``min_silence_s`` to ``max_silence_s``.

    :param min_silence_s: lower bound of the timeout between tokens.
    :param max_silence_s: upper bound of the timeout between tokens.
    :param gap_factor: weight of the mean gap between tokens.
    :param deviation_factor: weight of the gap's mean deviation.
    :param first_token_s: timeout for the first token on a server that is at
        most half full.
    :param resumed_first_token_s: timeout for the first token of an attempt
        that resumes from a copy of the run's memory, or None to use
        ``first_token_s``.
    :param no_server_retry_s: delay before the next search for a server when
        none is available.
    :param max_attempts: number of lost attempts after which the generation
        fails; refused attempts are not counted.
    :param probe_interval_s: interval between probes of the server until the
        first token arrives, or None to disable probes.
    :param look_after_s: silence after which another server is looked for, or
        None to leave a silent server without evidence that one is better.
    :param move_cost_s: time to read the prompt anew, in seconds.
    :param max_pause_s: longest acceptable pause between events, 0 if the route
        names none.
    :param prompt_tokens: number of tokens in the prompt, 0 if unknown.
    """

    min_silence_s: float = 1.4
    max_silence_s: float = 20
    gap_factor: float = 16
    deviation_factor: float = 14
    first_token_s: float = 2.5
    resumed_first_token_s: float | None = None
    no_server_retry_s: float = 0.5
    max_attempts: int = 9
    probe_interval_s: float | None = None
    look_after_s: float | None = None
    move_cost_s: float = 0
    max_pause_s: float = 0
    prompt_tokens: int = 0

    @classmethod
    def from_weight(cls, resume_latency_weight: float) -> StallPolicy:
        """
        Create the policy from a site's preference.

        :param resume_latency_weight: from 0, which minimizes resource use,
            to 1, which minimizes the time until a lost stream is resumed.
        """
        slack = 1 - resume_latency_weight
        return cls(
            min_silence_s=0.8 + 1.2 * slack,
            gap_factor=14 + 4 * slack,
            first_token_s=1.5 + 2 * slack,
        )

    @classmethod
    def from_route(
        cls,
        max_pause_s: float,
        target_latency_s: float,
        prompt_tokens: int,
        max_attempts: int,
    ) -> StallPolicy:
        """
        Create the policy for a request from the limits of its route.

        :param max_pause_s: longest acceptable pause between events, or 0 to
            use the default timeout.
        :param target_latency_s: target for the time to the first event.
        :param prompt_tokens: number of tokens in the prompt. A long prompt
            extends the timeout for the first event.
        :param max_attempts: number of lost attempts after which the request
            fails.
        """
        silence_s = _MAX_PAUSE_FRACTION * max_pause_s or cls.min_silence_s
        prefill_s = prompt_tokens / _BUSY_PREFILL_TOKENS_PER_S
        first_s = max(target_latency_s * _TARGET_LATENCY_FRACTION, prefill_s)
        return cls(
            min_silence_s=silence_s,
            max_silence_s=silence_s,
            first_token_s=first_s or cls.first_token_s,
            resumed_first_token_s=_RESUMED_FIRST_EVENT_FACTOR * silence_s,
            probe_interval_s=_PROBE_INTERVAL_S,
            no_server_retry_s=_NO_SERVER_RETRY_S,
            max_attempts=max_attempts,
            look_after_s=_LOOK_FRACTION * silence_s,
            move_cost_s=min(prefill_s, _MAX_MOVE_COST_S),
            max_pause_s=max_pause_s,
            prompt_tokens=prompt_tokens,
        )


@dataclasses.dataclass(frozen=True)
class GapEstimate:
    """
    Exponentially smoothed gap between tokens of one attempt.

    :param gap_s: mean gap in seconds, 0 before the first token.
    :param deviation_s: mean absolute deviation of the gap, in seconds.
    """

    gap_s: float = 0
    deviation_s: float = 0

    def with_arrival(self, silence_s: float, token_count: int) -> GapEstimate:
        """
        Return the estimate updated with an arrival of tokens.

        :param silence_s: seconds since the previous arrival.
        :param token_count: number of tokens that arrived together.
        """
        gap_s = silence_s / token_count
        if not self.gap_s:
            return GapEstimate(gap_s, gap_s / 2)
        error_s = gap_s - self.gap_s
        deviation_change_s = abs(error_s) - self.deviation_s
        return GapEstimate(
            self.gap_s + _SMOOTHING_FACTOR * error_s,
            self.deviation_s + _SMOOTHING_FACTOR * deviation_change_s,
        )

    def stall_timeout_s(
        self, policy: StallPolicy, fill: float, *, uses_copy: bool = False
    ) -> float:
        """
        Return the silence in seconds after which the stream is lost.

        :param policy: silence timeouts.
        :param fill: streams per unit of the server's capacity. Before the
            first token, a higher fill extends the timeout because the
            stream may be queued.
        :param uses_copy: whether the attempt resumes from a copy of the
            run's memory.
        """
        if not self.gap_s:
            if uses_copy and policy.resumed_first_token_s is not None:
                return policy.resumed_first_token_s
            return policy.first_token_s * (
                1 + 2 * max(fill - _UNQUEUED_FILL, 0)
            )
        allowed_s = (
            policy.gap_factor * self.gap_s
            + policy.deviation_factor * self.deviation_s
        )
        return min(max(allowed_s, policy.min_silence_s), policy.max_silence_s)


@dataclasses.dataclass(frozen=True)
class StreamActivity:
    """
    Silence of one stream.

    :param failure_domain: failure domain of its server.
    :param silence_s: seconds since its last event.
    """

    failure_domain: str
    silence_s: float


def is_silence_shared(
    streams: Iterable[StreamActivity], min_silence_s: float
) -> bool:
    """
    Return whether streams of several failure domains are silent at once.

    A silent domain is one most of whose streams are silent. Domains fail one
    at a time, so several silent ones point at the path to them or at the own
    host.

    :param streams: streams that had begun.
    :param min_silence_s: silence in seconds from which on a stream counts as
        silent.
    """
    balance_by_domain: Counter[str] = Counter()
    for stream in streams:
        is_silent = stream.silence_s >= min_silence_s
        balance_by_domain[stream.failure_domain] += 1 if is_silent else -1
    silent = sum(balance > 0 for balance in balance_by_domain.values())
    return silent > max(1, _SHARED_FRACTION * len(balance_by_domain))


@dataclasses.dataclass(frozen=True)
class AttemptTimings:
    """
    Immutable arrival times of the tokens of one stream.

    All times are in seconds on the same clock.

    :param opened_at_s: time at which the stream was opened.
    :param first_at_s: time of the first arrival, 0 before it.
    :param last_at_s: time of the latest arrival, 0 before the first.
    :param tokens: number of tokens received after the first arrival.
    :param longest_gap_s: longest gap between two arrivals.
    """

    opened_at_s: float
    first_at_s: float = 0
    last_at_s: float = 0
    tokens: int = 0
    longest_gap_s: float = 0

    def with_arrival(self, token_count: int, now_s: float) -> AttemptTimings:
        """
        Return the timings updated with an arrival of tokens.

        :param token_count: number of tokens that arrived together.
        :param now_s: time of the arrival.
        """
        if not self.first_at_s:
            return dataclasses.replace(self, first_at_s=now_s, last_at_s=now_s)
        return dataclasses.replace(
            self,
            last_at_s=now_s,
            tokens=self.tokens + token_count,
            longest_gap_s=max(self.longest_gap_s, now_s - self.last_at_s),
        )

    @property
    def first_token_s(self) -> float:
        """Seconds from opening the stream to the first arrival."""
        return self.first_at_s - self.opened_at_s

    @property
    def token_gap_s(self) -> float | None:
        """Mean gap between tokens in seconds; None before two arrivals."""
        if not self.tokens:
            return None
        return (self.last_at_s - self.first_at_s) / self.tokens
