"""Admission, fair shares, quotas and retry budgets."""

import unittest
from random import Random

from ...utils import ResultCode
from ..admission import (
    Admission,
    AdmissionLimits,
    AdmissionState,
    Grant,
    Refuse,
    Ticket,
    cancel,
    expire,
    release,
    request,
)
from ..budget import RetryBudget
from ..quota import GRANT_S, QuotaQuestion, QuotaTable, wanted_grant
from ..retry_window import RetryBounds, RetryWindow


def _ticket(number: int, account: str = 'a', **changes: object) -> Ticket:
    fields = {'request_id': f'r{number}', 'account': account, **changes}
    return Ticket(**{'expires_at_s': 5, **fields})  # type: ignore[arg-type]


class AdmissionTest(unittest.TestCase):
    """Who runs, who waits, who is refused."""

    def fill(
        self, limits: AdmissionLimits, tickets: list[Ticket]
    ) -> tuple[AdmissionState, list[object]]:
        state = AdmissionState()
        outcomes: list[object] = []
        for ticket in tickets:
            decided: Admission = request(state, limits, ticket)
            state = decided.state
            outcomes.extend(decided.outcomes)
        return state, outcomes

    def test_slots_then_queue_then_refusal(self) -> None:
        limits = AdmissionLimits(slots=2, max_waiting=2)
        tickets = [_ticket(number, f'a{number}') for number in range(6)]
        state, outcomes = self.fill(limits, tickets)
        self.assertEqual(state.running, 2)
        refused = [each for each in outcomes if isinstance(each, Refuse)]
        self.assertTrue(refused)
        for each in refused:
            self.assertIs(each.code, ResultCode.QUEUE_FULL)
            self.assertGreater(each.retry_after_s, 0)

    def test_quota_is_refused_at_once(self) -> None:
        limits = AdmissionLimits(4, 4, quota_by_account={'a': 1})
        _, outcomes = self.fill(limits, [_ticket(1), _ticket(2)])
        self.assertIsInstance(outcomes[0], Grant)
        assert isinstance(outcomes[1], Refuse)
        self.assertIs(outcomes[1].code, ResultCode.QUOTA_EXCEEDED)

    def test_large_account_does_not_crowd_out_small_ones(self) -> None:
        limits = AdmissionLimits(slots=4, max_waiting=16)
        crowd = [_ticket(number, 'large') for number in range(40)]
        state, _ = self.fill(limits, crowd)
        small = request(state, limits, _ticket(99, 'small'))
        self.assertEqual(small.outcomes, ())
        freed = release(small.state, limits, 'large')
        granted = [each.ticket.account for each in freed.outcomes]
        self.assertEqual(granted, ['small'])

    def test_resumes_go_before_new_work(self) -> None:
        limits = AdmissionLimits(slots=1, max_waiting=4)
        state, _ = self.fill(limits, [_ticket(1), _ticket(2, 'b')])
        resumed = request(state, limits, _ticket(3, 'c', is_resume=True))
        self.assertIsInstance(resumed.outcomes[0], Grant)

    def test_waiting_ends_in_time_and_leaves_nothing(self) -> None:
        limits = AdmissionLimits(slots=1, max_waiting=4)
        state, _ = self.fill(limits, [_ticket(1), _ticket(2, 'b')])
        late = expire(state, limits, 6)
        assert isinstance(late.outcomes[0], Refuse)
        self.assertIs(late.outcomes[0].code, ResultCode.QUEUE_TIMEOUT)
        self.assertEqual(late.state.waiting, ())
        gone = cancel(state, 'r2')
        self.assertEqual(gone.waiting, ())


class QuotaTest(unittest.TestCase):
    """Grants of one home never exceed the quota."""

    def test_grants_stay_within_the_quota(self) -> None:
        rng = Random(4)
        table = QuotaTable()
        held: dict[str, tuple[int, float]] = {}
        now_s = 0.0
        for _ in range(5000):
            now_s += rng.uniform(0, 0.3)
            daemon = f'd{rng.randrange(9)}'
            wanted = rng.randrange(30)
            question = QuotaQuestion('a', daemon, wanted, 64)
            granted = table.ask(question, now_s).granted
            held[daemon] = (granted, now_s + GRANT_S)
            out = sum(
                amount for amount, until in held.values() if until > now_s
            )
            self.assertLessEqual(out, 64)

    def test_grant_runs_out_and_is_given_to_others(self) -> None:
        table = QuotaTable()
        first = QuotaQuestion('a', 'd1', 10, 10)
        second = QuotaQuestion('a', 'd2', 10, 10)
        self.assertEqual(table.ask(first, 0).granted, 10)
        self.assertEqual(table.ask(second, 1).granted, 0)
        self.assertEqual(table.ask(second, GRANT_S + 1).granted, 10)
        table.expire(100)
        self.assertEqual(len(table), 0)

    def test_headroom_grows_with_use(self) -> None:
        self.assertEqual(wanted_grant(0), 2)
        self.assertEqual(wanted_grant(40), 50)


class RetryWindowTest(unittest.TestCase):
    """All daemons together stay within the fleet's bounds."""

    def sent(self, first_tries: int, daemons: int) -> int:
        window = RetryWindow(RetryBounds(0.8, 10, 150))
        for _ in range(first_tries):
            window = window.after_try(5)
        retries = 0
        while window.allows_retry(5.5, daemons):
            window = window.after_retry(5.5)
            retries += 1
        return retries

    def test_fleet_that_loses_all_its_engines_stays_within_bounds(self) -> None:
        for daemons in (1, 7, 59, 300):
            with self.subTest(daemons):
                total = daemons * self.sent(10, daemons)
                self.assertLessEqual(total, 0.8 * 10 * daemons + 150)

    def test_counts_leave_the_window(self) -> None:
        window = RetryWindow(RetryBounds(0.8, 10, 0)).after_try(5)
        for _ in range(9):
            window = window.after_try(5)
        for _ in range(6):
            window = window.after_retry(6)
        self.assertFalse(window.allows_retry(9, 1))
        self.assertFalse(window.allows_retry(20, 1))
        self.assertTrue(window.after_try(20).after_try(20).allows_retry(20, 1))


class RetryBudgetTest(unittest.TestCase):
    """Repeats stay a small share of first tries."""

    def test_repeats_are_bounded(self) -> None:
        budget = RetryBudget()
        repeats = 0
        for _ in range(1000):
            budget = budget.after_try()
            if budget.allows_retry:
                budget = budget.after_retry()
                repeats += 1
        self.assertLessEqual(repeats, 10 + 1000 * 0.1 + 1)
