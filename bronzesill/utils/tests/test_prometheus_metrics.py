"""Tests of the Prometheus metrics page."""

import unittest

from falcon import testing

from ..metrics import PrometheusMetrics


class MetricsPageTest(unittest.TestCase):
    """Counters, gauges and histograms are exposed as text."""

    def test_page_lists_each_kind_of_metric(self) -> None:
        metrics = PrometheusMetrics()
        metrics.incr('generations.lost.silent')
        metrics.incr('generations.lost.silent', 2)
        metrics.gauge('store.calls', 7)
        metrics.timing('requests.call', 30)
        page = testing.TestClient(metrics.make_app()).simulate_get('/metrics')
        for line in (
            'bronzesill_generations_lost_silent_total 3.0',
            'bronzesill_store_calls 7.0',
            'bronzesill_requests_call_seconds_bucket{le="0.05"} 1.0',
        ):
            self.assertIn(line, page.text)
