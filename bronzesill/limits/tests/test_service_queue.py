"""Tests of the order, the bounds and the refusals of waiting requests."""

import unittest
from random import Random
from typing import Any

from ..dispatch_times import RunTimes
from ..host_share import dispatch_quota
from ..service_queue import ServiceQueue
from ..waiters import QueueBounds, QueueRefusal, RefusalCause, Waiter

_WEIGHT_BY_ACCOUNT = {'heavy': 3}


def _queue(**bounds: int) -> ServiceQueue:
    return ServiceQueue(
        QueueBounds(**bounds),
        Random(1),
        lambda account: _WEIGHT_BY_ACCOUNT.get(account, 1),
    )


def _waiter(request_id: str, **changes: Any) -> Waiter:
    fields: dict[str, Any] = {
        'account': 'a',
        'joined_at_s': 0.0,
        'deadline_at_s': 10.0,
    }
    return Waiter(request_id, **{**fields, **changes})


def _ids(queue: ServiceQueue, now_s: float = 0) -> list[str]:
    return [waiter.request_id for waiter in queue.ordered(now_s)]


def _with_rate(queue: ServiceQueue, per_s: float, until_s: float) -> None:
    """Let requests be dispatched at a rate while another one waits."""
    queue.offer(
        _waiter('kept', deadline_at_s=99, may_have_run=True),
        until_s - 8 / per_s,
    )
    for number in range(8):
        at_s = until_s - (7 - number) / per_s
        queue.offer(_waiter(f'd{number}', deadline_at_s=at_s + 9), at_s)
        queue.dispatch(f'd{number}', at_s)


class OrderTest(unittest.TestCase):
    """The order in which waiting requests are dispatched."""

    def test_begun_then_urgent_then_rejected_then_earliest(self) -> None:
        """Guards against the order of timers."""
        queue = _queue()
        queue.offer(_waiter('late', deadline_at_s=11.0), 0)
        queue.offer(_waiter('early'), 0)
        queue.offer(_waiter('rejected', is_retry=True, deadline_at_s=12.0), 0)
        queue.offer(_waiter('bulk', rank=1, deadline_at_s=9.0), 0)
        queue.offer(_waiter('begun', rank=1, has_begun=True), 0)
        self.assertEqual(
            _ids(queue), ['begun', 'rejected', 'early', 'late', 'bulk']
        )

    def test_request_is_raised_after_half_of_its_time(self) -> None:
        """Guards against bulk that waits until its time is over."""
        queue = _queue()
        queue.offer(_waiter('bulk', rank=1), 0)
        queue.offer(_waiter('urgent', joined_at_s=4.9, deadline_at_s=15), 4.9)
        self.assertEqual(_ids(queue, 4.9), ['urgent', 'bulk'])
        self.assertEqual(_ids(queue, 5), ['bulk', 'urgent'])

    def test_account_with_less_recent_use_goes_first(self) -> None:
        """Guards against one account that takes all the slots."""
        queue = _queue()
        for number in range(3):
            queue.offer(_waiter(f'used{number}'), 0)
            queue.dispatch(f'used{number}', 0)
        queue.offer(_waiter('a'), 0)
        queue.offer(_waiter('b', account='b', deadline_at_s=11.0), 0)
        self.assertEqual(_ids(queue), ['b', 'a'])

    def test_use_counts_relative_to_weight(self) -> None:
        """Guards against weights that are read and not used."""
        queue = _queue()
        accounts = ('heavy', 'heavy', 'light')
        for number, account in enumerate(accounts):
            queue.offer(_waiter(f'used{number}', account=account), 0)
            queue.dispatch(f'used{number}', 0)
        queue.offer(_waiter('light', account='light'), 0)
        queue.offer(_waiter('heavy', account='heavy', deadline_at_s=11.0), 0)
        self.assertEqual(_ids(queue), ['heavy', 'light'])


