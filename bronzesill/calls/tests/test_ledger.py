"""Tests of ledger decisions: one run per key, correct error verdicts."""

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from ..keys import issued_at_s
from ..ledger import (
    CallClaim,
    CallOutcome,
    ClaimVerdict,
    LedgerIndex,
    LedgerRecord,
    RecordKind,
)

_DEADLINE_S = 5.0


def _claim(claim_id: str, at_s: float = 0, fingerprint: int = 1) -> CallClaim:
    return CallClaim('shop/key', claim_id, fingerprint, at_s, _DEADLINE_S)


def _record(kind: RecordKind, claim: CallClaim, at_s: float) -> LedgerRecord:
    return LedgerRecord(
        kind, claim.key, claim.claim_id, claim.fingerprint, at_s, _DEADLINE_S
    )


class LedgerMachine(RuleBasedStateMachine):
    """
    Daemons claim, pause, run, record and release in any order.

    Guards against a call that runs twice, and against a claim that is
    rejected as expired although its call ran.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 1000.0
        self.index = LedgerIndex(window_s=100)
        self.granted: dict[str, CallClaim] = {}
        self.released: set[str] = set()
        self.runs: list[str] = []
        self.reported_not_run: set[str] = set()
        self.claim_count = 0

    @rule()
    def claim(self) -> None:
        self.claim_count += 1
        claim = _claim(f'c{self.claim_count}', at_s=1000)
        verdict = self.index.evaluate_claim(claim, self.now_s).verdict
        if verdict == ClaimVerdict.GRANTED:
            record = _record(RecordKind.CLAIM, claim, self.now_s)
            self.index.apply(record)
            self.granted[claim.claim_id] = claim
        elif verdict == ClaimVerdict.KEY_EXPIRED:
            self.reported_not_run.add(claim.claim_id)

    @rule(data=st.data())
    def run_late(self, data: st.DataObject) -> None:
        pending_ids = sorted(set(self.granted) - self.released - set(self.runs))
        if pending_ids:
            self.runs.append(data.draw(st.sampled_from(pending_ids)))

    @rule(data=st.data())
    def release(self, data: st.DataObject) -> None:
        pending_ids = sorted(set(self.granted) - set(self.runs))
        if pending_ids:
            claim_id = data.draw(st.sampled_from(pending_ids))
            self.released.add(claim_id)
            claim = self.granted[claim_id]
            self.index.apply(_record(RecordKind.RELEASE, claim, self.now_s))

    @rule(data=st.data())
    def record(self, data: st.DataObject) -> None:
        if self.runs:
            claim = self.granted[data.draw(st.sampled_from(self.runs))]
            self.index.apply(_record(RecordKind.OUTCOME, claim, self.now_s))

    @rule(seconds=st.floats(0, 60))
    def pass_time(self, seconds: float) -> None:
        self.now_s += seconds
        self.index.expire(self.now_s)

    @invariant()
    def call_runs_at_most_once(self) -> None:
        assert len(self.runs) <= 1

    @invariant()
    def call_reported_not_run_never_ran(self) -> None:
        assert not self.reported_not_run & set(self.runs)


LedgerMachine.TestCase.settings = settings(
    max_examples=200,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    database=None,
)


class LedgerMachineTest(
    LedgerMachine.TestCase  # type: ignore[misc,valid-type]
):
    """Runs :class:`LedgerMachine` as a test case."""


class LedgerIndexTest(unittest.TestCase):
    """Verdicts of :class:`LedgerIndex` on claims."""

    def setUp(self) -> None:
        self.index = LedgerIndex(window_s=100)
        self.claim = _claim('c1', at_s=0)
        self.index.apply(_record(RecordKind.CLAIM, self.claim, 0))

    def evaluate_claim(self, claim: CallClaim, now_s: float) -> int:
        return self.index.evaluate_claim(claim, now_s).verdict

    def test_claim_without_outcome_is_never_reported_as_not_run(self) -> None:
        other = _claim('c2')
        self.assertEqual(self.evaluate_claim(other, 1), ClaimVerdict.RUNNING)
        self.assertEqual(self.evaluate_claim(other, 50), ClaimVerdict.UNKNOWN)
        self.assertEqual(self.evaluate_claim(other, 90), ClaimVerdict.UNKNOWN)

    def test_repeated_claim_with_same_id_is_granted(self) -> None:
        self.assertEqual(
            self.evaluate_claim(self.claim, 1), ClaimVerdict.GRANTED
        )

    def test_repeated_call_gets_recorded_outcome(self) -> None:
        record = LedgerRecord(
            RecordKind.OUTCOME,
            'shop/key',
            'c1',
            1,
            2,
            _DEADLINE_S,
            CallOutcome(200, 'text/plain', b'paid'),
        )
        self.index.apply(record)
        answer = self.index.evaluate_claim(_claim('c2'), 3)
        self.assertEqual(answer.verdict, ClaimVerdict.DONE)
        self.assertEqual(answer.outcome, record.outcome)

    def test_different_call_with_same_key_is_rejected(self) -> None:
        other = _claim('c2', fingerprint=2)
        self.assertEqual(self.evaluate_claim(other, 1), ClaimVerdict.KEY_REUSED)

    def test_expired_key_is_never_granted(self) -> None:
        self.index.expire(10_000)
        self.assertEqual(len(self.index), 0)
        late = _claim('c2', at_s=0)
        self.assertEqual(
            self.evaluate_claim(late, 10_000), ClaimVerdict.KEY_EXPIRED
        )

    # Guards against a call that runs twice as the store has lost its record.
    def test_key_from_before_a_return_of_the_store_is_not_granted(self) -> None:
        index = LedgerIndex(window_s=100, forgotten_until_s=50)
        for at_s, verdict in (
            (50, ClaimVerdict.UNKNOWN),
            (51, ClaimVerdict.GRANTED),
        ):
            claim = _claim('c9', at_s=at_s)
            answer = index.evaluate_claim(claim, 60)
            self.assertEqual(answer.verdict, verdict)

    def test_records_that_another_index_lacks(self) -> None:
        other = LedgerIndex(window_s=100)
        missing = self.index.records_missing_in(other)
        self.assertEqual([record.claim_id for record in missing], ['c1'])
        other.restore(missing[0])
        self.assertEqual(self.index.records_missing_in(other), ())

    def test_release_of_another_claim_has_no_effect(self) -> None:
        other = _claim('c2')
        self.index.apply(_record(RecordKind.RELEASE, other, 1))
        self.assertTrue(self.index.has_claim(self.claim))

    def test_release_after_outcome_has_no_effect(self) -> None:
        self.index.apply(_record(RecordKind.OUTCOME, self.claim, 1))
        self.index.apply(_record(RecordKind.RELEASE, self.claim, 2))
        self.assertEqual(
            self.evaluate_claim(_claim('c2'), 3), ClaimVerdict.UNKNOWN
        )


class KeyTest(unittest.TestCase):
    """Parsing of issue times from idempotency keys."""

    def test_issue_time_is_parsed(self) -> None:
        self.assertEqual(issued_at_s('1796356000-order-7'), 1796356000)
        uuid7 = '01a2f0d6-d400-7000-8000-000000000001'
        issued_at_ms = int('01a2f0d6d400', base=16)
        self.assertEqual(issued_at_s(uuid7), issued_at_ms / 1000)

    def test_key_without_time_is_rejected(self) -> None:
        for key in ('order-7', '', '179-x', str(' ' * 12)):
            self.assertIsNone(issued_at_s(key))
