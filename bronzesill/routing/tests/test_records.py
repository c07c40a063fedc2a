"""Servers that give no answer are avoided longer each time in a row."""

import unittest

from ..records import ServerRecord


class RecordTest(unittest.TestCase):
    """Evidence against one server."""

    def lose(self, record: ServerRecord, now_s: float) -> ServerRecord:
        return record.failed(now_s).avoided(now_s)

    def test_hung_server_is_tried_less_and_less(self) -> None:
        record = ServerRecord()
        spans = []
        now_s = 0.0
        for _ in range(5):
            record = self.lose(record, now_s)
            spans.append(record.suspected_until_s - now_s)
            now_s = record.suspected_until_s
        self.assertEqual(spans, [3, 6, 12, 12, 12])

    def test_answer_ends_the_row(self) -> None:
        record = self.lose(self.lose(ServerRecord(), 0), 3)
        record = record.answered(is_failure=False)
        again = self.lose(record, 20)
        self.assertEqual(again.suspected_until_s, 23)

    def test_failures_that_are_answers_raise_only_the_rate(self) -> None:
        record = ServerRecord()
        for _ in range(20):
            record = record.answered(is_failure=True)
        self.assertGreater(record.failure_rate, 0.6)
        self.assertEqual(record.suspected_until_s, 0)
