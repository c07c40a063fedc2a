"""Interface of metrics; ``docs/metrics.rst`` lists their names."""

from __future__ import annotations

from typing import Protocol

__all__ = ['Metrics', 'NullMetrics']


class Metrics(Protocol):
    """Subset of the statsd client interface that the package uses."""

    def incr(self, stat: str, count: int = 1) -> object:
        """Add ``count`` to a counter."""

    def gauge(self, stat: str, value: float) -> object:
        """Set the current value of a gauge."""

    def timing(self, stat: str, delta: float) -> object:
        """Record a duration in milliseconds."""


class NullMetrics:
    """Metrics that are discarded, for hosts without a statsd address."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Discard a counter increment."""

    def gauge(self, stat: str, value: float) -> None:
        """Discard a gauge value."""

    def timing(self, stat: str, delta: float) -> None:
        """Discard a duration."""
