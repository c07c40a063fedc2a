"""Metrics sent to statsd; ``docs/metrics.rst`` lists their names."""

from __future__ import annotations

from typing import Protocol

import statsd

from .addresses import Address

__all__ = ['Metrics', 'NullMetrics', 'connect_metrics']


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


def connect_metrics(address: Address | None, host_name: str) -> Metrics:
    """
    Return a client that sends metrics to a statsd server.

    :param address: address of the server; metrics are discarded if none.
    :param host_name: name of the host, used as part of the metric prefix.
    """
    if address is None:
        return NullMetrics()
    client: Metrics = statsd.StatsClient(
        address.ip, address.port, prefix=f'bronzesill.{host_name}'
    )
    return client
