"""
Servers that end when they reject more than N requests in a second.

Pattern: callers press on all hosts with several times the requests that the
servers of a service can run, while the servers say that they are brittle and
let fewer requests wait than before.
"""

import asyncio
import time
import unittest
from collections import Counter

from ...standins.brittle import BrittlePlan
from ...standins.hosted_fleet import HostedFleet, HostedPlan
from ...standins.worker import WorkerPlan
from .hosted_caller import HostedCaller

_SERVERS = 3
_SLOTS = 4
_WORK_S = 0.2
_BRITTLE = BrittlePlan(rejections_per_s=5, waiting=12, waiting_later=2)
_CAPACITY_PER_S = _SERVERS * _SLOTS / _WORK_S
#: Requests per second in steps of time: usual ones, then a burst.
_CALM_PER_S = 40.0
_BURST_PER_S = 3 * _CAPACITY_PER_S
_CALM_S = 4.0
_BURST_S = 4.0
_ALLOWED_FALLS = 2 + _SERVERS / 10
#: Fraction of the capacity that a burst must still get.
_MIN_SERVED = 0.6
#: Fraction of the usual calls that must be answered.
_MIN_CALM_SERVED = 0.9

_PLAN = HostedPlan(
    daemons=3,
    workers=tuple(
        WorkerPlan(
            f'shop-{domain}',
            'shop',
            domain,
            slots=_SLOTS,
            work_s=_WORK_S,
            brittle=_BRITTLE,
        )
        for domain in 'abc'
    ),
    crash_s=2,
)


class _Load:
    """Calls at steady rates on all hosts of a fleet."""

    def __init__(self, fleet: HostedFleet) -> None:
        self.statuses: Counter[int] = Counter()
        self._fleet = fleet
        self._caller = HostedCaller()

    async def press(self, per_s: float, length_s: float) -> None:
        calls = []
        begun_at_s = time.monotonic()
        for number in range(int(per_s * length_s)):
            due_at_s = begun_at_s + number / per_s
            await asyncio.sleep(max(due_at_s - time.monotonic(), 0))
            calls.append(asyncio.create_task(self._call(number)))
        await asyncio.gather(*calls)

    async def close(self) -> None:
        await self._caller.close()

    async def _call(self, number: int) -> None:
        daemon = self._fleet.daemons[number % len(self._fleet.daemons)]
        kind = 'orders' if number % 2 else 'lookups'
        answer = await self._caller.send_request(
            daemon.settings.callers, f'/{kind}/{number}'
        )
        self.statuses[answer.status] += 1


class BrittleServerTest(unittest.IsolatedAsyncioTestCase):
    """A burst does not end the servers of a brittle service."""

    # Guards against bursts that end brittle servers one after the other,
    # because each host goes on sending to full ones.
    async def test_burst_ends_few_brittle_servers(self) -> None:
        async with HostedFleet(_PLAN) as fleet:
            load = _Load(fleet)
            await load.press(_CALM_PER_S, _CALM_S)
            calm = load.statuses[200] / load.statuses.total()
            load.statuses.clear()
            await load.press(_BURST_PER_S, _BURST_S)
            await load.close()
            falls = len(fleet.crashes_s)
        self.assertLessEqual(falls, _ALLOWED_FALLS)
        self.assertGreaterEqual(calm, _MIN_CALM_SERVED)
        self.assertGreaterEqual(
            load.statuses[200], _MIN_SERVED * _CAPACITY_PER_S * _BURST_S
        )
