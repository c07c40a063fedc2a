"""Tests of the suspicion time of unresponsive servers."""

import unittest

from ..records import ServerRecord


class RecordTest(unittest.TestCase):
    """Suspicion time and failure rate of one server."""

    def after_failure(self, record: ServerRecord, now_s: float) -> ServerRecord:
        return record.failed(now_s).marked_suspected(now_s)

    def test_suspicion_time_doubles_up_to_its_limit(self) -> None:
        record = ServerRecord()
        spans = []
        now_s = 0.0
        for _ in range(5):
            record = self.after_failure(record, now_s)
            spans.append(record.suspected_until_s - now_s)
            now_s = record.suspected_until_s
        self.assertEqual(spans, [3, 6, 12, 12, 12])

    def test_response_resets_the_suspicion_time(self) -> None:
        record = self.after_failure(self.after_failure(ServerRecord(), 0), 3)
        record = record.answered(is_failure=False)
        again = self.after_failure(record, 20)
        self.assertEqual(again.suspected_until_s, 23)

    def test_failure_responses_raise_only_the_failure_rate(self) -> None:
        record = ServerRecord()
        for _ in range(20):
            record = record.answered(is_failure=True)
        self.assertGreater(record.failure_rate, 0.6)
        self.assertEqual(record.suspected_until_s, 0)
