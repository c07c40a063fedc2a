"""Orders of operators to move traffic, carried out on the platform."""

import asyncio
import unittest

import aiohttp
import orjson

from ...moves import OrderStatus
from ...platform import (
    ORDER_PREFIX,
    PlatformStore,
    decode_status,
    status_key,
)
from ...standins.hosted_fleet import HostedFleet, HostedPlan
from ...standins.worker import WorkerPlan
from ...store import Mutation
from .hosted_caller import HostedCaller

_SERVICE = 'shop'
_WINDOW_S = 8.0
_OLD = ('old-a', 'old-b')
_NEW = ('new-a', 'new-b')
#: What a bad version may get: a tenth of all requests, and 50.
_EXPOSURE_RATIO = 0.1
_EXPOSURE_SLACK = 50
_FAILS_FOR_EVER = 1_000_000
#: From the death of a worker until its entry has lapsed.
_LAPSE_S = 2.5


def _plan(failures: int) -> HostedPlan:
    old = tuple(WorkerPlan(name, _SERVICE, name[-1]) for name in _OLD)
    new = tuple(
        WorkerPlan(name, _SERVICE, name[-1], version='v2', failures=failures)
        for name in _NEW
    )
    return HostedPlan(daemons=3, workers=(*old, *new))


class _OrderCase(unittest.IsolatedAsyncioTestCase):
    failures = 0

    async def asyncSetUp(self) -> None:
        plan = _plan(self.failures)
        self.fleet = HostedFleet(plan)
        # Orders come before the workers of the new version.
        await self.fleet.store.start()
        await self.order()
        await self.fleet.__aenter__()
        self.caller = HostedCaller()
        self.statuses: list[int] = []
        self.calling = asyncio.create_task(self.call_for_ever())

    async def asyncTearDown(self) -> None:
        self.calling.cancel()
        await asyncio.gather(self.calling, return_exceptions=True)
        await self.caller.close()
        await self.fleet.__aexit__()

    async def order(self) -> None:
        key = f'{ORDER_PREFIX}{_SERVICE}'
        order = {
            'service': _SERVICE,
            'target': 'v2',
            'durationS': _WINDOW_S,
        }
        async with aiohttp.ClientSession() as session:
            store = PlatformStore(session, self.fleet.store.address)
            await store.compare_and_swap(
                key, 0, (Mutation(key, orjson.dumps(order)),)
            )

    async def told(self) -> OrderStatus | None:
        async with aiohttp.ClientSession() as session:
            store = PlatformStore(session, self.fleet.store.address)
            entry = await store.get(status_key(_SERVICE))
        return decode_status(entry.payload) if entry else None

    async def until_final(self) -> OrderStatus:
        async with asyncio.timeout(_WINDOW_S + 2):
            told = await self.told()
            while told is None or not told.is_final:
                await asyncio.sleep(0.1)
                told = await self.told()
        return told

    async def call_for_ever(self) -> None:
        while True:
            daemon = self.fleet.daemons[self.caller.sent % 3]
            answer = await self.caller.ask(
                daemon.settings.callers, '/orders/1', X_Deadline_Ms='1000'
            )
            self.statuses.append(answer.status)
            await asyncio.sleep(0.02)

    def runs(self, names: tuple[str, ...]) -> int:
        return sum(
            self.fleet.workers_by_name[name].runs_by_id.total()
            for name in names
        )


class GoodVersionTest(_OrderCase):
    """A good version gets all traffic, then operators hear so."""

    async def test_completed_within_its_time(self) -> None:
        told = await self.until_final()
        self.assertTrue(told.is_done)
        before = self.runs(_OLD)
        # The old workers are stopped as soon as operators hear.
        for name in _OLD:
            await self.fleet.workers_by_name[name].stop()
        answered = len(self.statuses)
        await asyncio.sleep(0.6)
        self.assertEqual(self.runs(_OLD), before)
        self.assertGreater(len(self.statuses), answered)
        self.assertEqual(set(self.statuses), {200})


class BadVersionTest(_OrderCase):
    """A bad version gets little, and nothing soon after it shows."""

    failures = _FAILS_FOR_EVER

    async def test_taken_back_and_left_alone(self) -> None:
        told = await self.until_final()
        self.assertTrue(told.is_taken_back)
        exposed = self.runs(_NEW)
        allowed = _EXPOSURE_RATIO * self.caller.sent + _EXPOSURE_SLACK
        self.assertGreater(exposed, 0)
        self.assertLessEqual(exposed, allowed)
        # Not even when no server of the old version is left.
        for name in _OLD:
            await self.fleet.workers_by_name[name].stop()
        await asyncio.sleep(_LAPSE_S)
        self.assertEqual(self.runs(_NEW), exposed)

    async def test_taken_back_with_the_store_down(self) -> None:
        while not self.runs(_NEW):
            await asyncio.sleep(0.02)
        self.fleet.store.state.faults.down = True
        await asyncio.sleep(_WINDOW_S / 2)
        exposed = self.runs(_NEW)
        await asyncio.sleep(0.6)
        self.assertEqual(self.runs(_NEW), exposed)
        self.fleet.store.state.faults.down = False
        self.assertTrue((await self.until_final()).is_taken_back)
