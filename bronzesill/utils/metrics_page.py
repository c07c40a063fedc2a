"""Metrics as a page of text, by ``prometheus_client``."""

from __future__ import annotations

import re
from typing import Any

from falcon import asgi
from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

__all__ = ['PageMetrics']

_MS_PER_S = 1000
_PREFIX = 'bronzesill_'
_NOT_NAME = re.compile('[^a-zA-Z0-9_]')

#: Upper edges of latencies in seconds.
_EDGES_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 25)


class PageMetrics:
    """Counters, levels and latencies, shown at ``/metrics``."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._counters_by_stat: dict[str, Counter] = {}
        self._gauges_by_stat: dict[str, Gauge] = {}
        self._histograms_by_stat: dict[str, Histogram] = {}

    def incr(self, stat: str, count: int = 1) -> None:
        """Count an event."""
        counter = self._counters_by_stat.get(stat)
        if counter is None:
            counter = Counter(_name(stat), stat, registry=self._registry)
            self._counters_by_stat[stat] = counter
        counter.inc(count)

    def gauge(self, stat: str, value: float) -> None:
        """Set a level."""
        gauge = self._gauges_by_stat.get(stat)
        if gauge is None:
            gauge = Gauge(_name(stat), stat, registry=self._registry)
            self._gauges_by_stat[stat] = gauge
        gauge.set(value)

    def timing(self, stat: str, delta: float) -> None:
        """Record a duration in milliseconds."""
        histogram = self._histograms_by_stat.get(stat)
        if histogram is None:
            histogram = Histogram(
                f'{_name(stat)}_seconds',
                stat,
                buckets=_EDGES_S,
                registry=self._registry,
            )
            self._histograms_by_stat[stat] = histogram
        histogram.observe(delta / _MS_PER_S)

    async def on_get(self, req: asgi.Request, resp: asgi.Response) -> None:
        """Show all metrics."""
        resp.content_type = 'text/plain; version=0.0.4'
        resp.data = generate_latest(self._registry)

    def make_app(self) -> asgi.App[Any, Any]:
        """Return the application that shows the page."""
        app: asgi.App[Any, Any] = asgi.App()
        app.add_route('/metrics', self)
        return app


def _name(stat: str) -> str:
    return _PREFIX + _NOT_NAME.sub('_', stat)
