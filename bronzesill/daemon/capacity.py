"""Share of the capacity of a site that one daemon may use."""

from __future__ import annotations

import math
from collections.abc import Mapping

from ..config import Document
from ..limits.admission import AdmissionLimits

__all__ = ['admission_limits']

_OVERCOMMIT = 2.0
_IMBALANCE = 2.0


def admission_limits(
    document: Document,
    daemon_count: int,
    quota_by_account: Mapping[str, int],
) -> AdmissionLimits:
    """
    Return the admission limits of one daemon.

    Callers are distributed over the daemons by hashing.  One daemon may
    receive twice its even share, so the number of slots allows for that.

    :param document: the configuration in force.
    :param daemon_count: number of live daemons, including this one.
    :param quota_by_account: part of each client account's quota that is
        granted to this daemon.
    """
    capacity = sum(
        server.capacity for server in document.servers.values() if server.model
    )
    daemons = max(daemon_count, 1)
    imbalance = 1 if daemons == 1 else _IMBALANCE
    slots = math.ceil(capacity * _OVERCOMMIT * imbalance / daemons)
    return AdmissionLimits(
        slots=max(slots, 1),
        max_waiting=document.limits.max_waiting,
        quota_by_account=quota_by_account,
        weight_by_account={
            name: account.weight for name, account in document.accounts.items()
        },
    )
