"""Tests of the decisions on moves, the comparison and the traffic split."""

import random
import unittest

from ..comparison import ComparisonOutcome, SequentialComparison
from ..evidence import Evidence, ServerEvidence, bucket_of_s
from ..move_table import KnownMove, effective_share, split_of
from ..policy import MoveAction, MoveProgress, decide
from ..record import (
    MoveRecord,
    MoveState,
    fact_of,
    record_from_fact,
    rollback_fact,
)

_WINDOW_S = 3600.0


def _record(**changes: object) -> MoveRecord:
    fields = {
        'move_id': 'm1',
        'subject': 'guide',
        'old_version': 'v1',
        'new_version': 'v2',
        'created_at_s': 0.0,
        'deadline_at_s': _WINDOW_S,
        'operator': 'nino',
        'reason': 'newer weights',
        **changes,
    }
    return MoveRecord(**fields)  # type: ignore[arg-type]


def _server_evidence(
    version: str,
    requests: int,
    failures: int = 0,
    first_token_s: float = 0.2,
) -> ServerEvidence:
    counts = list(ServerEvidence('').first_token)
    counts[bucket_of_s(first_token_s)] = requests
    histogram = tuple(counts)
    return ServerEvidence(version, requests, failures, histogram, histogram)


def _evidence(**servers: ServerEvidence) -> dict[str, Evidence]:
    return {'text': Evidence(servers)}


class DeadlineTest(unittest.TestCase):
    """A move is committed or rolled back in time at any traffic volume."""

    def run_move(
        self, evidence: dict[str, Evidence], **changes: object
    ) -> tuple[MoveAction, float]:
        record = _record(**changes)
        progress = MoveProgress.from_record(record)
        for second in range(int(_WINDOW_S) + 10):
            decision = decide(record, progress, evidence, second)
            progress = decision.progress
            if decision.action in {MoveAction.COMMIT, MoveAction.ROLL_BACK}:
                return decision.action, second
            if decision.action is MoveAction.INCREASE_SHARE:
                record = record.changed(
                    now_s=second, by='d', note='', share=decision.share
                )
        raise AssertionError('the move did not end')

    def test_move_without_traffic_commits_before_the_margin(self) -> None:
        action, at_s = self.run_move({})
        self.assertIs(action, MoveAction.COMMIT)
        self.assertLess(at_s, _WINDOW_S - 16)

    def test_good_version_is_committed(self) -> None:
        evidence = _evidence(
            a=_server_evidence('v1', 98), b=_server_evidence('v2', 1)
        )
        action, _ = self.run_move(evidence)
        self.assertIs(action, MoveAction.COMMIT)

    def test_paused_move_is_rolled_back_at_the_deadline(self) -> None:
        action, at_s = self.run_move({}, state=MoveState.PAUSED)
        self.assertIs(action, MoveAction.ROLL_BACK)
        self.assertGreaterEqual(at_s, _WINDOW_S)

    def test_failing_version_is_rolled_back_within_a_minute(self) -> None:
        evidence = _evidence(
            a=_server_evidence('v1', 50),
            b=_server_evidence('v2', 4, 2),
            c=_server_evidence('v2', 4, 2),
        )
        action, at_s = self.run_move(evidence)
        self.assertIs(action, MoveAction.ROLL_BACK)
        self.assertLess(at_s, 60)

    def test_no_commit_within_the_margin(self) -> None:
        record = _record(share=0.45, changed_at_s=0.0)
        progress = MoveProgress.from_record(record)
        decision = decide(record, progress, {}, _WINDOW_S - 5)
        self.assertIs(decision.action, MoveAction.HOLD)


class SequentialComparisonTest(unittest.TestCase):
    """Only faults of the version itself reject it."""

    def compare(self, steps: int, evidence: Evidence) -> SequentialComparison:
        comparison = SequentialComparison('v2')
        for _ in range(steps):
            comparison = comparison.updated_with(evidence, 'v1')
        return comparison

    def test_slow_version_is_rejected(self) -> None:
        slow = Evidence(
            {
                'a': _server_evidence('v1', 100),
                'b': _server_evidence('v2', 5, first_token_s=0.3),
                'c': _server_evidence('v2', 5, first_token_s=0.3),
            }
        )
        self.assertIs(
            self.compare(40, slow).outcome, ComparisonOutcome.REJECTED
        )

    def test_common_slowdown_does_not_reject_the_version(self) -> None:
        rng = random.Random(3)
        comparison = SequentialComparison('v2')
        for _ in range(2000):
            latency_s = rng.choice((0.2, 0.2, 0.2, 0.8))
            evidence = Evidence(
                {
                    'a': _server_evidence('v1', 60, first_token_s=latency_s),
                    'b': _server_evidence('v2', 3, first_token_s=latency_s),
                    'c': _server_evidence('v2', 3, first_token_s=latency_s),
                }
            )
            comparison = comparison.updated_with(evidence, 'v1')
        self.assertIsNot(comparison.outcome, ComparisonOutcome.REJECTED)

    def test_single_failing_server_does_not_reject_the_version(self) -> None:
        failing = Evidence(
            {
                'a': _server_evidence('v1', 100),
                'b': _server_evidence('v2', 5, 1),
                'c': _server_evidence('v2', 5),
                'd': _server_evidence('v2', 5),
            }
        )
        comparison = self.compare(60, failing)
        self.assertEqual(comparison.failing_servers, {'b'})
        self.assertIsNot(comparison.outcome, ComparisonOutcome.REJECTED)

    def test_warmup_latency_is_ignored(self) -> None:
        cold = Evidence(
            {
                'a': _server_evidence('v1', 100),
                'b': _server_evidence('v2', 5, first_token_s=0.9),
                'c': _server_evidence('v2', 5, first_token_s=0.9),
            }
        )
        self.assertIsNot(
            self.compare(10, cold).outcome, ComparisonOutcome.REJECTED
        )


class MoveEndTest(unittest.TestCase):
    """Traffic split and facts at the end of a move."""

    def test_share_is_zero_from_the_deadline(self) -> None:
        move = KnownMove(_record(share=0.45))
        self.assertEqual(effective_share(move, _WINDOW_S - 1), 0.45)
        self.assertEqual(effective_share(move, _WINDOW_S), 0)

    def test_rollback_fact_overrides_every_record_state(self) -> None:
        for state in MoveState:
            move = KnownMove(_record(share=1.0, state=state), True)
            self.assertEqual(effective_share(move, 1), 0)

    def test_completed_moves_are_chained(self) -> None:
        forward = KnownMove(_record(state=MoveState.DONE))
        reverse = KnownMove(
            _record(
                move_id='m2',
                old_version='v2',
                new_version='v1',
                created_at_s=10.0,
                state=MoveState.DONE,
            )
        )
        self.assertEqual(
            split_of('guide', 'v1', [forward], 5).old_version, 'v2'
        )
        chained = split_of('guide', 'v1', [reverse, forward], 20)
        self.assertEqual(chained.old_version, 'v1')

    def test_record_survives_conversion_to_fact(self) -> None:
        record = _record(share=0.2, sequence=4)
        received = record_from_fact(fact_of(record))
        assert received is not None
        self.assertEqual(received.share, 0.2)
        self.assertEqual(received.sequence, 4)
        self.assertIsNone(record_from_fact(rollback_fact('m1', 'bad')))
