"""Admission, quotas and retry budgets."""

from .allowance import FleetRetryAllowance, LocalRetryAllowance, RetryAllowance
from .budget import RetryBudget
from .retry_window import RetryBounds, RetryWindow

__all__ = [
    'FleetRetryAllowance',
    'LocalRetryAllowance',
    'RetryAllowance',
    'RetryBounds',
    'RetryBudget',
    'RetryWindow',
]
