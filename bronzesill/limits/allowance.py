"""Whether a request may be sent once more; counts kept by service."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from .budget import RetryBudget
from .retry_window import RetryBounds, RetryWindow

__all__ = ['FleetAllowance', 'OwnAllowance', 'RetryAllowance']


class RetryAllowance(Protocol):
    """Bounds the requests that are sent again."""

    def note_first(self, service: str) -> None:
        """Count a request's first try."""

    def take(self, service: str) -> bool:
        """Count a retry and say that it may be sent, or that it may not."""


class OwnAllowance:
    """
    Retries as a small share of this daemon's own first tries.

    :param budget: budget to begin with.
    """

    def __init__(self, budget: RetryBudget | None = None) -> None:
        self._budget = budget or RetryBudget()

    def note_first(self, service: str) -> None:
        """Count a request's first try."""
        self._budget = self._budget.after_try()

    def take(self, service: str) -> bool:
        """Count a retry and say that it may be sent, or that it may not."""
        if not self._budget.allows_retry:
            return False
        self._budget = self._budget.after_retry()
        return True


class FleetAllowance:
    """
    Retries as this daemon's share of what the fleet may send.

    :param bounds: bounds for the whole fleet.
    :param count_daemons: number of live daemons.
    """

    def __init__(
        self, bounds: RetryBounds, count_daemons: Callable[[], int]
    ) -> None:
        self._bounds = bounds
        self._count_daemons = count_daemons
        self._windows_by_service: dict[str, RetryWindow] = {}

    def note_first(self, service: str) -> None:
        """Count a request's first try."""
        window = self._window(service)
        self._windows_by_service[service] = window.after_try(_now_s())

    def take(self, service: str) -> bool:
        """Count a retry and say that it may be sent, or that it may not."""
        window = self._window(service)
        if not window.allows_retry(_now_s(), self._count_daemons()):
            return False
        self._windows_by_service[service] = window.after_retry(_now_s())
        return True

    def _window(self, service: str) -> RetryWindow:
        return self._windows_by_service.get(service, RetryWindow(self._bounds))


def _now_s() -> float:
    return asyncio.get_running_loop().time()
