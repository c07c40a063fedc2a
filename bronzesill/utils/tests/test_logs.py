"""Lines are bounded, and nobody waits for who reads them."""

import os
import time
import unittest

from ..line_budget import LineBudget
from ..logs import DroppingStream


class BudgetTest(unittest.TestCase):
    """Lines of one kind are bounded a second and counted beyond."""

    def test_suppressed_lines_are_told_with_the_next_one(self) -> None:
        budget = LineBudget(lines_per_s=3)
        admitted = [budget.admit('sent', 10.1) for _ in range(8)]
        self.assertEqual(sum(one is not None for one in admitted), 3)
        self.assertIsNotNone(budget.admit('lost', 10.2))
        following = budget.admit('sent', 11)
        assert following is not None
        self.assertEqual(following.suppressed, 5)


class StreamTest(unittest.TestCase):
    """A reader that does not read stalls nothing."""

    def test_full_pipe_drops_lines(self) -> None:
        reader, writer = os.pipe()
        stream = DroppingStream(writer)
        started_s = time.monotonic()
        for _ in range(2000):
            stream.write('x' * 200)
        self.assertLess(time.monotonic() - started_s, 1)
        self.assertGreater(stream.dropped, 0)
        os.close(reader)
        stream.write('nobody reads\n')
        os.close(writer)

    def test_long_line_is_cut(self) -> None:
        reader, writer = os.pipe()
        DroppingStream(writer).write('x' * 10_000)
        self.assertLess(len(os.read(reader, 20_000)), 4100)
        os.close(reader)
        os.close(writer)
