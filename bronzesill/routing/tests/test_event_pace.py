"""
Pace of servers from the events of streams.

Pattern: engines send an event every 0.03 s; while one prefills a prompt, the
events of its other streams come every 0.25 s, and a busy host reads several
events at once.
"""

import dataclasses
import unittest
from random import Random

from ...config import BackendServer
from ...utils import Address
from ..event_pace import EventPace
from ..records import LoadReport
from ..server_tracker import ServerTracker
from ..use_reports import ServerPace, UseReport

_GAP_S = 0.03
_PREFILL_GAP_S = 0.25
_NAMES = tuple(f's{number}' for number in range(9))


def _repeated(gaps_s: tuple[float, ...], count: int) -> list[float]:
    return [gap_s for _ in range(count) for gap_s in gaps_s]


def _paces(arrivals_s: list[float]) -> list[float]:
    pace = EventPace()
    arrived = [pace.arrived(at_s) for at_s in arrivals_s]
    return [gap_s for gap_s in arrived if gap_s is not None]


def _arrivals(gaps_s: list[float]) -> list[float]:
    return [sum(gaps_s[:count]) for count in range(len(gaps_s) + 1)]


class EventPaceTest(unittest.TestCase):
    """The pace of a stream shows early and without its disturbances."""

    def test_pace_is_known_after_some_ten_events(self) -> None:
        paces = _paces(_arrivals(_repeated((_GAP_S,), 11)))
        self.assertEqual(len(paces), 1)
        self.assertAlmostEqual(paces[0], _GAP_S)

    # Guards against an engine that counts as slow as it prefilled a prompt.
    def test_prefill_of_other_prompts_does_not_count(self) -> None:
        gaps_s = _repeated((_GAP_S, _GAP_S, _PREFILL_GAP_S), 4)
        self.assertAlmostEqual(_paces(_arrivals(gaps_s))[0], _GAP_S)

    # Guards against an engine that counts as fast, as a busy host read three
    # of its events at once.
    def test_events_of_one_read_tell_one_gap(self) -> None:
        reads_s = _arrivals(_repeated((3 * _GAP_S,), 11))
        arrivals_s = [
            at_s + 0.0001 * number for at_s in reads_s for number in range(3)
        ]
        self.assertAlmostEqual(_paces(arrivals_s)[0], _GAP_S, delta=0.001)


