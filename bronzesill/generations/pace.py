"""Pace of a stream and the silence after which it counts as lost."""

from __future__ import annotations

import dataclasses

__all__ = ['Pace', 'StallPolicy']

_SMOOTHING = 0.1
_EASY_FILL = 0.5


@dataclasses.dataclass(frozen=True)
class StallPolicy:
    """
    How long a stream may be silent.

    :param floor_s: shortest silence that counts as a loss.
    :param ceiling_s: longest silence that is waited for.
    :param pace_factor: silence allowed in units of the usual gap.
    :param deviation_factor: units of the gap's mean deviation added to it.
    :param first_token_s: silence allowed before the first token.
    """

    floor_s: float = 1.4
    ceiling_s: float = 20
    pace_factor: float = 16
    deviation_factor: float = 14
    first_token_s: float = 2.5

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

    def stall_limit_s(self, policy: StallPolicy, fill: float) -> float:
        """
        Return the silence in seconds after which the stream is lost.

        :param policy: how long a stream may be silent.
        :param fill: streams per unit of the server's capacity; on a full
            server a stream waits for its first token.
        """
        if not self.gap_s:
            return policy.first_token_s * (1 + 2 * max(fill - _EASY_FILL, 0))
        allowed_s = (
            policy.pace_factor * self.gap_s
            + policy.deviation_factor * self.deviation_s
        )
        return min(max(allowed_s, policy.floor_s), policy.ceiling_s)
