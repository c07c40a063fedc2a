"""Tests of the rounds in which waiting requests look for a server."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Coroutine
from random import Random
from typing import Any

from ...standins.virtual_time import run_in_virtual_time
from ...utils import NullMetrics
from ..waiters import QueueRefusal, RefusalCause, Waiter
from ..waiting import WaitingRequest, WaitingRequests

_SERVICE = 'engines'


class _Callers:
    """Requests that look for a slot of a server when it is their turn."""

    def __init__(self) -> None:
        self.slots = 0
        #: Requests that no server may take, as by the bound on retries.
        self.blocked: frozenset[str] = frozenset()
        self.looks = 0
        self.served: list[str] = []
        self.refusals: list[QueueRefusal] = []
        self.waiting = WaitingRequests(Random(1), NullMetrics())

    def join(self, request_id: str, **changes: Any) -> None:
        """Let a request look, and wait if there is no slot."""
        now_s = asyncio.get_running_loop().time()
        fields: dict[str, Any] = {'deadline_at_s': now_s + 9, **changes}
        waiter = Waiter(request_id, 'a', now_s, **fields)

        def look() -> None:
            asyncio.get_running_loop().call_soon(self._look, request)

        request = WaitingRequest(waiter, request_id, look, self.refusals.append)
        if self.waiting.may_look(_SERVICE, request_id):
            self._look(request)
        else:
            self.waiting.join(_SERVICE, request)

    def _look(self, request: WaitingRequest) -> None:
        self.looks += 1
        is_blocked = request.waiter.request_id in self.blocked
        if is_blocked or not self.slots:
            self.waiting.join(_SERVICE, request)
            return
        self.slots -= 1
        self.served.append(request.waiter.request_id)
        self.waiting.found(_SERVICE, request.waiter.request_id)


async def _serve_one_by_one() -> _Callers:
    callers = _Callers()
    for number in range(3):
        callers.join(f'bulk{number}', rank=1)
    callers.join('urgent')
    for _ in range(4):
        await asyncio.sleep(0.07)
        callers.slots += 1
        callers.waiting.note_room(_SERVICE)
    await asyncio.sleep(0.07)
    return callers


async def _return_after_outage() -> _Callers:
    callers = _Callers()
    for number in range(40):
        callers.join(f'r{number}')
    await asyncio.sleep(1.2)
    callers.slots = 100
    await asyncio.sleep(0.11)
    return callers


async def _stop() -> _Callers:
    callers = _Callers()
    callers.join('waiting')
    callers.join('sent', may_have_run=True)
    callers.waiting.refuse_all()
    callers.join('later')
    await asyncio.sleep(0)
    return callers


async def _lose_turn() -> _Callers:
    callers = _Callers()
    now_s = asyncio.get_running_loop().time()
    lost = WaitingRequest(
        Waiter('lost', 'a', now_s, now_s + 9, may_have_run=True),
        'lost',
        lambda: None,
        callers.refusals.append,
    )
    callers.waiting.join(_SERVICE, lost)
    callers.join('next')
    callers.slots = 1
    await asyncio.sleep(0.6)
    return callers


async def _block_first() -> _Callers:
    callers = _Callers()
    callers.blocked = frozenset(f'retry{number}' for number in range(4))
    for request_id in sorted(callers.blocked):
        callers.join(request_id, is_retry=True)
    for number in range(3):
        callers.join(f'new{number}')
    callers.slots = 9
    await asyncio.sleep(1)
    return callers


async def _leave() -> _Callers:
    callers = _Callers()
    callers.join('gone')
    callers.join('next')
    callers.waiting.leave(_SERVICE, 'gone')
    callers.slots = 1
    await asyncio.sleep(0.2)
    return callers


async def _queue_versions() -> int:
    waiting = WaitingRequests(Random(1), NullMetrics())
    for number in range(100):
        now_s = asyncio.get_running_loop().time()
        waiter = Waiter(f'r{number}', 'a', now_s, now_s + 9)
        name = f'{_SERVICE} v{number}'
        waiting.join(
            name,
            WaitingRequest(
                waiter, waiter.request_id, lambda: None, lambda refusal: None
            ),
        )
        waiting.leave(name, waiter.request_id)
        await asyncio.sleep(10)
    return waiting.queues


async def _pass_by() -> _Callers:
    callers = _Callers()
    callers.slots = 3
    for number in range(3):
        callers.join(f'r{number}')
    return callers


async def _serve_beside(
    others: dict[int, int] | None, hosts: int = 8
) -> _Callers:
    callers = _Callers()
    callers.waiting.count_free = lambda service: callers.slots
    callers.waiting.count_others = lambda service: others
    callers.waiting.count_hosts = lambda: hosts
    for number in range(8):
        callers.join(f'r{number}', rank=1)
    await asyncio.sleep(0.05)
    callers.slots = 8
    callers.waiting.note_room(_SERVICE)
    await asyncio.sleep(0.01)
    return callers


def _play(scenario: Coroutine[Any, Any, _Callers]) -> _Callers:
    return run_in_virtual_time(scenario)


class WaitingRequestsTest(unittest.TestCase):
    """Waiting requests look for a server in the order of their queue."""

    def test_slots_go_to_the_first_in_order(self) -> None:
        """Guards against slots given in the order of timers."""
        callers = _play(_serve_one_by_one())
        self.assertEqual(callers.served, ['urgent', 'bulk0', 'bulk1', 'bulk2'])

    def test_all_are_dispatched_when_servers_return(self) -> None:
        """Guards against refusals and delays after a short outage."""
        callers = _play(_return_after_outage())
        self.assertEqual(len(callers.served), 40)
        self.assertEqual(callers.refusals, [])

    def test_few_look_while_there_is_no_room(self) -> None:
        """Guards against 40 requests that each ask ten times a second."""
        callers = _play(_return_after_outage())
        self.assertLess(callers.looks - len(callers.served), 150)

    def test_stop_refuses_what_waits_and_what_comes(self) -> None:
        """Guards against requests held by a host that stops."""
        callers = _play(_stop())
        self.assertEqual(
            [
                (refusal.waiter.request_id, refusal.cause)
                for refusal in callers.refusals
            ],
            [
                ('waiting', RefusalCause.STOPPING),
                ('later', RefusalCause.STOPPING),
            ],
        )

    def test_request_that_does_not_look_is_passed_over(self) -> None:
        """Guards against a queue that one lost request holds up."""
        self.assertEqual(_play(_lose_turn()).served, ['next'])

    def test_requests_that_find_no_server_hold_up_no_others(self) -> None:
        """Guards against retries beyond their bound that block a queue."""
        served = _play(_block_first()).served
        self.assertEqual(served, ['new0', 'new1', 'new2'])

    def test_request_that_left_is_passed_over(self) -> None:
        """Guards against a queue that a caller who left holds up."""
        self.assertEqual(_play(_leave()).served, ['next'])

    def test_queues_of_former_versions_are_forgotten(self) -> None:
        """Guards against hosts that keep a queue for each roll-out."""
        self.assertLess(run_in_virtual_time(_queue_versions()), 10)

    def test_nothing_waits_while_there_is_room(self) -> None:
        """Guards against delays at hosts whose servers have room."""
        callers = _play(_pass_by())
        self.assertEqual(callers.served, ['r0', 'r1', 'r2'])
        self.assertEqual(callers.looks, 3)


class ShareTest(unittest.TestCase):
    """A host takes its share of what is free, by what it has heard."""

    def served(self, others: dict[int, int] | None, hosts: int = 8) -> int:
        """Return how many requests of a host are dispatched at once."""
        return len(_play(_serve_beside(others, hosts)).served)

    def test_share_by_waiting_requests(self) -> None:
        """Guards against one host that takes all that is free."""
        self.assertEqual(self.served({1: 8}), 4)

    def test_urgent_requests_elsewhere_come_first(self) -> None:
        """Guards against bulk dispatched before urgent ones of others."""
        self.assertEqual(self.served({0: 8}), 0)

    def test_no_waiting_elsewhere(self) -> None:
        """Guards against idle slots, as beside hosts of a former build."""
        self.assertEqual(self.served({}), 8)

    def test_share_by_hosts_without_reports(self) -> None:
        """Guards against a cut host that takes all that is free."""
        self.assertEqual(self.served(None), 1)

    def test_host_that_is_alone(self) -> None:
        """Guards against idle slots at the only host."""
        self.assertEqual(self.served(None, hosts=1), 8)


if __name__ == '__main__':
    unittest.main()
