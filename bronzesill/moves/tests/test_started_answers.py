"""
Comparison of times to the first token while the load changes.

Pattern: both versions become slower, or faster, during a move.
"""

import unittest

from ..evidence import Evidence, ServerEvidence, StartedAnswers, bucket_of_s

_FAST_S = 0.02
_SLOW_S = 0.06
_STEPS = 5


def _server(version: str, answers: int, first_token_s: float) -> ServerEvidence:
    counts = list(ServerEvidence('').first_token)
    counts[bucket_of_s(first_token_s)] = answers
    return ServerEvidence(version, first_token=tuple(counts))


def _add(
    started: StartedAnswers, *, old_s: float, new_s: float, is_early: bool
) -> StartedAnswers:
    """Add answers; in the early stages most are of the old version."""
    old = _server('v1', 10 if is_early else 3, old_s)
    new = _server('v2', 0 if is_early else 3, new_s)
    for _ in range(_STEPS):
        started = started.updated_with(
            Evidence({'a': old, 'b': new}), 'v2', 'v1'
        )
    return started


class ChangingLoadTest(unittest.TestCase):
    """Answers are compared with those of the same time."""

    # Guards against a good version that is rolled back as the load rises.
    def test_rising_load_does_not_speak_against_a_version(self) -> None:
        started = _add(
            StartedAnswers(), old_s=_FAST_S, new_s=_FAST_S, is_early=True
        )
        started = _add(started, old_s=_SLOW_S, new_s=_SLOW_S, is_early=False)
        self.assertTrue(started.speaks_for_new)

    # Guards against the commit of a slow version after a load has passed.
    def test_falling_load_does_not_speak_for_a_slow_version(self) -> None:
        started = _add(
            StartedAnswers(), old_s=_SLOW_S, new_s=_SLOW_S, is_early=True
        )
        started = _add(started, old_s=_FAST_S, new_s=_SLOW_S, is_early=False)
        self.assertFalse(started.speaks_for_new)

    def test_answers_before_those_of_the_old_version_count(self) -> None:
        fast = Evidence({'b': _server('v2', 3, _FAST_S)})
        old = Evidence({'a': _server('v1', 3, _FAST_S)})
        started = StartedAnswers().updated_with(fast, 'v2', 'v1')
        started = started.updated_with(old, 'v2', 'v1')
        self.assertTrue(started.speaks_for_new)
        self.assertEqual(
            started.explain(), '3 began, 0 late, 3 of the old version'
        )
