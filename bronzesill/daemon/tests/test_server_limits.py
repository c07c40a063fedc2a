"""
A server in need names the requests a second that it takes from all hosts.

Pattern: one of a service's servers names a small limit while calls keep
coming at all hosts; the other servers have room.
"""

import asyncio
import time
import unittest
from collections import Counter

from ...standins.hosted_fleet import HostedFleet, HostedPlan
from ...standins.worker import WorkerPlan
from .hosted_caller import HostedCaller

_LIMIT_PER_S = 3.0
_CONTACT_S = 3.0
_WINDOW_S = 4.0
#: Requests allowed in a window.
_ALLOWED = 1.5 * _LIMIT_PER_S * _WINDOW_S + 5
_CALLS_PER_S = 25
_LENGTH_S = 8.0

_PLAN = HostedPlan(
    daemons=3,
    workers=(
        WorkerPlan('shop-a', 'shop', 'a', limit_per_s=_LIMIT_PER_S),
        WorkerPlan('shop-b', 'shop', 'b'),
    ),
)


def _largest_window(arrivals_s: list[float]) -> int:
    return max(
        sum(start_s <= other_s < start_s + _WINDOW_S for other_s in arrivals_s)
        for start_s in arrivals_s
    )


class ServerLimitTest(unittest.IsolatedAsyncioTestCase):
    """All hosts together stay within the limit that a server names."""

    # Guards against hosts that each go on sending to a server which has named
    # a limit for all of them together.
    async def test_fleet_stays_within_named_limit(self) -> None:
        statuses: Counter[int] = Counter()
        caller = HostedCaller()

        async def call(number: int) -> None:
            daemon = fleet.daemons[number % len(fleet.daemons)]
            kind = 'orders' if number % 2 else 'lookups'
            answer = await caller.send_request(
                daemon.settings.callers, f'/{kind}/{number}'
            )
            statuses[answer.status] += 1

        async with HostedFleet(_PLAN) as fleet:
            calls = []
            begun_at_s = time.monotonic()
            for number in range(int(_CALLS_PER_S * _LENGTH_S)):
                due_at_s = begun_at_s + number / _CALLS_PER_S
                await asyncio.sleep(max(due_at_s - time.monotonic(), 0))
                calls.append(asyncio.create_task(call(number)))
            await asyncio.gather(*calls)
            arrivals_s = fleet.workers_by_name['shop-a'].arrivals_s
        await caller.close()
        counted = [
            arrival_s
            for arrival_s in arrivals_s
            if arrival_s > arrivals_s[0] + _CONTACT_S
        ]
        self.assertLessEqual(_largest_window(counted), _ALLOWED)
        self.assertGreater(len(counted), 0)
        self.assertEqual(set(statuses), {200})
