"""Admission, quotas and retry budgets."""

from .admission import (
    AdmissionLimits,
    AdmissionState,
    Grant,
    Refuse,
    Ticket,
)
from .allowance import FleetRetryAllowance, LocalRetryAllowance, RetryAllowance
from .budget import RetryBudget
from .controller import AdmissionController
from .quota import QuotaRequest, QuotaResponse, QuotaTable
from .quota_controller import QuotaController, QuotaCoordinator
from .retry_window import RetryBounds, RetryWindow

__all__ = [
    'AdmissionController',
    'AdmissionLimits',
    'AdmissionState',
    'FleetRetryAllowance',
    'Grant',
    'LocalRetryAllowance',
    'QuotaController',
    'QuotaCoordinator',
    'QuotaRequest',
    'QuotaResponse',
    'QuotaTable',
    'Refuse',
    'RetryAllowance',
    'RetryBounds',
    'RetryBudget',
    'RetryWindow',
    'Ticket',
]
