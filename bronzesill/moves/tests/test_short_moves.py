"""Moves that have only seconds: judged early, told in time."""

import random
import unittest

from ..evidence import EngineEvidence, Evidence, bucket_of_s
from ..judge import Opinion
from ..order import MoveOrder, OrderStatus
from ..policy import MoveProgress, Verdict, decide
from ..record import MoveRecord, MoveState
from ..split import KnownMove
from ..telling import should_tell, status_of

_WINDOW_S = 12.0
_TICK_S = 0.5
_PER_S = 40
_SEEDS = 40
_SERVERS = 3
#: What a bad version may get: a tenth of all requests, and 50.
_EXPOSURE_RATIO = 0.1
_EXPOSURE_SLACK = 50
_BASE_FAILURES = 0.07
_BASE_S = 0.025


class _Traffic:
    """Requests of both versions, seeded."""

    def __init__(self, seed: int, failures: float, slowness: float) -> None:
        self._random = random.Random(seed)
        self._failures = failures
        self._slowness = slowness
        self.new_requests = 0

    def tick(self, share: float) -> dict[str, Evidence]:
        seen = Evidence()
        for _ in range(int(_PER_S * _TICK_S)):
            is_new = self._random.random() < share
            self.new_requests += is_new
            seen = seen.plus(self._request(is_new))
        return {'lookups': seen}

    def _request(self, is_new: bool) -> Evidence:
        failures = self._failures if is_new else _BASE_FAILURES
        slowness = self._slowness if is_new else 1
        is_failed = self._random.random() < failures
        counts = list(EngineEvidence('').first_token)
        if not is_failed:
            latency_s = _BASE_S * slowness * self._random.uniform(0.6, 1.6)
            counts[bucket_of_s(latency_s)] = 1
        version = 'v2' if is_new else 'v1'
        server = f'{version}-{self._random.randrange(_SERVERS)}'
        found = EngineEvidence(version, 1, int(is_failed), tuple(counts))
        return Evidence({server: found})


def _record() -> MoveRecord:
    return MoveRecord('m', 'shop', 'v1', 'v2', 0, _WINDOW_S, 'nino', 'newer')


def _run(traffic: _Traffic) -> tuple[Verdict, float]:
    record = _record()
    progress = MoveProgress.from_record(record)
    for tick in range(1, int(_WINDOW_S / _TICK_S) + 2):
        now_s = tick * _TICK_S
        seen = traffic.tick(record.share)
        decision = decide(record, progress, seen, now_s)
        progress = decision.progress
        if decision.verdict in {Verdict.COMMIT, Verdict.TAKE_BACK}:
            return decision.verdict, now_s
        if decision.verdict is Verdict.GROW:
            record = record.changed(
                now_s=now_s, by='d', note='', share=decision.share
            )
    raise AssertionError('the move did not end')


class ShortMoveTest(unittest.TestCase):
    """A move of 12 s ends in time, and a bad version gets little."""

    def test_good_versions_end_in_time_and_most_are_done(self) -> None:
        verdicts = []
        for seed in range(_SEEDS):
            traffic = _Traffic(seed, _BASE_FAILURES, 1)
            verdict, at_s = _run(traffic)
            self.assertLess(at_s, _WINDOW_S)
            verdicts.append(verdict)
        self.assertGreater(verdicts.count(Verdict.COMMIT), _SEEDS / 2)

    def test_failing_versions_are_taken_back(self) -> None:
        self.check_bad(failures=0.5, slowness=1)

    def test_slow_versions_are_taken_back(self) -> None:
        self.check_bad(failures=_BASE_FAILURES, slowness=5)

    def check_bad(self, failures: float, slowness: float) -> None:
        allowed = _EXPOSURE_RATIO * _PER_S * _WINDOW_S + _EXPOSURE_SLACK
        for seed in range(_SEEDS):
            traffic = _Traffic(seed, failures, slowness)
            verdict, _ = _run(traffic)
            self.assertIs(verdict, Verdict.TAKE_BACK, f'seed {seed}')
            self.assertLessEqual(traffic.new_requests, allowed)

    def test_first_share_is_under_what_a_bad_version_may_get(self) -> None:
        progress = MoveProgress.from_record(_record())
        first = progress.plan.stages[0]
        self.assertLess(first.share, _EXPOSURE_RATIO)
        self.assertIs(progress.opinion, Opinion.OPEN)


class TellingTest(unittest.TestCase):
    """Operators hear of an end once, and when they may act on it."""

    order = MoveOrder('shop', 'v2', _WINDOW_S, 7)

    def test_begun_requests_end_before_the_old_version_is_stopped(self) -> None:
        done = _record().changed(
            now_s=9, by='d', note='', state=MoveState.DONE, share=1
        )
        self.assertFalse(status_of(self.order, KnownMove(done), 10).is_done)
        self.assertTrue(status_of(self.order, KnownMove(done), 11).is_done)

    def test_a_move_taken_back_after_its_commit_is_not_told_as_done(
        self,
    ) -> None:
        done = _record().changed(
            now_s=9, by='d', note='', state=MoveState.DONE, share=1
        )
        known = KnownMove(done, is_taken_back=True)
        self.assertFalse(status_of(self.order, known, 11).is_final)

    def test_taken_back_is_told_at_once(self) -> None:
        back = _record().changed(
            now_s=3, by='d', note='', state=MoveState.TAKEN_BACK, share=0
        )
        status = status_of(self.order, KnownMove(back), 3)
        self.assertTrue(status.is_taken_back)

    def test_what_is_final_stays(self) -> None:
        done = OrderStatus('shop', 'v2', is_done=True)
        back = OrderStatus('shop', 'v2', is_taken_back=True)
        self.assertFalse(should_tell(done, back, is_older=False))
        self.assertTrue(should_tell(done, back, is_older=True))
        self.assertTrue(should_tell(None, back, is_older=False))
        running = OrderStatus('shop', 'v2')
        self.assertFalse(should_tell(running, running, is_older=False))
