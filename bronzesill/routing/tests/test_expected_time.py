"""
Choice of a server by the expected time of a stream.

Pattern: engines of several speeds, machines that are slow for half a second,
prompts of 8,000 tokens that stall the other streams of an engine for a second.
"""

import collections
import dataclasses
import unittest
from random import Random

from ..choose import Requirements, choose_copy_holder, choose_server
from ..expected_time import ExpectedTime, ServiceRates, StreamSize, slowed_s
from ..service_rates import RateSamples
from ..views import ServerView

_SIZE = StreamSize(8_000, 1_500)
_RATES = ServiceRates(8_000, 0.03, 8_000, 130)
_REQUIREMENTS = Requirements(
    'm', '', is_usage_shared=True, size=_SIZE, rates=_RATES
)
_IDLE = ServerView('idle', 'a', 'm', 'v1', 16, report_age_s=9)


def _choose(*views: ServerView) -> str:
    chosen = choose_server(views, _REQUIREMENTS, Random(1))
    assert chosen is not None
    return chosen.name


def _named(
    name: str, view: ServerView = _IDLE, **changes: object
) -> ServerView:
    return dataclasses.replace(view, name=name, **changes)  # type: ignore


class ExpectedChoiceTest(unittest.TestCase):
    """The server with the shortest expected time is chosen."""

    def test_faster_server_is_chosen(self) -> None:
        slow = _named('slow', speed=0.6)
        self.assertEqual(_choose(slow, _named('fast', speed=1.6)), 'fast')

    # Guards against a prompt that stalls six streams although an idle engine
    # answers nearly as soon.
    def test_streams_that_run_there_count(self) -> None:
        busy = _named('busy', speed=1.6, others_running=6)
        self.assertEqual(_choose(busy, _IDLE), 'idle')

    def test_prompts_that_are_read_before_count(self) -> None:
        reading = _named('reading', own_running=2, own_prefilling=2)
        decoding = _named('decoding', own_running=2)
        self.assertEqual(_choose(reading, decoding), 'decoding')

    # Guards against a choice that treats a slowdown of half a second as if it
    # held for the whole answer.
    def test_slowdown_counts_for_the_time_that_it_lasts(self) -> None:
        slowed = _named('slowed', speed=1.6, slowdown=2.5)
        self.assertEqual(_choose(slowed, _IDLE), 'slowed')
        self.assertEqual(_choose(_named('slow', slowdown=2.5), _IDLE), 'idle')
        self.assertAlmostEqual(slowed_s(5, 2.5), 5.18)
        self.assertAlmostEqual(slowed_s(0.1, 2.5), 0.25)

    def test_short_memory_counts_also_where_its_size_is_unknown(self) -> None:
        full = _named('full', speed=1.6, tokens=80_000)
        self.assertEqual(_choose(full, _IDLE), 'idle')
        known = _named('known', speed=1.6, tokens=80_000, memory_tokens=320_000)
        self.assertEqual(_choose(known, _IDLE), 'known')

    def test_excluding_limits_stay(self) -> None:
        crowded = _named('crowded', speed=4, own_running=33)
        suspected = _named('suspected', speed=4, is_suspected=True)
        self.assertEqual(_choose(crowded, suspected, _IDLE), 'idle')

    # Guards against all hosts that see the same idle servers choosing one.
    def test_near_ties_are_broken_at_random(self) -> None:
        views = tuple(
            _named(f's{number}', speed=1 + 0.001 * number)
            for number in range(20)
        )
        chosen = collections.Counter(
            choose_server(views, _REQUIREMENTS, Random(seed))
            for seed in range(195)
        )
        self.assertGreater(len(chosen), 15)
        self.assertLess(max(chosen.values()), 25)


class DomainPreferenceTest(unittest.TestCase):
    """A domain that started earlier is likelier to go down during an answer."""

    def setUp(self) -> None:
        self.domains = tuple(
            _named(
                f's{rank}', failure_domain=str(rank), domain_started_at_s=rank
            )
            for rank in range(0, 20, 4)
        )

    def test_domain_that_started_last_is_preferred(self) -> None:
        self.assertEqual(_choose(*self.domains), 's16')

    # The unit of the rank is the fill; with it a rank weighed as much as about
    # one running stream of 16.
    def test_rank_weighs_as_much_as_about_one_stream(self) -> None:
        *_, earlier, last = self.domains
        for running, name in ((0, 's16'), (2, 's12')):
            busy = dataclasses.replace(last, own_running=running)
            self.assertEqual(_choose(earlier, busy), name)

    def test_copy_is_placed_by_domain_before_speed(self) -> None:
        *_, earlier, last, primary = self.domains
        fast = dataclasses.replace(earlier, speed=1.6)
        holder = choose_copy_holder(
            (fast, last, primary), _REQUIREMENTS, primary, Random(1)
        )
        self.assertEqual(holder, last)
        same = dataclasses.replace(
            fast, failure_domain='12', domain_started_at_s=12
        )
        holder = choose_copy_holder(
            (same, last, primary), _REQUIREMENTS, primary, Random(1)
        )
        self.assertEqual(holder, same)


class RatesTest(unittest.TestCase):
    """Rates follow the attempts, and a few odd ones change little."""

    def test_defaults_count_until_enough_is_known(self) -> None:
        samples = RateSamples()
        samples.add_first_event(8_000, 4.0)
        self.assertEqual(samples.rates(None), ServiceRates())

    # Guards against the rate of one deployment in the others.
    def test_rates_are_learnt(self) -> None:
        samples = RateSamples()
        for number in range(20):
            is_queued = number % 2
            samples.add_first_event(6_000, 9.0 if is_queued else 3.0)
            samples.add_answer(400)
        rates = samples.rates(0.1)
        self.assertAlmostEqual(rates.prefill_tokens_per_s, 2_000)
        self.assertEqual(rates, ServiceRates(2_000, 0.1, 6_000, 400))

    def test_unstated_size_is_the_typical_one(self) -> None:
        stated = ExpectedTime(_RATES, _SIZE, '', (_IDLE,))
        unstated = ExpectedTime(_RATES, StreamSize(), '', (_IDLE,))
        self.assertEqual(unstated.answer_s(_IDLE), stated.answer_s(_IDLE))


if __name__ == '__main__':
    unittest.main()
