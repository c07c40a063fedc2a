"""Tests of moves with time windows of seconds, and of published statuses."""

import random
import unittest

from ...store import StoreRevision
from ..comparison import ComparisonOutcome
from ..evidence import Evidence, ServerEvidence, bucket_of_s
from ..move_table import KnownMove
from ..order import (
    MoveOrder,
    OrderStatus,
    should_publish_status,
    status_of,
)
from ..policy import MoveAction, MoveProgress, decide
from ..record import MoveRecord, MoveState

_WINDOW_S = 12.0
_TICK_S = 0.5
_REQUESTS_PER_S = 40
_SEED_COUNT = 40
_SERVERS_PER_VERSION = 3
#: A bad version may receive at most this ratio of all requests, plus the
#: slack.
_EXPOSURE_RATIO = 0.1
_EXPOSURE_SLACK = 50
_BASE_FAILURE_RATIO = 0.07
_BASE_LATENCY_S = 0.025


class _Traffic:
    """
    Generator of requests to both versions.

    :param seed: seed of the random generator.
    :param failure_ratio: ratio of requests that fail on the new version.
    :param latency_factor: latency of the new version relative to the old.
    """

    def __init__(
        self, seed: int, failure_ratio: float, latency_factor: float
    ) -> None:
        self._random = random.Random(seed)
        self._failure_ratio = failure_ratio
        self._latency_factor = latency_factor
        self.new_requests = 0

    def tick(self, share: float) -> dict[str, Evidence]:
        evidence = Evidence()
        for _ in range(int(_REQUESTS_PER_S * _TICK_S)):
            is_new = self._random.random() < share
            self.new_requests += is_new
            evidence = evidence.plus(self._request(is_new))
        return {'lookups': evidence}

    def _request(self, is_new: bool) -> Evidence:
        failure_ratio = self._failure_ratio if is_new else _BASE_FAILURE_RATIO
        latency_factor = self._latency_factor if is_new else 1
        is_failed = self._random.random() < failure_ratio
        counts = list(ServerEvidence('').first_token)
        if not is_failed:
            latency_s = (
                _BASE_LATENCY_S
                * latency_factor
                * self._random.uniform(0.6, 1.6)
            )
            counts[bucket_of_s(latency_s)] = 1
        version = 'v2' if is_new else 'v1'
        server = f'{version}-{self._random.randrange(_SERVERS_PER_VERSION)}'
        server_evidence = ServerEvidence(
            version, 1, int(is_failed), tuple(counts)
        )
        return Evidence({server: server_evidence})


def _record() -> MoveRecord:
    return MoveRecord('m', 'shop', 'v1', 'v2', 0, _WINDOW_S, 'nino', 'newer')


def _run(traffic: _Traffic) -> tuple[MoveAction, float]:
    record = _record()
    progress = MoveProgress.from_record(record)
    for tick in range(1, int(_WINDOW_S / _TICK_S) + 2):
        now_s = tick * _TICK_S
        evidence = traffic.tick(record.share)
        decision = decide(record, progress, evidence, now_s)
        progress = decision.progress
        if decision.action in {MoveAction.COMMIT, MoveAction.ROLL_BACK}:
            return decision.action, now_s
        if decision.action is MoveAction.INCREASE_SHARE:
            record = record.changed(
                now_s=now_s, by='d', note='', share=decision.share
            )
    raise AssertionError('the move did not end')


class ShortMoveTest(unittest.TestCase):
    """
    A 12 s move ends before its deadline and limits exposure to bad versions.

    Guards against the commit of a bad version for lack of evidence: only a
    few requests reach the new version in that time.
    """

    def test_good_versions_end_in_time_and_most_are_committed(self) -> None:
        actions = []
        for seed in range(_SEED_COUNT):
            traffic = _Traffic(seed, _BASE_FAILURE_RATIO, 1)
            action, at_s = _run(traffic)
            self.assertLess(at_s, _WINDOW_S)
            actions.append(action)
        self.assertGreater(actions.count(MoveAction.COMMIT), _SEED_COUNT / 2)

    def test_failing_versions_are_rolled_back(self) -> None:
        self.check_bad(failure_ratio=0.5, latency_factor=1)

    def test_slow_versions_are_rolled_back(self) -> None:
        self.check_bad(failure_ratio=_BASE_FAILURE_RATIO, latency_factor=5)

    def check_bad(self, failure_ratio: float, latency_factor: float) -> None:
        allowed = (
            _EXPOSURE_RATIO * _REQUESTS_PER_S * _WINDOW_S + _EXPOSURE_SLACK
        )
        for seed in range(_SEED_COUNT):
            traffic = _Traffic(seed, failure_ratio, latency_factor)
            action, _ = _run(traffic)
            self.assertIs(action, MoveAction.ROLL_BACK, f'seed {seed}')
            self.assertLessEqual(traffic.new_requests, allowed)

    def test_first_share_is_below_the_exposure_ratio(self) -> None:
        progress = MoveProgress.from_record(_record())
        first = progress.plan.stages[0]
        self.assertLess(first.share, _EXPOSURE_RATIO)
        self.assertIs(progress.outcome, ComparisonOutcome.INCONCLUSIVE)


class OrderStatusTest(unittest.TestCase):
    """A final status is published once, when operators may act on it."""

    order = MoveOrder('shop', 'v2', _WINDOW_S, StoreRevision(1, 7))

    def test_done_is_published_after_the_drain_period(self) -> None:
        done = _record().changed(
            now_s=9, by='d', note='', state=MoveState.DONE, share=1
        )
        self.assertFalse(status_of(self.order, KnownMove(done), 10).is_done)
        self.assertTrue(status_of(self.order, KnownMove(done), 11).is_done)

    def test_rollback_after_commit_is_not_published_as_done(
        self,
    ) -> None:
        done = _record().changed(
            now_s=9, by='d', note='', state=MoveState.DONE, share=1
        )
        move = KnownMove(done, is_taken_back=True)
        self.assertFalse(status_of(self.order, move, 11).is_final)

    def test_rollback_is_published_immediately(self) -> None:
        back = _record().changed(
            now_s=3, by='d', note='', state=MoveState.ROLLED_BACK, share=0
        )
        status = status_of(self.order, KnownMove(back), 3)
        self.assertTrue(status.is_taken_back)

    def test_final_status_is_not_replaced(self) -> None:
        done = OrderStatus('shop', 'v2', is_done=True)
        back = OrderStatus('shop', 'v2', is_taken_back=True)
        self.assertFalse(
            should_publish_status(done, back, is_from_earlier_order=False)
        )
        self.assertTrue(
            should_publish_status(done, back, is_from_earlier_order=True)
        )
        self.assertTrue(
            should_publish_status(None, back, is_from_earlier_order=False)
        )
        running = OrderStatus('shop', 'v2')
        self.assertFalse(
            should_publish_status(running, running, is_from_earlier_order=False)
        )
