"""
Totals of services from the metrics of several hosts.

Guards against a total that counts a server once for each host, and against a
host that does not know of a server yet.
"""

import unittest

from prometheus_client import CollectorRegistry, Counter, Gauge, generate_latest

from ..service_rows import merge_pages


def _page(slots: int, running: int, highest: float, calls: int) -> str:
    registry = CollectorRegistry()
    for name, number in (
        ('servers', 2),
        ('slots', slots),
        ('running', running),
        ('suspected', 0),
    ):
        gauge = Gauge(
            f'bronzesill_service_{name}', '', ('service',), registry=registry
        )
        gauge.labels('shop').set(number)
    slowdown = Gauge(
        'bronzesill_service_slowdown', '', ('service', 'of'), registry=registry
    )
    for part, factor in (('lowest', 1), ('median', 1), ('highest', highest)):
        slowdown.labels('shop', part).set(factor)
    opened = Counter(
        'bronzesill_service_connections',
        '',
        ('service', 'purpose'),
        registry=registry,
    )
    opened.labels('shop', 'call').inc(calls)
    Gauge('bronzesill_store_era', '', registry=registry).set(1)
    return generate_latest(registry).decode()


class MergeTest(unittest.TestCase):
    """Servers are counted once, connections at each host."""

    def test_pages_of_all_hosts_are_merged(self) -> None:
        pages = (_page(12, 5, 2.5, 3), _page(6, 7, 1.5, 4), _page(12, 9, 1, 5))
        row = merge_pages(pages)[0]
        self.assertEqual((row.service, row.hosts, row.servers), ('shop', 3, 2))
        self.assertEqual(
            row.detail,
            '12 slots, 7 running, 0 waiting, slowdown 1.00 (1.00 to 2.50), '
            '0 paused, 0 suspected, 0 leaving, new connections: call 12',
        )

    # Guards against a status that fails because of one host's error page.
    def test_pages_without_metrics_are_left_out(self) -> None:
        rows = merge_pages(('<h1>404: Not Found</h1>', _page(12, 5, 1, 3)))
        self.assertEqual([row.hosts for row in rows], [1])

    def test_hosts_without_pages_give_no_rows(self) -> None:
        self.assertEqual(merge_pages(()), [])
