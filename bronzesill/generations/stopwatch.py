"""Times of one attempt: its first token and its pace."""

from __future__ import annotations

import dataclasses

__all__ = ['Stopwatch']


@dataclasses.dataclass(frozen=True)
class Stopwatch:
    """
    Times of one attempt so far.

    :param opened_at_s: when the stream was opened.
    :param first_at_s: when its first tokens came, 0 before.
    :param last_at_s: when its last tokens came, 0 before.
    :param tokens: tokens that came after the first arrival.
    :param longest_gap_s: longest time between two arrivals.
    """

    opened_at_s: float
    first_at_s: float = 0
    last_at_s: float = 0
    tokens: int = 0
    longest_gap_s: float = 0

    def after(self, token_count: int, now_s: float) -> Stopwatch:
        """Take in an arrival of tokens."""
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
        """Seconds to the first token."""
        return self.first_at_s - self.opened_at_s

    @property
    def token_gap_s(self) -> float | None:
        """Mean seconds between tokens, none before the second arrival."""
        if not self.tokens:
            return None
        return (self.last_at_s - self.first_at_s) / self.tokens
