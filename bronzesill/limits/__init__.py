"""Admission, quotas and retry budgets."""

from .allowance import FleetRetryAllowance, LocalRetryAllowance, RetryAllowance
from .priority import engine_priority, request_priority
from .retry_window import RetryBounds, RetryBudget, RetryWindow

__all__ = [
    'FleetRetryAllowance',
    'LocalRetryAllowance',
    'RetryAllowance',
    'RetryBounds',
    'RetryBudget',
    'RetryWindow',
    'engine_priority',
    'request_priority',
]
