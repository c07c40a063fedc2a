"""Time bounds of the platform that the fault soak applies and judges by."""

from __future__ import annotations

__all__ = [
    'APPLY_S',
    'CONTACT_S',
    'GRACE_S',
    'LOSS_SLACK_S',
    'PLATFORM_BOUNDS',
    'RECOVERY_S',
]

#: Seconds between SIGTERM and SIGKILL.
GRACE_S = 8.0
#: Seconds within which an accepted configuration applies.
APPLY_S = 2.0
#: Seconds without disruption after which a host is in touch.
CONTACT_S = 3.0
#: Seconds within which a closed request that was not passed on is no loss.
LOSS_SLACK_S = 0.2
#: Seconds within which service is back after all hosts have returned.
RECOVERY_S = 12.0

#: Bounds in the settings file of a host.
PLATFORM_BOUNDS = (
    ('gracePeriodS', GRACE_S),
    ('drainMs', 2000),
    ('configApplyMs', 2000),
    ('rollbackMs', 5000),
    ('ttl_max_s', 5),
    ('reuseDelayS', 2),
    ('retryBudgetRatio', 0.8),
    ('budgetWindowS', 10),
    ('budgetSlack', 150),
    ('exposureRatio', 0.1),
    ('exposureTolerance', 50),
)
