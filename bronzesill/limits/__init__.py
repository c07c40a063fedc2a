"""Admission, quotas and retry budgets."""

from .admission import (
    AdmissionLimits,
    AdmissionState,
    Grant,
    Refuse,
    Ticket,
)
from .allowance import FleetAllowance, OwnAllowance, RetryAllowance
from .budget import RetryBudget
from .controller import AdmissionController
from .quota import QuotaAnswer, QuotaQuestion, QuotaTable
from .quota_controller import QuotaController, QuotaHome
from .retry_window import RetryBounds, RetryWindow

__all__ = [
    'AdmissionController',
    'AdmissionLimits',
    'AdmissionState',
    'FleetAllowance',
    'Grant',
    'OwnAllowance',
    'QuotaAnswer',
    'QuotaController',
    'QuotaHome',
    'QuotaQuestion',
    'QuotaTable',
    'Refuse',
    'RetryAllowance',
    'RetryBounds',
    'RetryBudget',
    'RetryWindow',
    'Ticket',
]
