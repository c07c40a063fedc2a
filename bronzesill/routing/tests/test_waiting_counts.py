"""Numbers of waiting requests in the use reports of daemons."""

import unittest

from ...config import BackendServer
from ...utils import Address
from ..choose import count_free
from ..server_tracker import ServerTracker
from ..use_reports import FleetUse, ServerUse, UseReport, WaitingCount
from ..views import ServerView

_WAITING = (WaitingCount('guide', 0, 2), WaitingCount('guide', 1, 3))


def _report(daemon: str, waiting: tuple[WaitingCount, ...]) -> UseReport:
    return UseReport(daemon, 1, (), waiting=waiting)


class WaitingCountsTest(unittest.TestCase):
    """Hosts know how many requests wait elsewhere, while it is recent."""

    def setUp(self) -> None:
        self.use = FleetUse().with_report(_report('d1', _WAITING), 0)
        self.use = self.use.with_report(_report('d2', _WAITING[:1]), 1.5)

    def test_reports_are_added_up(self) -> None:
        """Guards against a share by one other host only."""
        self.assertEqual(
            set(self.use.waiting(1.9)),
            {WaitingCount('guide', 0, 4), WaitingCount('guide', 1, 3)},
        )

    def test_old_reports_count_as_absent(self) -> None:
        """Guards against slots left to a host whose reports stopped."""
        self.assertEqual(self.use.waiting(2), _WAITING[:1])
        self.assertEqual(self.use.waiting(3.5), ())
        self.assertFalse(self.use.is_waiting_told(3.5))

    def test_host_of_a_former_build_has_none_waiting(self) -> None:
        """Guards against reports without the field."""
        old = UseReport('d3', 1, (ServerUse('s1', 1, 0),))
        use = FleetUse().with_report(old, 0)
        self.assertEqual(use.waiting(0), ())
        self.assertTrue(use.is_waiting_told(0))

    def test_collector_adds_what_waits_with_it_and_with_others(self) -> None:
        """Guards against large fleets in which no host hears of others."""
        tracker = ServerTracker()
        tracker.replace_servers(
            {'s1': BackendServer(Address('127.0.0.1', 1), 'a', 'v1')}
        )
        tracker.list_waiting = lambda: _WAITING[1:]
        tracker.apply_use_report(_report('d1', _WAITING[:1]), 0)
        own = tracker.build_use_report('collector', 1, 0, 2)
        self.assertFalse(own.is_empty)
        totals = tracker.build_totals(own, 'd2', 0)
        self.assertEqual(set(totals.waiting), set(_WAITING))
        self.assertEqual(
            tracker.build_totals(own, 'd1', 0).waiting, _WAITING[1:]
        )


class FreeStreamsTest(unittest.TestCase):
    """How many more streams the servers of a model may be sent."""

    def count(self, **changes: object) -> float:
        """Return the free streams of one server."""
        fields = {'capacity': 10, 'own_running': 5, **changes}
        view = ServerView('s1', 'a', 'guide', 'v1', **fields)  # type: ignore[arg-type]
        return count_free((view,), 'guide')

    def test_bounds_of_the_choice_of_servers(self) -> None:
        """Guards against a number that the choice of servers refuses."""
        self.assertEqual(self.count(), 15)
        self.assertEqual(self.count(own_running=20), 0)
        memory = self.count(tokens=50, memory_tokens=100)
        self.assertAlmostEqual(memory, 6)
        self.assertEqual(self.count(is_leaving=True), 0)


if __name__ == '__main__':
    unittest.main()
