"""Tests of the paces that a daemon keeps, without network."""

import unittest

from ..event_pace import PaceSample
from ..fleet_paces import FleetPaces, PaceKey

_KEY = PaceKey('s1')


class FleetPacesTest(unittest.TestCase):
    """Hosts start, stop and get new names for as long as a server lives."""

    def test_paces_of_former_daemons_are_dropped(self) -> None:
        """The paces of all daemons that ever told one were kept."""
        paces = FleetPaces()
        for at_s in range(1000):
            paces.add_received(_KEY, f'host-{at_s}', PaceSample(0.03, at_s))
            paces.latest()
        self.assertLessEqual(paces.received_count(_KEY), 130)
        pace = paces.latest()[_KEY]
        self.assertEqual((pace.pace_s, pace.at_s), (0.03, 999))

    def test_pace_that_is_heard_again_remains(self) -> None:
        paces = FleetPaces()
        for at_s in range(0, 1000, 10):
            paces.add_received(_KEY, 'host', PaceSample(0.03, at_s))
            self.assertEqual(paces.latest()[_KEY].at_s // 10, at_s // 10)
