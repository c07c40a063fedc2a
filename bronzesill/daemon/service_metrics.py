"""Metrics of the servers of each service."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Iterator

from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.registry import Collector

from ..routing import ServerTracker, ServiceSummary, summarize_services
from ..upstream import Purpose
from ..utils import PrometheusMetrics

__all__ = ['ServiceMetrics']

_PREFIX = 'bronzesill_service'
#: Service of connections to servers that are not listed (any more).
_UNLISTED = 'unlisted'
_STATES = ('servers', 'slots', 'paused', 'suspected', 'leaving')
_LOADS = ('running', 'waiting')


class ServiceMetrics(Collector):
    """
    Collects the metrics of services when the page of metrics is read.

    :param tracker: state of the backend servers.
    :param metrics: metrics to which these are added.
    """

    def __init__(
        self, tracker: ServerTracker, metrics: PrometheusMetrics
    ) -> None:
        self._tracker = tracker
        self._metrics = metrics
        metrics.register(self)
        self._opened: Counter[tuple[str, Purpose]] = Counter()

    def count_attempt(self, purpose: Purpose, server: str) -> None:
        """
        Count an attempt to connect to a server.

        :param purpose: what the connection is for.
        :param server: name of the server.
        """
        self._metrics.incr(f'connections.{purpose.value}')
        listed = self._tracker.servers_by_name.get(server)
        service = listed.service_name if listed else _UNLISTED
        self._opened[service, purpose] += 1

    def describe(self) -> Iterator[GaugeMetricFamily]:
        """Return nothing, so that registration collects nothing."""
        return iter(())

    def collect(self) -> Iterator[GaugeMetricFamily | CounterMetricFamily]:
        """Return the metrics of all services."""
        now_s = asyncio.get_running_loop().time()
        summaries = summarize_services(self._tracker, now_s)
        for name in (*_STATES, *_LOADS):
            yield _count_family(name, summaries)
        yield _range_family('speed', summaries)
        yield _range_family('slowdown', summaries)
        opened = CounterMetricFamily(
            f'{_PREFIX}_connections',
            'attempts to connect to servers',
            labels=('service', 'purpose'),
        )
        for (service, purpose), count in self._opened.items():
            opened.add_metric((service, purpose.value), count)
        yield opened


def _count_family(
    name: str, summaries: tuple[ServiceSummary, ...]
) -> GaugeMetricFamily:
    family = GaugeMetricFamily(f'{_PREFIX}_{name}', name, labels=('service',))
    for summary in summaries:
        family.add_metric((summary.service,), getattr(summary, name))
    return family


def _range_family(
    name: str, summaries: tuple[ServiceSummary, ...]
) -> GaugeMetricFamily:
    """Return the lowest, median and highest value of each service."""
    family = GaugeMetricFamily(
        f'{_PREFIX}_{name}', name, labels=('service', 'of')
    )
    for summary in summaries:
        values = getattr(summary, name)
        if values is not None:
            for part in ('lowest', 'median', 'highest'):
                family.add_metric(
                    (summary.service, part), getattr(values, part)
                )
    return family
