"""Limits on the number of retried requests."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from .retry_window import RetryBounds, RetryBudget, RetryWindow

__all__ = ['FleetRetryAllowance', 'LocalRetryAllowance', 'RetryAllowance']


class RetryAllowance(Protocol):
    """Interface for limits on retries."""

    def record_first_attempt(self, service: str) -> None:
        """Count the first attempt of a request to a service."""

    def try_consume_retry(
        self, service: str, *, has_begun: bool = False
    ) -> bool:
        """
        Count a retry if it is allowed, and return whether it is.

        :param service: service of the request.
        :param has_begun: whether the caller has a part of the answer.
        """

    def allows_retry(self, service: str, *, has_begun: bool = False) -> bool:
        """
        Return whether a retry is allowed, without counting one.

        :param service: service of the request.
        :param has_begun: whether the caller has a part of the answer.
        """

    def return_retry(self, service: str) -> None:
        """Take back a counted retry that was not sent."""


class LocalRetryAllowance:
    """
    Limit based on the first attempts of this daemon, over all services.

    :param budget: initial retry budget, the default budget if omitted.
    """

    def __init__(self, budget: RetryBudget | None = None) -> None:
        self._budget = budget or RetryBudget()

    def record_first_attempt(self, service: str) -> None:
        """Count the first attempt of a request to a service."""
        self._budget = self._budget.with_first_attempt()

    def try_consume_retry(
        self, service: str, *, has_begun: bool = False
    ) -> bool:
        """Count a retry if it is allowed, and return whether it is."""
        if not self._budget.allows_retry:
            return False
        self._budget = self._budget.with_retry()
        return True

    def allows_retry(self, service: str, *, has_begun: bool = False) -> bool:
        """Return whether a retry is allowed, without counting one."""
        return self._budget.allows_retry

    def return_retry(self, service: str) -> None:
        """Take back a counted retry that was not sent."""
        self._budget = self._budget.without_retry()


class FleetRetryAllowance:
    """
    Limit per service based on this daemon's share of the fleet-wide bounds.

    :param bounds: retry bounds for the whole fleet.
    :param count_daemons: returns the number of live daemons.
    """

    def __init__(
        self, bounds: RetryBounds, count_daemons: Callable[[], int]
    ) -> None:
        self._bounds = bounds
        self._count_daemons = count_daemons
        self._windows_by_service: dict[str, RetryWindow] = {}

    def record_first_attempt(self, service: str) -> None:
        """Count the first attempt of a request to a service."""
        window = self._window(service)
        self._windows_by_service[service] = window.with_first_attempt(_now_s())

    def try_consume_retry(
        self, service: str, *, has_begun: bool = False
    ) -> bool:
        """Count a retry if it is allowed, and return whether it is."""
        if not self.allows_retry(service, has_begun=has_begun):
            return False
        window = self._window(service)
        self._windows_by_service[service] = window.with_retry(_now_s())
        return True

    def allows_retry(self, service: str, *, has_begun: bool = False) -> bool:
        """Return whether a retry is allowed, without counting one."""
        window = self._window(service)
        return window.allows_retry(
            _now_s(), self._count_daemons(), has_begun=has_begun
        )

    def return_retry(self, service: str) -> None:
        """Take back a counted retry that was not sent."""
        window = self._window(service)
        self._windows_by_service[service] = window.without_retry(_now_s())

    def _window(self, service: str) -> RetryWindow:
        return self._windows_by_service.get(service, RetryWindow(self._bounds))


def _now_s() -> float:
    return asyncio.get_running_loop().time()
