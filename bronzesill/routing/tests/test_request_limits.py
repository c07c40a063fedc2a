"""
Requests of all daemons to a server that names a limit for them together.

Pattern: callers press on every host of a small or large fleet at once, in
bursts or steadily, while a server takes only a few requests a second.
"""

import itertools
import unittest
from random import Random

from ..request_limits import FleetPosition, RequestLimits

_WINDOW_S = 4.0
_STEP_S = 0.05
_LENGTH_S = 60.0
#: An arbitrary Unix time in seconds.
_START_S = 1_780_000_000.0


class _Fleet:
    """Daemons that send to one server whenever they may and want to."""

    def __init__(self, count: int, per_s: float) -> None:
        self.positions = [FleetPosition(rank, count) for rank in range(count)]
        self.limits = [
            RequestLimits().named('s', per_s, _START_S) for _ in range(count)
        ]
        self.sent_at_s: list[float] = []

    def play(self, wants: float, random: Random) -> None:
        for step in range(int(_LENGTH_S / _STEP_S)):
            now_s = _START_S + step * _STEP_S
            for rank, position in enumerate(self.positions):
                limits = self.limits[rank]
                is_open = not limits.wait_s('s', position, now_s)
                if is_open and random.random() < wants:
                    self.limits[rank] = limits.sent('s', position, now_s)
                    self.sent_at_s.append(now_s)

    def largest_window(self) -> int:
        return max(
            sum(
                start_s <= at_s < start_s + _WINDOW_S for at_s in self.sent_at_s
            )
            for start_s in self.sent_at_s
        )


class ManyDaemonsTest(unittest.TestCase):
    """The sum over all daemons stays within the limit at any size."""

    def test_sum_in_any_window(self) -> None:
        cases = itertools.product((1, 8, 59, 195), (0.5, 2.6, 40.0), (1, 0.05))
        for count, per_s, wants in cases:
            with self.subTest(count=count, per_s=per_s, wants=wants):
                fleet = _Fleet(count, per_s)
                fleet.play(wants, Random(1))
                allowed = 1.5 * _WINDOW_S * per_s + 5
                self.assertLessEqual(fleet.largest_window(), allowed)

    def test_limit_is_used(self) -> None:
        for count in (1, 8, 59):
            with self.subTest(count=count):
                fleet = _Fleet(count, 4)
                fleet.play(0.2, Random(1))
                self.assertGreater(len(fleet.sent_at_s), 0.8 * 4 * _LENGTH_S)


class NamingTest(unittest.TestCase):
    """A limit holds for as long as a server names it."""

    position = FleetPosition()

    def test_ends_when_it_is_named_no_more(self) -> None:
        limits = RequestLimits().named('s', 0.5, 100)
        self.assertGreater(limits.wait_s('s', self.position, 100.1), 0)
        early = limits.named('s', None, 100.5)
        self.assertGreater(early.wait_s('s', self.position, 100.6), 0)
        ended = limits.named('s', None, 101.5)
        self.assertEqual(ended.wait_s('s', self.position, 101.6), 0)

    def test_zero_is_asked_again_later(self) -> None:
        limits = RequestLimits().named('s', 0, 100)
        wait_s = limits.wait_s('s', self.position, 100)
        self.assertLessEqual(wait_s, 10)
        self.assertGreater(wait_s, 1)

    def test_small_changes_keep_slots(self) -> None:
        limits = RequestLimits().named('s', 1, 100)
        for step in range(1, 40):
            limits = limits.named('s', 1 + step % 3 / 100, 100 + step / 20)
        self.assertEqual(limits.wait_s('s', self.position, 102), 0)

    def test_other_servers_are_free(self) -> None:
        limits = RequestLimits().named('s', 1, 100)
        self.assertEqual(limits.wait_s('t', self.position, 100), 0)
        self.assertIs(limits.sent('t', self.position, 100), limits)
