"""Tests of the gain of a stream that is handed over to another server."""

import dataclasses
import math
import unittest

from ..expected_time import ServiceRates
from ..handover import handover_gain_s
from ..views import ServerView

_RATES = ServiceRates(8000, 0.03, 8000, 130)
_IDLE = ServerView('s1', 'a', 'm', 'v1', 16, is_speed_used=True)


class HandoverGainTest(unittest.TestCase):
    """Streams on engines that prefill, beside engines that decode only."""

    def gain_s(self, current: ServerView, holder: ServerView) -> float:
        return handover_gain_s(current, holder, _RATES, 100)

    def test_equal_servers_gain_nothing(self) -> None:
        self.assertLess(self.gain_s(_IDLE, _IDLE), 0)

    def test_prompts_at_the_server_are_escaped(self) -> None:
        busy = dataclasses.replace(_IDLE, others_prefilling=2)
        self.assertGreater(self.gain_s(busy, _IDLE), 1)
        self.assertLess(self.gain_s(busy, busy), 0)

    def test_speed_counts(self) -> None:
        fast = dataclasses.replace(_IDLE, speed=1.6)
        self.assertGreater(self.gain_s(_IDLE, fast), 0.5)

    def test_full_server_takes_no_stream(self) -> None:
        """A stream that ran waited for a slot on the server with its copy."""
        busy = dataclasses.replace(_IDLE, others_prefilling=3)
        full = dataclasses.replace(_IDLE, others_running=16)
        self.assertEqual(self.gain_s(busy, full), -math.inf)
        almost_full = dataclasses.replace(_IDLE, others_running=15)
        self.assertGreater(self.gain_s(busy, almost_full), 1)

    def test_stream_about_to_end_stays(self) -> None:
        """A stream was paused and moved for the sake of its last event."""
        busy = dataclasses.replace(_IDLE, others_prefilling=3)
        for events_left in (0, 1, 5):
            gain_s = handover_gain_s(busy, _IDLE, _RATES, events_left)
            # Of ten events that are due in a prefill one arrives.
            self.assertLessEqual(gain_s, 9 * events_left * _RATES.event_s)

    def test_domain_that_fails_next_gains_less(self) -> None:
        """Streams were handed over just before the other domain failed."""
        busy = dataclasses.replace(
            _IDLE, others_prefilling=1, domain_started_at_s=10
        )
        later = dataclasses.replace(_IDLE, domain_started_at_s=10)
        self.assertLess(
            self.gain_s(busy, _IDLE) + 0.9, self.gain_s(busy, later)
        )
