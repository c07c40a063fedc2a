"""Tests of log rate limits and of the non-blocking output stream."""

import os
import time
import unittest

from ..logs import DroppingStream, LineRateLimiter


class LineRateLimiterTest(unittest.TestCase):
    """Lines above the limit per kind and second are suppressed and counted."""

    def test_next_line_counts_the_suppressed_ones(self) -> None:
        limiter = LineRateLimiter(max_lines_per_s=3)
        admitted = [limiter.admit('sent', 10.1) for _ in range(8)]
        self.assertEqual(sum(one is not None for one in admitted), 3)
        self.assertIsNotNone(limiter.admit('lost', 10.2))
        following = limiter.admit('sent', 11)
        assert following is not None
        self.assertEqual(following.suppressed, 5)


class DroppingStreamTest(unittest.TestCase):
    """A reader that stops reading does not block the writer."""

    def test_full_pipe_drops_lines(self) -> None:
        reader, writer = os.pipe()
        stream = DroppingStream(writer)
        started_s = time.monotonic()
        for _ in range(2000):
            stream.write('x' * 200)
        self.assertLess(time.monotonic() - started_s, 1)
        self.assertGreater(stream.dropped, 0)
        os.close(reader)
        stream.write('no reader\n')
        os.close(writer)

    def test_long_line_is_truncated(self) -> None:
        reader, writer = os.pipe()
        DroppingStream(writer).write('x' * 10_000)
        self.assertLess(len(os.read(reader, 20_000)), 4100)
        os.close(reader)
        os.close(writer)
