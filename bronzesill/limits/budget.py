"""Token bucket that limits retries to a fraction of first attempts."""

from __future__ import annotations

import dataclasses

__all__ = ['RetryBudget']


@dataclasses.dataclass(frozen=True)
class RetryBudget:
    """
    Token balance: first attempts add tokens, each retry consumes one.

    :param balance: available tokens.
    :param earned_per_first_attempt: tokens added by each first attempt.
    :param max_balance: upper limit of the balance.
    """

    balance: float = 10
    earned_per_first_attempt: float = 0.1
    max_balance: float = 10

    def with_first_attempt(self) -> RetryBudget:
        """Return the budget after a first attempt."""
        balance = min(
            self.balance + self.earned_per_first_attempt, self.max_balance
        )
        return dataclasses.replace(self, balance=balance)

    @property
    def allows_retry(self) -> bool:
        """Whether the balance covers a retry."""
        return self.balance >= 1

    def with_retry(self) -> RetryBudget:
        """Return the budget after a retry."""
        return dataclasses.replace(self, balance=self.balance - 1)
