"""
A daemon that begins to drive a move in its middle gets all evidence.

Pattern: the driver is killed and starts again, or another daemon takes its
place, while reports of all daemons go on.
"""

import unittest
from typing import Any, cast

from ..driver import MoveDriver
from ..evidence import bucket_of_s
from ..exposure import ExposureLimit
from ..move_table import MoveTable
from ..record import MoveRecord
from ..reports import (
    EvidenceEntry,
    MoveReport,
    MoveTotals,
    ReportTotals,
    evidence_of,
)

_RECORD = MoveRecord('m', 'shop', 'v1', 'v2', 0, 16, 'nino', 'newer', share=0.4)


def _entry(server: str = 'b', requests: int = 2) -> EvidenceEntry:
    first_token = (bucket_of_s(0.1), requests)
    return EvidenceEntry('lookups', server, 'v2', requests, 1, first_token)


def _driver() -> MoveDriver:
    return MoveDriver(
        'h1',
        cast('Any', None),
        MoveTable(),
        lambda _: None,
        ExposureLimit(),
    )


def _answered(driver: MoveDriver) -> int:
    """Return the ended requests that the driver will count in its next step."""
    reports = driver._reports_by_id['m']
    entries = tuple(entry for report in reports for entry in report.entries)
    return sum(
        server.requests
        for evidence in evidence_of(entries).values()
        for server in evidence.by_server.values()
    )


class TakeoverTest(unittest.TestCase):
    """Each request counts once, whoever reports it when."""

    def setUp(self) -> None:
        self.host = ReportTotals('h2')
        self.host.begin('m', is_whole=True)
        self.sent = [self.host.make_report('m', (_entry(),)) for _ in range(3)]

    # Guards against a driver that starts again without what was seen.
    def test_evidence_outlives_the_driver(self) -> None:
        driver = _driver()
        driver.take_over(_RECORD, (self.host.total('m'),), daemons=1)
        self.assertEqual(_answered(driver), 6)
        self.assertEqual(driver._progress_by_id['m'].coverage, 1)

    def test_reports_around_the_totals_count_once(self) -> None:
        driver = _driver()
        driver.add_report(self.sent[-1])
        totals = self.host.total('m')
        later = self.host.make_report('m', (_entry(),))
        driver.add_report(later)
        driver.take_over(_RECORD, (totals,), daemons=1)
        # A report that was on its way while the totals were asked for.
        driver.add_report(self.sent[1])
        driver.add_report(self.host.make_report('m', (_entry(),)))
        self.assertEqual(_answered(driver), 10)

    def test_reports_without_a_number_count(self) -> None:
        driver = _driver()
        driver.take_over(_RECORD, (self.host.total('m'),), daemons=2)
        driver.add_report(MoveReport('m', 'h3', (_entry(),)))
        self.assertEqual(_answered(driver), 8)
        self.assertEqual(driver._progress_by_id['m'].coverage, 0.5)

    def test_restarted_host_has_not_seen_all(self) -> None:
        restarted = ReportTotals('h2')
        restarted.begin('m', is_whole=False)
        report = restarted.make_report('m', (_entry(),))
        # Its numbers go on where those before the restart ended.
        self.assertGreaterEqual(report.sequence, self.sent[0].sequence)
        totals = restarted.total('m')
        self.assertEqual(totals, MoveTotals(report, is_whole=False))

    def test_ended_moves_are_forgotten(self) -> None:
        driver = _driver()
        driver.take_over(_RECORD, (self.host.total('m'),), daemons=1)
        driver.keep_only(())
        self.host.keep_only(())
        self.assertFalse(driver.is_driving('m'))
        self.assertEqual(self.host.total('m').report.entries, ())


if __name__ == '__main__':
    unittest.main()
