"""Tests of admission, fair queueing, quotas and retry limits."""

import unittest
from random import Random

from ...utils import ResultCode
from ..admission import (
    AdmissionLimits,
    AdmissionResult,
    AdmissionState,
    Grant,
    Refuse,
    Ticket,
    cancel,
    expire,
    release,
    request,
)
from ..quota import GRANT_TTL_S, QuotaRequest, QuotaTable, desired_grant
from ..retry_window import RetryBounds, RetryBudget, RetryWindow


def _ticket(number: int, account: str = 'a', **changes: object) -> Ticket:
    fields = {'request_id': f'r{number}', 'account': account, **changes}
    return Ticket(**{'expires_at_s': 5, **fields})  # type: ignore[arg-type]


class AdmissionTest(unittest.TestCase):
    """Granted, queued and refused tickets."""

    def fill(
        self, limits: AdmissionLimits, tickets: list[Ticket]
    ) -> tuple[AdmissionState, list[object]]:
        state = AdmissionState()
        outcomes: list[object] = []
        for ticket in tickets:
            result: AdmissionResult = request(state, limits, ticket)
            state = result.state
            outcomes.extend(result.outcomes)
        return state, outcomes

    def test_requests_are_refused_when_slots_and_queue_are_full(self) -> None:
        limits = AdmissionLimits(slots=2, max_waiting=2)
        tickets = [_ticket(number, f'a{number}') for number in range(6)]
        state, outcomes = self.fill(limits, tickets)
        self.assertEqual(state.running, 2)
        refused = [
            outcome for outcome in outcomes if isinstance(outcome, Refuse)
        ]
        self.assertTrue(refused)
        for outcome in refused:
            self.assertIs(outcome.code, ResultCode.QUEUE_FULL)
            self.assertGreater(outcome.retry_after_s, 0)

    def test_request_over_quota_is_refused_immediately(self) -> None:
        limits = AdmissionLimits(4, 4, quota_by_account={'a': 1})
        _, outcomes = self.fill(limits, [_ticket(1), _ticket(2)])
        self.assertIsInstance(outcomes[0], Grant)
        assert isinstance(outcomes[1], Refuse)
        self.assertIs(outcomes[1].code, ResultCode.QUOTA_EXCEEDED)

    def test_large_account_does_not_starve_small_ones(self) -> None:
        limits = AdmissionLimits(slots=4, max_waiting=16)
        requests = [_ticket(number, 'large') for number in range(40)]
        state, _ = self.fill(limits, requests)
        small = request(state, limits, _ticket(99, 'small'))
        self.assertEqual(small.outcomes, ())
        released = release(small.state, limits, 'large')
        granted = [outcome.ticket.account for outcome in released.outcomes]
        self.assertEqual(granted, ['small'])

    def test_resumed_requests_skip_the_queue(self) -> None:
        limits = AdmissionLimits(slots=1, max_waiting=4)
        state, _ = self.fill(limits, [_ticket(1), _ticket(2, 'b')])
        resumed = request(state, limits, _ticket(3, 'c', is_resume=True))
        self.assertIsInstance(resumed.outcomes[0], Grant)

    def test_expired_and_cancelled_tickets_leave_the_queue(self) -> None:
        limits = AdmissionLimits(slots=1, max_waiting=4)
        state, _ = self.fill(limits, [_ticket(1), _ticket(2, 'b')])
        expired = expire(state, limits, 6)
        assert isinstance(expired.outcomes[0], Refuse)
        self.assertIs(expired.outcomes[0].code, ResultCode.QUEUE_TIMEOUT)
        self.assertEqual(expired.state.waiting, ())
        cancelled = cancel(state, 'r2')
        self.assertEqual(cancelled.waiting, ())


class QuotaTest(unittest.TestCase):
    """Grants of one coordinator never exceed the quota."""

    def test_grants_stay_within_the_quota(self) -> None:
        rng = Random(4)
        table = QuotaTable()
        active: dict[str, tuple[int, float]] = {}
        now_s = 0.0
        for _ in range(5000):
            now_s += rng.uniform(0, 0.3)
            daemon = f'd{rng.randrange(9)}'
            wanted = rng.randrange(30)
            quota_request = QuotaRequest('a', daemon, wanted, 64)
            granted = table.ask(quota_request, now_s).granted
            active[daemon] = (granted, now_s + GRANT_TTL_S)
            outstanding = sum(
                amount for amount, until in active.values() if until > now_s
            )
            self.assertLessEqual(outstanding, 64)

    def test_expired_grant_is_available_to_other_daemons(self) -> None:
        table = QuotaTable()
        first = QuotaRequest('a', 'd1', 10, 10)
        second = QuotaRequest('a', 'd2', 10, 10)
        self.assertEqual(table.ask(first, 0).granted, 10)
        self.assertEqual(table.ask(second, 1).granted, 0)
        self.assertEqual(table.ask(second, GRANT_TTL_S + 1).granted, 10)
        table.expire(100)
        self.assertEqual(len(table), 0)

    def test_headroom_increases_with_running_generations(self) -> None:
        self.assertEqual(desired_grant(0), 2)
        self.assertEqual(desired_grant(40), 50)


