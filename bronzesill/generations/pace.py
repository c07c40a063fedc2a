"""Pace of a stream and the silence after which it counts as lost."""

from __future__ import annotations

import dataclasses

__all__ = ['Pace', 'StallPolicy']

_SMOOTHING = 0.1
_EASY_FILL = 0.5

#: Part of the longest punctual pause after which a stream is lost.
_PAUSE_PART = 0.52
#: Silence before the first event of a run that goes on from a copy, in units
#: of the silence between events.
_RESUMED_PART = 1.5
_PROBE_EVERY_S = 0.3
#: Part of the time to a punctual first event after which it is lost.
_TARGET_PART = 0.8
#: Tokens of a prompt that a busy engine reads in a second.
_READ_TOKENS_PER_S = 3000
_RETRY_NO_SERVER_S = 0.1


@dataclasses.dataclass(frozen=True)
class StallPolicy:
    """
    How long a stream may be silent.

    :param floor_s: shortest silence that counts as a loss.
    :param ceiling_s: longest silence that is waited for.
    :param pace_factor: silence allowed in units of the usual gap.
    :param deviation_factor: units of the gap's mean deviation added to it.
    :param first_token_s: silence allowed before the first token.
    :param resumed_first_token_s: the same for an attempt that goes on from a
        copy of the run's memory; none to allow as much as otherwise.
    :param retry_no_server_s: pause before another search for a server.
    :param max_attempts: servers that one answer may be asked of.
    :param probe_every_s: pause between two probes of the server while the
        first token is waited for, none not to probe.
    """

    floor_s: float = 1.4
    ceiling_s: float = 20
    pace_factor: float = 16
    deviation_factor: float = 14
    first_token_s: float = 2.5
    resumed_first_token_s: float | None = None
    retry_no_server_s: float = 0.5
    max_attempts: int = 9
    probe_every_s: float | None = None

    @classmethod
    def from_weight(cls, resume_latency_weight: float) -> StallPolicy:
        """
        Build the policy for a site's preference.

        :param resume_latency_weight: 0 saves resources, 1 resumes soonest.
        """
        slack = 1 - resume_latency_weight
        return cls(
            floor_s=0.8 + 1.2 * slack,
            pace_factor=14 + 4 * slack,
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
        Build the policy for requests that take a route.

        :param max_pause_s: longest pause of a punctual stream.
        :param target_latency_s: time to its first event if punctual.
        :param prompt_tokens: tokens of the prompt.
        :param max_attempts: servers that one request may be sent to.
        """
        silence_s = _PAUSE_PART * max_pause_s or cls.floor_s
        reading_s = prompt_tokens / _READ_TOKENS_PER_S
        first_s = max(target_latency_s * _TARGET_PART, reading_s)
        return cls(
            floor_s=silence_s,
            ceiling_s=silence_s,
            first_token_s=first_s or cls.first_token_s,
            resumed_first_token_s=_RESUMED_PART * silence_s,
            probe_every_s=_PROBE_EVERY_S,
            retry_no_server_s=_RETRY_NO_SERVER_S,
            max_attempts=max_attempts,
        )


@dataclasses.dataclass(frozen=True)
class Pace:
    """
    Smoothed gap between tokens of one attempt.

    :param gap_s: usual gap in seconds, 0 before it is known.
    :param deviation_s: usual distance of a gap from ``gap_s``.
    """

    gap_s: float = 0
    deviation_s: float = 0

    def after(self, silence_s: float, token_count: int) -> Pace:
        """
        Take in the arrival of tokens.

        :param silence_s: seconds since the arrival before.
        :param token_count: tokens that arrived together.
        """
        gap_s = silence_s / token_count
        if not self.gap_s:
            return Pace(gap_s, gap_s / 2)
        error_s = gap_s - self.gap_s
        spread_s = abs(error_s) - self.deviation_s
        return Pace(
            self.gap_s + _SMOOTHING * error_s,
            self.deviation_s + _SMOOTHING * spread_s,
        )

    def stall_limit_s(
        self, policy: StallPolicy, fill: float, *, uses_copy: bool = False
    ) -> float:
        """
        Return the silence in seconds after which the stream is lost.

        :param policy: how long a stream may be silent.
        :param fill: streams per unit of the server's capacity; on a full
            server a stream waits for its first token.
        :param uses_copy: whether it goes on from a copy of its memory.
        """
        if not self.gap_s:
            if uses_copy and policy.resumed_first_token_s is not None:
                return policy.resumed_first_token_s
            return policy.first_token_s * (1 + 2 * max(fill - _EASY_FILL, 0))
        allowed_s = (
            policy.pace_factor * self.gap_s
            + policy.deviation_factor * self.deviation_s
        )
        return min(max(allowed_s, policy.floor_s), policy.ceiling_s)
