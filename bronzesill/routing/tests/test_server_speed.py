"""Tests of what is known of the speed of servers."""

import unittest

from ...config import BackendServer
from ...utils import Address
from ..records import LoadReport
from ..server_tracker import ServerTracker


class KnownSpeedTest(unittest.TestCase):
    """Slowdown of machines that work for others too."""

    def setUp(self) -> None:
        self.tracker = ServerTracker()
        self.tracker.replace_servers(
            {
                name: BackendServer(
                    Address('10.0.0.1', 80), 'a', 'v1', model='m'
                )
                for name in ('s1', 's2')
            }
        )

    def test_speed_counts_once_a_server_of_the_service_tells_it(self) -> None:
        self.tracker.reported('s1', LoadReport(3, '', 1.0))
        self.assertFalse(self.tracker.speeds.is_known_for('s1'))
        self.tracker.reported('s1', LoadReport(3, '', 1.0, 2.5))
        self.assertTrue(self.tracker.speeds.is_known_for('s2'))

    def test_speed_counts_where_requests_are_ranked(self) -> None:
        """Urgent streams waited behind the prompts of others."""
        self.tracker.speeds.are_streams_ranked = True
        self.assertTrue(self.tracker.speeds.is_known_for('s1'))
        self.assertIsNotNone(self.tracker.speeds.rates('m'))

    def test_slowdown_counts_for_a_short_time(self) -> None:
        """A slowdown that has passed must not keep work from a server."""
        self.tracker.reported('s1', LoadReport(3, '', 1.0, 2.5))
        self.assertEqual(self.tracker.speeds.slowdown('s1', 1.2), 2.5)
        self.assertEqual(self.tracker.speeds.slowdown('s1', 1.4), 1)
        self.assertEqual(self.tracker.speeds.slowdown('s2', 1.2), 1)

    def test_forgotten_server_is_not_known(self) -> None:
        self.assertFalse(self.tracker.speeds.is_known_for('s9'))
        self.assertEqual(self.tracker.speeds.relative_speed('s9'), 1)
