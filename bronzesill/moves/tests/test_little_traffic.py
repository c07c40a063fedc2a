"""
Moves with few, long requests to many servers.

Pattern: a model's servers answer three streams a second; a new version is
several times slower, so that nothing of it has ended when the move must.
"""

import random
import unittest

from ..evidence import Evidence, ServerEvidence, bucket_of_s
from ..policy import MoveAction, MoveProgress, decide
from ..record import MoveRecord

_WINDOW_S = 15.0
_TICK_S = 0.3
_REQUESTS_PER_S = 3.1
_SERVERS_PER_VERSION = 12
_SEED_COUNT = 30
_FIRST_TOKEN_S = 1.0
_STREAM_S = 2.0
_SLOW_FACTOR = 5.0


class _Streams:
    """
    Generator of what is seen of streams of both versions.

    :param seed: seed of the random generator.
    :param slow_factor: times of the new version relative to the old.
    """

    def __init__(self, seed: int, slow_factor: float) -> None:
        self._random = random.Random(seed)
        self._slow_factor = slow_factor
        self._due: list[tuple[float, Evidence]] = []

    def tick(self, now_s: float, share: float) -> dict[str, Evidence]:
        """Return the first tokens and ends since the last tick."""
        if self._random.random() < _REQUESTS_PER_S * _TICK_S:
            self._start(now_s, is_new=self._random.random() < share)
        seen = Evidence()
        for at_s, evidence in self._due:
            if at_s <= now_s:
                seen = seen.plus(evidence)
        self._due = [due for due in self._due if due[0] > now_s]
        return {'reports': seen} if seen.by_server else {}

    def _start(self, now_s: float, *, is_new: bool) -> None:
        version = 'v2' if is_new else 'v1'
        factor = self._slow_factor if is_new else 1
        server = f'{version}-{self._random.randrange(_SERVERS_PER_VERSION)}'
        first_s = factor * _FIRST_TOKEN_S * self._random.uniform(0.8, 1.3)
        counts = list(ServerEvidence('').first_token)
        counts[bucket_of_s(first_s)] = 1
        begun = ServerEvidence(version, first_token=tuple(counts))
        ended_at_s = now_s + first_s + factor * _STREAM_S
        self._due.append((now_s + first_s, Evidence({server: begun})))
        self._due.append(
            (ended_at_s, Evidence({server: ServerEvidence(version, 1)}))
        )


def _run(streams: _Streams) -> MoveAction:
    record = MoveRecord('m', 'm', 'v1', 'v2', 0, _WINDOW_S, 'nino', 'newer')
    progress = MoveProgress.from_record(record)
    for tick in range(1, int(_WINDOW_S / _TICK_S) + 2):
        now_s = tick * _TICK_S
        evidence = streams.tick(now_s, record.share)
        decision = decide(record, progress, evidence, now_s)
        progress = decision.progress
        if decision.action in {MoveAction.COMMIT, MoveAction.ROLL_BACK}:
            return decision.action
        if decision.action is MoveAction.INCREASE_SHARE:
            record = record.changed(
                now_s=now_s, by='d', note='', share=decision.share
            )
    raise AssertionError('the move did not end')


def _committed_seeds(slow_factor: float) -> list[int]:
    return [
        seed
        for seed in range(_SEED_COUNT)
        if _run(_Streams(seed, slow_factor)) is MoveAction.COMMIT
    ]


class SlowVersionTest(unittest.TestCase):
    """A version that nothing speaks for is not committed."""

    # Guards against the commit of a slow version of which no answer counts
    # yet: its requests are open, or the first ones of their servers.
    def test_slow_version_of_long_streams_is_taken_back(self) -> None:
        self.assertEqual(_committed_seeds(_SLOW_FACTOR), [])

    def test_slower_versions(self) -> None:
        for factor in (2.5, 3.0, 8.0):
            with self.subTest(factor=factor):
                self.assertLessEqual(len(_committed_seeds(factor)), 1)

    def test_most_good_versions_are_committed(self) -> None:
        self.assertGreater(len(_committed_seeds(1)), 0.8 * _SEED_COUNT)
