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
#: Time for which daemons are dead, or their clocks wrong.
_DEAD_S = 10.0
#: An arbitrary Unix time in seconds.
_START_S = 1_780_000_000.0


class _Fleet:
    """Daemons that send to one server whenever they may and want to."""

    def __init__(self, count: int, per_s: float) -> None:
        self.count = count
        self.positions = [FleetPosition(rank, count) for rank in range(count)]
        self.limits = [
            RequestLimits().named('s', per_s, _START_S) for _ in range(count)
        ]
        self.sent_at_s: list[float] = []

    def play(self, wants: float, random: Random) -> None:
        for step in range(int(_LENGTH_S / _STEP_S)):
            now_s = _START_S + step * _STEP_S
            for rank in range(self.count):
                if self.try_to_send(rank, now_s, wants, random):
                    self.sent_at_s.append(now_s)

    def try_to_send(
        self, rank: int, now_s: float, wants: float, random: Random
    ) -> bool:
        position = self.positions[rank]
        limits = self.limits[rank]
        if limits.wait_s('s', position, now_s) or random.random() >= wants:
            return False
        self.limits[rank] = limits.sent('s', position, now_s)
        return True

    def largest_window(self) -> int:
        return max(
            sum(
                start_s <= at_s < start_s + _WINDOW_S for at_s in self.sent_at_s
            )
            for start_s in self.sent_at_s
        )


class _DisturbedFleet(_Fleet):
    """
    Clocks jump on a third of the daemons; a quarter of them dies.

    The others learn of it after 0.2 to 3 s, and as late that they are back.
    """

    def __init__(self, count: int, per_s: float, random: Random) -> None:
        super().__init__(count, per_s)
        self._died_at_s = _START_S + random.uniform(10, 40)
        self._dead = frozenset(random.sample(range(count), count // 4))
        survivors = [rank for rank in range(count) if rank not in self._dead]
        self._after_deaths = {
            rank: FleetPosition(place, len(survivors))
            for place, rank in enumerate(survivors)
        }
        self._all_known = tuple(self.positions)
        self._delays_s = [random.uniform(0.2, 3) for _ in range(count)]
        self._jumps_s = [
            random.choice((0, 0, 0, 0, -2, 2)) for _ in range(count)
        ]
        self._jump_at_s = [
            _START_S + random.uniform(5, 40) for _ in range(count)
        ]

    def try_to_send(
        self, rank: int, now_s: float, wants: float, random: Random
    ) -> bool:
        is_after = 0 <= now_s - self._died_at_s < _DEAD_S
        if rank in self._dead and is_after:
            return False
        is_known = 0 <= now_s - self._died_at_s - self._delays_s[rank] < _DEAD_S
        if rank not in self._dead:
            self.positions[rank] = (
                self._after_deaths[rank] if is_known else self._all_known[rank]
            )
        has_jumped = 0 <= now_s - self._jump_at_s[rank] < _DEAD_S
        clock_s = now_s + self._jumps_s[rank] * has_jumped
        return super().try_to_send(rank, clock_s, wants, random)


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

    # Guards against hosts that exceed a limit together while their clocks, or
    # the hosts that they know, differ.
    def test_sum_while_clocks_and_views_differ(self) -> None:
        cases = itertools.product((8, 59, 195), (2.6, 40.0), (1,))
        for count, per_s, seed in cases:
            with self.subTest(count=count, per_s=per_s, seed=seed):
                fleet = _DisturbedFleet(count, per_s, Random(seed))
                fleet.play(1, Random(seed))
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
