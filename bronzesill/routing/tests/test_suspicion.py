"""
Tests of what the failure of some servers says of others.

Load pattern: engines that prefill many prompts are silent for long, and hosts
leave several of them within a second though they accept connections.
"""

import unittest

from ...config import BackendServer
from ...utils import Address
from ..server_tracker import ServerTracker


class SuspicionTest(unittest.TestCase):
    """A server that accepts connections is no evidence against its domain."""

    def setUp(self) -> None:
        self.tracker = ServerTracker()
        self.tracker.replace_servers(
            {
                name: BackendServer(Address('127.0.0.1', 1), 'a', 'v1', 'm')
                for name in ('s1', 's2', 's3')
            }
        )

    def suspected(self) -> set[str]:
        views = self.tracker.views(1.5)
        return {view.name for view in views if view.is_suspected}

    def test_two_accepting_servers_leave_the_others_trusted(self) -> None:
        """Copies on servers of the same domain were not used for 1.4 s."""
        for name in ('s1', 's2'):
            self.tracker.suspect(name, 1, is_alone=True)
        self.assertEqual(self.suspected(), {'s1', 's2'})
        self.assertEqual(self.tracker.failed_since(0), ())

    def test_two_dead_servers_are_evidence_against_their_domain(self) -> None:
        for name in ('s1', 's2'):
            self.tracker.suspect(name, 1)
        self.assertEqual(self.suspected(), {'s1', 's2', 's3'})
