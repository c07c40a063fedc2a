"""
Summaries of services for operators.

Guards against an overload of which operators see no cause: slots that are
taken, servers that pause, and servers that are slow look alike to callers.
"""

import unittest
from unittest import mock

from ...config import BackendServer
from ...utils import Address
from ..records import LoadReport
from ..server_tracker import ServerTracker
from ..service_summary import Range, ServiceSummary, summarize_services


class ServiceSummaryTest(unittest.TestCase):
    """Each service is shown with the load that its servers reported."""

    def setUp(self) -> None:
        self.tracker = ServerTracker()
        address = Address('10.0.0.1', 80)
        shop = BackendServer(address, 'a', 'v1', service='shop', capacity=6)
        engine = BackendServer(address, 'a', 'v1', model='m', capacity=16)
        self.tracker.replace_servers({'s1': shop, 's2': shop, 'e1': engine})

    def summary(self, service: str, now_s: float = 1) -> ServiceSummary:
        return next(
            summary
            for summary in summarize_services(self.tracker, now_s)
            if summary.service == service
        )

    def test_reported_load_is_summed(self) -> None:
        self.tracker.reported('s1', LoadReport(8, '', 0.5, waiting=2))
        self.tracker.reported('s2', LoadReport(3, '', 0.5))
        expected = ServiceSummary('shop', 2, 12, 9, 2, 0, 0, 0)
        self.assertEqual(self.summary('shop'), expected)
        self.assertEqual(self.summary('m').slots, 16)

    def test_old_report_is_not_shown(self) -> None:
        self.tracker.reported('s1', LoadReport(8, '', 0.5, waiting=2))
        self.assertEqual(self.summary('shop', 11).running, 0)

    def test_speed_is_shown_where_it_is_known(self) -> None:
        self.tracker.reported('s1', LoadReport(0, '', 0.9, 2.5))
        self.assertEqual(self.summary('shop').slowdown, Range(1, 1.75, 2.5))
        self.assertEqual(self.summary('shop').speed, Range(1, 1, 1))
        self.assertIsNone(self.summary('m').slowdown)

    def test_states_are_counted(self) -> None:
        self.tracker.suspect('s1', 0.9)
        self.tracker.set_leaving('s2', is_leaving=True)
        self.tracker.limiter = mock.Mock()
        self.tracker.limiter.is_paused.side_effect = {'s2'}.__contains__
        shop = self.summary('shop')
        states = (shop.paused, shop.suspected, shop.leaving)
        self.assertEqual(states, (1, 1, 1))