class RetryWindowTest(unittest.TestCase):
    """The retries of all daemons stay within the fleet-wide bounds."""

    def allowed_retries(self, first_attempts: int, daemons: int) -> int:
        window = RetryWindow(RetryBounds(0.8, 10, 150))
        for _ in range(first_attempts):
            window = window.with_first_attempt(5)
        retries = 0
        while window.allows_retry(5.5, daemons):
            window = window.with_retry(5.5)
            retries += 1
        return retries

    def test_retries_stay_within_bounds_when_all_engines_fail(self) -> None:
        for daemons in (1, 7, 59, 300):
            with self.subTest(daemons):
                total = daemons * self.allowed_retries(10, daemons)
                self.assertLessEqual(total, 0.8 * 10 * daemons + 150)

    def test_counts_expire_with_the_window(self) -> None:
        window = RetryWindow(RetryBounds(0.8, 10, 0)).with_first_attempt(5)
        for _ in range(9):
            window = window.with_first_attempt(5)
        for _ in range(6):
            window = window.with_retry(6)
        self.assertFalse(window.allows_retry(9, 1))
        self.assertFalse(window.allows_retry(20, 1))
        self.assertTrue(
            window.with_first_attempt(20)
            .with_first_attempt(20)
            .allows_retry(20, 1)
        )

    # A returned retry was counted as a negative one in a later second, which
    # raised the bound once the second of the retry had left the window.
    def test_returned_retries_do_not_raise_the_bound(self) -> None:
        window = RetryWindow(RetryBounds(0, 10, 10, margin=1))
        for _ in range(10):
            window = window.with_retry(0.9)
        self.assertFalse(window.allows_retry(0.9, 1))
        for _ in range(12):
            window = window.without_retry(1.1)
        for now_s in (1.1, 10.95):
            with self.subTest(now_s):
                self.assertEqual(self.count_retries(window, now_s), 10)

    # Guards against begun answers that wait until the retries of others have
    # left the window.
    def test_begun_answers_have_a_part_of_their_own(self) -> None:
        for daemons in (1, 7, 59):
            with self.subTest(daemons):
                window = self.exhausted_window(daemons)
                self.assertFalse(window.allows_retry(5.5, daemons))
                begun = 0
                while window.allows_retry(5.5, daemons, has_begun=True):
                    window = window.with_retry(5.5)
                    begun += 1
                self.assertGreater(begun, 0)
                retries = sum(second.retries for second in window.seconds)
                self.assertLessEqual(
                    daemons * retries, 0.8 * 100 * daemons + 150
                )

    def exhausted_window(self, daemons: int) -> RetryWindow:
        window = RetryWindow(RetryBounds(0.8, 10, 150))
        for _ in range(100):
            window = window.with_first_attempt(5)
        while window.allows_retry(5.5, daemons):
            window = window.with_retry(5.5)
        return window

    def test_requests_of_the_window_before_count_for_begun_answers(
        self,
    ) -> None:
        window = RetryWindow(RetryBounds(0.8, 10, 0))
        for _ in range(50):
            window = window.with_first_attempt(5)
        self.assertFalse(window.allows_retry(16, 1))
        self.assertTrue(window.allows_retry(16, 1, has_begun=True))
        self.assertFalse(window.allows_retry(26, 1, has_begun=True))

    # Guards against hosts that count requests in two windows while these move
    # from the hosts that stop to the others.
    def test_begun_answers_stay_within_bounds_while_requests_move(self) -> None:
        bounds = RetryBounds(0.8, 10, 150)
        total = 0
        for begun_at_s in (5, 15):
            for _ in range(4):
                window = RetryWindow(bounds)
                for _ in range(100):
                    window = window.with_first_attempt(begun_at_s)
                while window.allows_retry(16, 8, has_begun=True):
                    window = window.with_retry(16)
                    total += 1
        self.assertLessEqual(total, 0.8 * 400 + 150)

    def count_retries(self, window: RetryWindow, now_s: float) -> int:
        retries = 0
        while window.allows_retry(now_s, 1):
            window = window.with_retry(now_s)
            retries += 1
        return retries


class RetryBudgetTest(unittest.TestCase):
    """Retries are limited to a fraction of first attempts."""

    def test_retries_are_limited(self) -> None:
        budget = RetryBudget()
        retries = 0
        for _ in range(1000):
            budget = budget.with_first_attempt()
            if budget.allows_retry:
                budget = budget.with_retry()
                retries += 1
        self.assertLessEqual(retries, 10 + 1000 * 0.1 + 1)