class RefusalTest(unittest.TestCase):
    """Requests that cannot be served in time are refused at once."""

    def refused(
        self, refusals: tuple[QueueRefusal, ...], cause: RefusalCause
    ) -> QueueRefusal:
        """Return the only refusal, which has a cause."""
        self.assertEqual([refusal.cause for refusal in refusals], [cause])
        return refusals[0]

    def test_request_that_is_expected_late_is_refused_at_once(self) -> None:
        """Guards against callers that wait for what cannot come in time."""
        queue = _queue()
        _with_rate(queue, 1, 8)
        waiter = _waiter('new', joined_at_s=8, deadline_at_s=11, needed_s=2.5)
        refusal = self.refused(queue.offer(waiter, 8), RefusalCause.TOO_LONG)
        self.assertNotIn('new', queue)
        self.assertAlmostEqual(refusal.forecast.rate or 0, 1)
        self.assertLessEqual(refusal.retry_after_s, 1)
        self.assertGreaterEqual(refusal.retry_after_s, 0.5)

    def test_nothing_is_refused_without_an_observed_rate(self) -> None:
        """Guards against refusals while servers are away for a second."""
        queue = _queue()
        for number in range(50):
            self.assertFalse(queue.offer(_waiter(f'r{number}'), 0))

    def test_outage_does_not_lower_the_rate(self) -> None:
        """Guards against refusals because nothing was dispatched lately."""
        queue = _queue()
        _with_rate(queue, 1, 8)
        forecast = queue.forecast(_waiter('new'), 9.5)
        self.assertAlmostEqual(forecast.rate or 0, 1)
        self.assertAlmostEqual(forecast.rate_age_s, 1.5)

    def test_rate_of_an_empty_queue_is_forgotten(self) -> None:
        """Guards against refusals by a rate that only demand limited."""
        queue = _queue()
        _with_rate(queue, 1, 8)
        queue.leave('kept')
        self.assertIsNone(queue.forecast(_waiter('new'), 8).rate)

    def test_request_that_may_have_run_is_never_refused(self) -> None:
        """Guards against "not run" for what a server may have run."""
        queue = _queue(max_waiting=1)
        _with_rate(queue, 1, 8)
        sent = _waiter('sent', may_have_run=True, deadline_at_s=8)
        self.assertFalse(queue.offer(sent, 8))
        self.assertFalse(queue.refuse_late(9))
        self.assertFalse(queue.refuse_all(9))

    def test_full_queue_refuses_the_last_in_order(self) -> None:
        """Guards against unbounded queues, and urgent ones refused first."""
        queue = _queue(max_waiting=2)
        queue.offer(_waiter('a'), 0)
        queue.offer(_waiter('bulk', rank=1), 0)
        refusals = queue.offer(_waiter('b'), 0)
        refusal = self.refused(refusals, RefusalCause.FULL)
        self.assertEqual(refusal.waiter.request_id, 'bulk')

    def test_bytes_are_bounded(self) -> None:
        """Guards against a queue of few but large requests."""
        queue = _queue(max_bytes=10)
        queue.offer(_waiter('a', body_bytes=6), 0)
        refusals = queue.offer(_waiter('b', body_bytes=6), 0)
        self.refused(refusals, RefusalCause.FULL)

    def test_large_request_displaces_as_many_as_needed(self) -> None:
        """Guards against a queue that outgrows its bytes by urgent uploads."""
        queue = _queue(max_bytes=10)
        for number in range(5):
            queue.offer(_waiter(f'bulk{number}', rank=1, body_bytes=2), 0)
        refusals = queue.offer(_waiter('urgent', body_bytes=6), 0)
        self.assertEqual(
            [refusal.waiter.request_id for refusal in refusals],
            ['bulk4', 'bulk3', 'bulk2'],
        )
        self.assertEqual(_ids(queue), ['urgent', 'bulk0', 'bulk1'])

    def test_late_request_is_refused(self) -> None:
        """Guards against slots spent on requests that end too late."""
        queue = _queue()
        queue.offer(_waiter('a', needed_s=4), 0)
        self.assertFalse(queue.refuse_late(5.9))
        self.refused(queue.refuse_late(6), RefusalCause.LATE)

    def test_stop_refuses_all(self) -> None:
        """Guards against requests that wait at a host until it exits."""
        queue = _queue()
        queue.offer(_waiter('a'), 0)
        self.refused(queue.refuse_all(0), RefusalCause.STOPPING)
        self.assertFalse(len(queue))


class RunTimesTest(unittest.TestCase):
    """Times that requests of about one size need."""

    def test_short_requests_are_not_measured_by_long_ones(self) -> None:
        """Guards against short requests refused for the time of long ones."""
        times = RunTimes()
        for _ in range(5):
            times.record('engines', 'long', 9)
            times.record('engines', 'short', 1)
        self.assertEqual(times.median_s('engines', 'long'), 9)
        self.assertEqual(times.median_s('engines', 'short'), 1)

    def test_few_runs_tell_nothing(self) -> None:
        """Guards against refusals by the time of one slow run."""
        times = RunTimes()
        times.record('engines', 'long', 9)
        self.assertEqual(times.median_s('engines', 'long'), 0)


class HostShareTest(unittest.TestCase):
    """Free slots are divided by what waits at each host."""

    def mean(self, free: float, own: int, others: int) -> float:
        """Return the mean number of dispatches."""
        random = Random(1)
        quotas = [
            dispatch_quota(free, {1: own}, {1: others}, random)
            for _ in range(2000)
        ]
        return sum(quotas) / len(quotas)

    def test_share_is_in_proportion_to_waiting_requests(self) -> None:
        """Guards against many hosts that all take the same free slot."""
        self.assertAlmostEqual(self.mean(1, 1, 9), 0.1, delta=0.03)
        self.assertAlmostEqual(self.mean(8, 5, 5), 4, delta=0.1)

    def test_host_alone_uses_all_free_slots(self) -> None:
        """Guards against idle slots."""
        self.assertEqual(self.mean(3, 5, 0), 3)
        self.assertEqual(self.mean(9, 5, 0), 5)

    def test_urgent_requests_of_other_hosts_come_first(self) -> None:
        """Guards against bulk dispatched while urgent ones wait elsewhere."""
        quota = dispatch_quota(2, {1: 5}, {0: 2}, Random(1))
        self.assertEqual(quota, 0)


if __name__ == '__main__':
    unittest.main()
