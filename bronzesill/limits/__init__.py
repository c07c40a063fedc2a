"""Admission, quotas and retry budgets."""

from .admission import (
    AdmissionLimits,
    AdmissionState,
    Grant,
    Refuse,
    Ticket,
)
from .budget import RetryBudget
from .controller import AdmissionController
from .quota import QuotaAnswer, QuotaQuestion, QuotaTable
from .quota_controller import QuotaController, QuotaHome

__all__ = [
    'AdmissionController',
    'AdmissionLimits',
    'AdmissionState',
    'Grant',
    'QuotaAnswer',
    'QuotaController',
    'QuotaHome',
    'QuotaQuestion',
    'QuotaTable',
    'Refuse',
    'RetryBudget',
    'Ticket',
]