class SharedPaceTest(unittest.TestCase):
    """Each of many daemons starts a stream every six seconds only."""

    def setUp(self) -> None:
        self.random = Random(1)
        self.trackers = [self.make_tracker() for _ in range(4)]

    def make_tracker(self) -> ServerTracker:
        tracker = ServerTracker()
        tracker.replace_servers(
            {
                name: BackendServer(
                    Address('10.0.0.1', 80), 'a', 'v1', model='m'
                )
                for name in _NAMES
            }
        )
        tracker.reported('s0', LoadReport(0, '', 0.0, 1.0))
        return tracker

    def measure(self, tracker: ServerTracker, now_s: float) -> None:
        """Measure all servers, the first ones slow and the last ones fast."""
        for number, name in enumerate(_NAMES):
            pace_s = _GAP_S / (0.6, 1.0, 1.6)[number // 3]
            for _ in range(10):
                slowdown = 2.5 if self.random.random() < 1 / 7 else 1
                tracker.speeds.measured(name, pace_s * slowdown, now_s)

    def assert_speeds(self, tracker: ServerTracker) -> None:
        for number, name in enumerate(_NAMES):
            speed = (0.6, 1.0, 1.6)[number // 3]
            self.assertAlmostEqual(
                tracker.speeds.relative_speed(name), speed, delta=0.1 * speed
            )

    def test_speeds_are_relative_to_the_median(self) -> None:
        self.measure(self.trackers[0], 1.0)
        self.assert_speeds(self.trackers[0])
        known = self.trackers[0].speeds.known('s0', 4.0)
        self.assertEqual((known.samples, known.age_s), (10, 3))

    def test_slowdown_known_at_the_time_does_not_count(self) -> None:
        tracker = self.trackers[0]
        for now_s in range(30):
            tracker.reported('s1', LoadReport(0, '', now_s, 2.5))
            tracker.speeds.measured('s0', _GAP_S, now_s)
            tracker.speeds.measured('s1', 2.5 * _GAP_S, now_s)
        self.assertAlmostEqual(tracker.speeds.relative_speed('s1'), 1)

    # Guards against a server that counts as fast since it got more of the
    # short calls.
    def test_routes_of_different_durations_are_not_mixed(self) -> None:
        tracker = self.trackers[0]
        for number, name in enumerate(_NAMES):
            for sample in range(12):
                is_short = sample < number
                tracker.speeds.measured(
                    name,
                    0.02 if is_short else 0.2,
                    1.0,
                    'look-ups' if is_short else 'orders',
                )
        for name in _NAMES:
            self.assertAlmostEqual(tracker.speeds.relative_speed(name), 1)

    def test_paces_of_other_daemons_count(self) -> None:
        self.measure(self.trackers[0], 1.0)
        report = self.trackers[0].build_use_report('d0', 1, 1.1, 2.0)
        self.assertEqual(len(report.paces), len(_NAMES))
        self.trackers[1].apply_use_report(report, 1.2)
        self.assert_speeds(self.trackers[1])

    def test_totals_of_a_collector_contain_the_paces(self) -> None:
        measuring, collector, asking, _ = self.trackers
        self.measure(measuring, 1.0)
        collector.apply_use_report(
            measuring.build_use_report('d0', 1, 1.1, 2.0), 1.2
        )
        own = UseReport('d1', 1, ())
        asking.apply_use_report(collector.build_totals(own, 'd2', 60), 60)
        self.assert_speeds(asking)

    # Guards against reports that grow with all that was ever measured.
    def test_only_recent_measurements_are_reported(self) -> None:
        self.measure(self.trackers[0], 1.0)
        report = self.trackers[0].build_use_report('d0', 1, 9.0, 2.0)
        self.assertEqual(report.paces, ())

    def test_old_paces_count_no_longer(self) -> None:
        tracker = self.trackers[0]
        self.measure(tracker, 1.0)
        tracker.speeds.measured('s4', _GAP_S, 200.0)
        self.assertEqual(tracker.speeds.relative_speed('s0'), 1)

    def test_restarted_server_keeps_the_pace_of_its_machine(self) -> None:
        """Each crash of a domain sent streams to its slow engines again."""
        tracker = self.trackers[0]
        self.measure(tracker, 1.0)
        tracker.forget('s0')
        self.assertLess(tracker.speeds.relative_speed('s0'), 0.7)
        listed = dict(tracker.servers_by_name)
        restarted = listed.pop('s0')
        tracker.replace_servers(listed)
        tracker.replace_servers({**listed, 's0-again': restarted})
        self.assertLess(tracker.speeds.relative_speed('s0-again'), 0.7)

    def test_pace_of_a_former_server_is_outweighed(self) -> None:
        """Another machine behind a known address must get its own speed."""
        tracker = self.trackers[0]
        self.measure(tracker, 1.0)
        listed = dict(tracker.servers_by_name)
        restarted = listed.pop('s0')
        tracker.replace_servers(listed)
        tracker.replace_servers({**listed, 's0-again': restarted})
        for _ in range(15):
            tracker.speeds.measured('s0-again', _GAP_S / 1.6, 2.0)
        self.assertGreater(tracker.speeds.relative_speed('s0-again'), 1.4)

    def test_server_of_another_service_has_no_former_pace(self) -> None:
        """Addresses are used again by servers of other services."""
        tracker = self.trackers[0]
        self.measure(tracker, 1.0)
        listed = dict(tracker.servers_by_name)
        other = dataclasses.replace(listed.pop('s0'), model='other')
        tracker.replace_servers(listed)
        tracker.replace_servers({**listed, 's0-other': other})
        self.assertEqual(tracker.speeds.relative_speed('s0-other'), 1)

    def test_wrong_paces_do_little_harm(self) -> None:
        tracker = self.trackers[0]
        self.measure(tracker, 1.0)
        told = (ServerPace('s0', 0, 5), ServerPace('s1', 200, 1 << 40, -3))
        wrong = ServerPace('s8', 500, 1 << 40)
        report = UseReport('d9', 1, (), paces=(*told, wrong))
        tracker.apply_use_report(report, 1.0)
        for name, speed in (('s0', 0.6), ('s1', 0.6), ('s8', 4)):
            self.assertAlmostEqual(
                tracker.speeds.relative_speed(name), speed, delta=0.1
            )

    # Guards against other decisions for deployments without slowdowns.
    def test_service_without_slowdowns_has_no_paces(self) -> None:
        tracker = ServerTracker()
        tracker.replace_servers(self.trackers[0].servers_by_name)
        self.measure(tracker, 1.0)
        self.assertEqual(tracker.speeds.relative_speed('s0'), 1)
        report = tracker.build_use_report('d0', 1, 1.0, 2.0)
        self.assertTrue(report.is_empty)


if __name__ == '__main__':
    unittest.main()
