"""Calls to plain services while services, daemons or the store fail."""

import asyncio
import time
import unittest
from typing import Any

from ...standins.fleet import Fleet, FleetPlan
from .caller import send_request

_ORDERS = '/shop/orders'
_STOCK = '/shop/stock/kraft'


def _key(name: str) -> str:
    return f'{int(time.time())}-{name}'


async def _order(fleet: Fleet, daemon: int, key: str, **options: Any) -> Any:
    return await send_request(
        fleet.daemons[daemon].address,
        _ORDERS,
        'POST',
        headers={'Idempotency-Key': key} if key else {},
        json=options.pop('body', {'crates': 1}),
    )


def _runs(fleet: Fleet, key: str) -> int:
    return sum(service.runs.count(key) for service in fleet.services)


class AtMostOnceTest(unittest.IsolatedAsyncioTestCase):
    """An order runs at most once, whichever component fails."""

    async def asyncSetUp(self) -> None:
        plan = FleetPlan(daemons=3, engines=1, services=2)
        self.fleet = await Fleet(plan).__aenter__()
        self.store = self.fleet.store.state

    async def asyncTearDown(self) -> None:
        await self.fleet.__aexit__()

    async def test_retry_at_any_daemon_returns_recorded_answer(self) -> None:
        key = _key('a')
        status, first, _ = await _order(self.fleet, 0, key)
        self.assertEqual(status, 200)
        for daemon in range(3):
            status, again, headers = await _order(self.fleet, daemon, key)
            self.assertEqual((status, again), (200, first))
            self.assertEqual(headers['Idempotent-Replayed'], 'true')
        self.assertEqual(_runs(self.fleet, key), 1)

    async def test_concurrent_calls_with_same_key(self) -> None:
        key = _key('b')
        answers = await asyncio.gather(
            *(_order(self.fleet, number % 3, key) for number in range(12))
        )
        self.assertEqual({answer[0] for answer in answers}, {200})
        self.assertEqual(_runs(self.fleet, key), 1)

    async def test_store_outage_rejects_orders_but_not_lookups(
        self,
    ) -> None:
        self.store.faults.down = True
        key = _key('c')
        status, reply, _ = await _order(self.fleet, 0, key)
        self.assertEqual(reply['error']['code'], '3001')
        status, _, _ = await send_request(self.fleet.daemons[0].address, _STOCK)
        self.assertEqual(status, 200)
        self.store.faults.down = False
        await asyncio.sleep(0.3)
        self.assertEqual(_runs(self.fleet, key), 0)
        status, _, _ = await _order(self.fleet, 1, key)
        self.assertEqual((status, _runs(self.fleet, key)), (200, 1))

    async def test_store_answer_lost_after_the_write(self) -> None:
        await _order(self.fleet, 0, _key('warm'))
        self.store.faults.lose_answers = 1
        key = _key('d')
        status, reply, _ = await _order(self.fleet, 0, key)
        self.assertIn(_runs(self.fleet, key), (0, 1))
        if status != 200:
            self.assertEqual(reply['error']['code'], '3001')
            self.assertEqual(_runs(self.fleet, key), 0)

    async def test_service_fails_after_execution(self) -> None:
        key = _key('e')
        for service in self.fleet.services:
            service.abort_after_run = True
        _, reply, _ = await _order(self.fleet, 0, key)
        self.assertEqual(reply['error']['code'], '3002')
        _, reply, _ = await _order(self.fleet, 1, key)
        self.assertEqual(reply['error']['code'], '3002')
        self.assertEqual(_runs(self.fleet, key), 1)

    async def test_service_error_is_recorded_as_outcome(self) -> None:
        key = _key('f')
        for service in self.fleet.services:
            service.fail_after_run = True
        first, _, _ = await _order(self.fleet, 0, key)
        again, _, _ = await _order(self.fleet, 2, key)
        self.assertEqual((first, again), (500, 500))
        self.assertEqual(_runs(self.fleet, key), 1)

    async def test_unreachable_service_is_not_run_and_may_be_retried(
        self,
    ) -> None:
        key = _key('g')
        for service in self.fleet.services:
            await service.stop()
        _, reply, _ = await _order(self.fleet, 0, key)
        self.assertEqual(reply['error']['code'], '3001')
        _, reply, _ = await _order(self.fleet, 1, key)
        self.assertEqual(reply['error']['code'], '3001')
        self.assertEqual(_runs(self.fleet, key), 0)

    async def test_daemon_killed_while_call_runs(self) -> None:
        key = _key('h')
        for service in self.fleet.services:
            service.delay_s = 1
        killed_daemon = self.fleet.daemons[0]
        call = asyncio.create_task(_order(self.fleet, 0, key))
        async with asyncio.timeout(5):
            while not _runs(self.fleet, key):
                await asyncio.sleep(0.01)
        await self.fleet.kill_daemon(killed_daemon)
        await asyncio.gather(call, return_exceptions=True)
        _, reply, _ = await _order(self.fleet, 0, key)
        self.assertIn(reply['error']['code'], ('3002', '3003'))
        self.assertEqual(_runs(self.fleet, key), 1)

    # Guards against an order that runs twice because the store, back from an
    # older copy, has lost its record.
    async def test_order_that_the_store_has_lost(self) -> None:
        await _order(self.fleet, 0, _key('warm'))
        copy = self.store.copy()
        key = _key('lost')
        status, first, _ = await _order(self.fleet, 0, key)
        self.assertEqual(status, 200)
        await self.fleet.store.restore(copy)
        # Each owner of a partition reads it again when it writes.
        await asyncio.gather(
            *(_order(self.fleet, 0, _key(f'{number}')) for number in range(40))
        )
        status, again, _ = await _order(self.fleet, 1, key)
        self.assertEqual((status, again), (200, first))
        self.assertEqual(_runs(self.fleet, key), 1)

    # Guards against the same where nobody is left who knows of the order.
    async def test_order_that_all_have_lost(self) -> None:
        await _order(self.fleet, 0, _key('warm'))
        copy = self.store.copy()
        key = _key('gone')
        self.assertEqual((await _order(self.fleet, 0, key))[0], 200)
        for daemon in tuple(self.fleet.daemons):
            await self.fleet.kill_daemon(daemon)
        await self.fleet.store.restore(copy)
        for number in range(10, 13):
            await self.fleet.add_daemon(number)
        await self.fleet.wait_until_ready()
        _, reply, _ = await _order(self.fleet, 1, key)
        self.assertEqual(reply['error']['code'], '3002')
        self.assertEqual(_runs(self.fleet, key), 1)

    async def test_reused_malformed_and_expired_keys(self) -> None:
        key = _key('i')
        await _order(self.fleet, 0, key)
        _, reply, _ = await _order(self.fleet, 1, key, body={'crates': 2})
        self.assertEqual(reply['error']['code'], '3004')
        _, reply, _ = await _order(self.fleet, 1, 'no-time')
        self.assertEqual(reply['error']['code'], '1007')
        _, reply, _ = await _order(self.fleet, 1, '1000000000-old')
        self.assertEqual(reply['error']['code'], '3005')

    async def test_call_without_key_runs_once(self) -> None:
        status, _, _ = await _order(self.fleet, 0, '')
        self.assertEqual((status, _runs(self.fleet, '')), (200, 1))

    async def test_many_calls_share_store_writes(self) -> None:
        await _order(self.fleet, 0, _key('warm'))
        writes = self.store.writes
        count = 200
        semaphore = asyncio.Semaphore(60)

        async def order(number: int) -> Any:
            async with semaphore:
                return await _order(self.fleet, number % 3, _key(f'j{number}'))

        answers = await asyncio.gather(*map(order, range(count)))
        self.assertEqual({answer[0] for answer in answers}, {200})
        await asyncio.sleep(0.3)
        self.assertLess(self.store.writes - writes, count)


class IdempotentTest(unittest.IsolatedAsyncioTestCase):
    """Lookups are retried at other servers and hedged when slow."""

    async def test_failed_and_slow_servers_are_avoided(self) -> None:
        plan = FleetPlan(daemons=1, engines=1, services=3)
        async with Fleet(plan) as fleet:
            address = fleet.daemons[0].address
            await fleet.services[0].stop()
            fleet.services[1].delay_s = 2
            # Four calls need at most eight retries; the retry budget is ten.
            started_s = time.monotonic()
            answers = await asyncio.gather(
                *(send_request(address, _STOCK) for _ in range(4))
            )
            self.assertEqual({answer[0] for answer in answers}, {200})
            self.assertLess(time.monotonic() - started_s, 1.5)
