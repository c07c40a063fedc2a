"""Decisions of moves: ends in time, takes back, forgives the innocent."""

import random
import unittest

from ..evidence import EngineEvidence, Evidence, bucket_of_s
from ..facts import fact_of, record_of, taken_back_fact
from ..judge import Judge, Opinion
from ..policy import MoveProgress, Verdict, decide
from ..record import MoveRecord, MoveState
from ..split import KnownMove, effective_share, split_of

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


def _seen(
    version: str,
    requests: int,
    failures: int = 0,
    first_token_s: float = 0.2,
) -> EngineEvidence:
    counts = list(EngineEvidence('').first_token)
    counts[bucket_of_s(first_token_s)] = requests
    histogram = tuple(counts)
    return EngineEvidence(version, requests, failures, histogram, histogram)


def _evidence(**engines: EngineEvidence) -> dict[str, Evidence]:
    return {'text': Evidence(engines)}


class TimeTest(unittest.TestCase):
    """A move ends in time whatever the traffic is."""

    def run_move(
        self, evidence: dict[str, Evidence], **changes: object
    ) -> tuple[Verdict, float]:
        record = _record(**changes)
        progress = MoveProgress.from_record(record)
        for second in range(int(_WINDOW_S) + 10):
            decision = decide(record, progress, evidence, second)
            progress = decision.progress
            if decision.verdict in {Verdict.COMMIT, Verdict.TAKE_BACK}:
                return decision.verdict, second
            if decision.verdict is Verdict.GROW:
                record = record.changed(
                    now_s=second, by='d', note='', share=decision.share
                )
        raise AssertionError('the move did not end')

    def test_no_traffic_at_all_is_done_with_margin(self) -> None:
        verdict, at_s = self.run_move({})
        self.assertIs(verdict, Verdict.COMMIT)
        self.assertLess(at_s, _WINDOW_S - 16)

    def test_good_version_is_done(self) -> None:
        evidence = _evidence(a=_seen('v1', 98), b=_seen('v2', 1))
        verdict, _ = self.run_move(evidence)
        self.assertIs(verdict, Verdict.COMMIT)

    def test_paused_move_is_taken_back_at_the_deadline(self) -> None:
        verdict, at_s = self.run_move({}, state=MoveState.PAUSED)
        self.assertIs(verdict, Verdict.TAKE_BACK)
        self.assertGreaterEqual(at_s, _WINDOW_S)

    def test_failing_version_is_taken_back_at_once(self) -> None:
        evidence = _evidence(
            a=_seen('v1', 50), b=_seen('v2', 4, 2), c=_seen('v2', 4, 2)
        )
        verdict, at_s = self.run_move(evidence)
        self.assertIs(verdict, Verdict.TAKE_BACK)
        self.assertLess(at_s, 60)

    def test_late_commit_is_not_made(self) -> None:
        record = _record(share=0.45, changed_at_s=0.0)
        progress = MoveProgress.from_record(record)
        decision = decide(record, progress, {}, _WINDOW_S - 5)
        self.assertIs(decision.verdict, Verdict.HOLD)


class JudgeTest(unittest.TestCase):
    """What counts for and against a version."""

    def judge(self, steps: int, evidence: Evidence) -> Judge:
        judge = Judge('v2')
        for _ in range(steps):
            judge = judge.after(evidence, 'v1')
        return judge

    def test_slow_version_is_bad(self) -> None:
        slow = Evidence(
            {
                'a': _seen('v1', 100),
                'b': _seen('v2', 5, first_token_s=0.3),
                'c': _seen('v2', 5, first_token_s=0.3),
            }
        )
        self.assertIs(self.judge(40, slow).opinion, Opinion.BAD)

    def test_slow_hour_of_both_is_not_held_against_it(self) -> None:
        rng = random.Random(3)
        judge = Judge('v2')
        for _ in range(2000):
            pace_s = rng.choice((0.2, 0.2, 0.2, 0.8))
            both = Evidence(
                {
                    'a': _seen('v1', 60, first_token_s=pace_s),
                    'b': _seen('v2', 3, first_token_s=pace_s),
                    'c': _seen('v2', 3, first_token_s=pace_s),
                }
            )
            judge = judge.after(both, 'v1')
        self.assertIsNot(judge.opinion, Opinion.BAD)

    def test_sick_engine_is_not_a_sick_version(self) -> None:
        sick = Evidence(
            {
                'a': _seen('v1', 100),
                'b': _seen('v2', 5, 1),
                'c': _seen('v2', 5),
                'd': _seen('v2', 5),
            }
        )
        judge = self.judge(60, sick)
        self.assertEqual(judge.sick_engines, {'b'})
        self.assertIsNot(judge.opinion, Opinion.BAD)

    def test_cold_cache_is_forgiven(self) -> None:
        cold = Evidence(
            {
                'a': _seen('v1', 100),
                'b': _seen('v2', 5, first_token_s=0.9),
                'c': _seen('v2', 5, first_token_s=0.9),
            }
        )
        self.assertIsNot(self.judge(10, cold).opinion, Opinion.BAD)


class EndTest(unittest.TestCase):
    """What daemons do with what they know of a move's end."""

    def test_share_ends_by_itself_at_the_deadline(self) -> None:
        known = KnownMove(_record(share=0.45))
        self.assertEqual(effective_share(known, _WINDOW_S - 1), 0.45)
        self.assertEqual(effective_share(known, _WINDOW_S), 0)

    def test_word_of_taking_back_outweighs_every_record(self) -> None:
        for state in MoveState:
            known = KnownMove(_record(share=1.0, state=state), True)
            self.assertEqual(effective_share(known, 1), 0)

    def test_done_moves_follow_one_another(self) -> None:
        there = KnownMove(_record(state=MoveState.DONE))
        back = KnownMove(
            _record(
                move_id='m2',
                old_version='v2',
                new_version='v1',
                created_at_s=10.0,
                state=MoveState.DONE,
            )
        )
        self.assertEqual(split_of('guide', 'v1', [there], 5).old_version, 'v2')
        both = split_of('guide', 'v1', [back, there], 20)
        self.assertEqual(both.old_version, 'v1')

    def test_facts_carry_records(self) -> None:
        record = _record(share=0.2, sequence=4)
        heard = record_of(fact_of(record))
        assert heard is not None
        self.assertEqual(heard.share, 0.2)
        self.assertEqual(heard.sequence, 4)
        self.assertIsNone(record_of(taken_back_fact('m1', 'bad')))
