"""Arrival times of tokens: time to the first token and gaps."""

from __future__ import annotations

import dataclasses

__all__ = ['AttemptTimings']


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
