"""
Interface of metrics, and metrics in the Prometheus text format over HTTP.

``docs/metrics.rst`` lists the names.
"""

from __future__ import annotations

import re
from typing import Any, Protocol

from falcon import asgi
from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)
from prometheus_client.registry import Collector

__all__ = ['Metrics', 'NullMetrics', 'PrometheusMetrics']

_MS_PER_S = 1000
_PREFIX = 'bronzesill_'
_INVALID_NAME_CHARACTERS = re.compile('[^a-zA-Z0-9_]')

#: Upper bounds of the latency histogram buckets in seconds.
_BUCKET_BOUNDS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 25)


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


class PrometheusMetrics:
    """Counters, gauges and latency histograms exposed at ``/metrics``."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._counters_by_stat: dict[str, Counter] = {}
        self._gauges_by_stat: dict[str, Gauge] = {}
        self._histograms_by_stat: dict[str, Histogram] = {}

    def incr(self, stat: str, count: int = 1) -> None:
        """Add ``count`` to a counter, which is created on first use."""
        counter = self._counters_by_stat.get(stat)
        if counter is None:
            counter = Counter(_metric_name(stat), stat, registry=self._registry)
            self._counters_by_stat[stat] = counter
        counter.inc(count)

    def gauge(self, stat: str, value: float) -> None:
        """Set the current value of a gauge, created on first use."""
        gauge = self._gauges_by_stat.get(stat)
        if gauge is None:
            gauge = Gauge(_metric_name(stat), stat, registry=self._registry)
            self._gauges_by_stat[stat] = gauge
        gauge.set(value)

    def timing(self, stat: str, delta: float) -> None:
        """Record a duration in milliseconds; it is exposed in seconds."""
        histogram = self._histograms_by_stat.get(stat)
        if histogram is None:
            histogram = Histogram(
                f'{_metric_name(stat)}_seconds',
                stat,
                buckets=_BUCKET_BOUNDS_S,
                registry=self._registry,
            )
            self._histograms_by_stat[stat] = histogram
        histogram.observe(delta / _MS_PER_S)

    def register(self, collector: Collector) -> None:
        """
        Add metrics that are collected when they are read.

        :param collector: collects the metrics.
        """
        self._registry.register(collector)

    async def on_get(self, req: asgi.Request, resp: asgi.Response) -> None:
        """Respond with all metrics in the Prometheus text format."""
        resp.content_type = 'text/plain; version=0.0.4'
        resp.data = generate_latest(self._registry)

    def make_app(self) -> asgi.App[Any, Any]:
        """Return the ASGI application that serves ``/metrics``."""
        app: asgi.App[Any, Any] = asgi.App()
        app.add_route('/metrics', self)
        return app


def _metric_name(stat: str) -> str:
    return _PREFIX + _INVALID_NAME_CHARACTERS.sub('_', stat)
