"""Admission, quotas and retry budgets."""

from .allowance import FleetRetryAllowance, LocalRetryAllowance, RetryAllowance
from .priority import engine_priority, priority_rank
from .retry_window import RetryBounds, RetryBudget, RetryWindow
from .waiters import QueueRefusal, RefusalCause, Waiter

__all__ = [
    'FleetRetryAllowance',
    'LocalRetryAllowance',
    'QueueRefusal',
    'RefusalCause',
    'RetryAllowance',
    'RetryBounds',
    'RetryBudget',
    'RetryWindow',
    'Waiter',
    'engine_priority',
    'priority_rank',
]
