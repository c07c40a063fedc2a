"""
Test at-most-once calls under random faults and measure their store writes.

``python -m benchmarks.calls --calls 20000 --seed 1`` first measures the store
writes per call at several rates.  It then sends orders, each up to three
times through random daemons, while the store is down, slow or loses
responses, services are slow or fail after execution, and daemons are killed.
It counts orders that were executed more than once, orders that were executed
although every response said "not run", orders that were not executed although
a response reported success, and orders whose outcome stayed unknown.
"""

from __future__ import annotations

import argparse
import asyncio
import collections
import contextlib
import random
import time

import aiohttp

from bronzesill.standins.fleet import CALLER_KEY, Fleet, FleetPlan

from .report import print_table

_PLAN = FleetPlan(daemons=3, engines=1, services=3)
_FAULT_PERIOD_S = 0.6
# Codes CALL_NOT_RUN, REQUEST_ID_CONFLICT and NOT_READY.
_NOT_RUN_CODES = frozenset(('3001', '1014', '1011'))


class OrderCaller:
    """
    Sends orders through random daemons and records the results.

    :param fleet: fleet to which the orders are sent.
    :param seed: seed of the random number generator.
    """

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self.fleet = fleet
        self.random = random.Random(seed)
        self.results_by_key: dict[str, list[str]] = collections.defaultdict(
            list
        )

    async def place_order(
        self, session: aiohttp.ClientSession, number: int
    ) -> None:
        """
        Place one order with up to three attempts.

        The order is retried after each failure, and after a success with a
        probability of 10%.

        :param number: number of the order, part of its idempotency key.
        """
        key = f'{int(time.time())}-order-{number}'
        for _ in range(3):
            result = await self.send_once(session, key)
            self.results_by_key[key].append(result)
            if result == '200' and self.random.random() < 0.9:
                return
            await asyncio.sleep(self.random.uniform(0, 0.3))

    async def send_once(self, session: aiohttp.ClientSession, key: str) -> str:
        """
        Send an order once.

        :param key: idempotency key.
        :returns: ``'200'``, the error code, or ``'no answer'``.
        """
        daemon = self.random.choice(self.fleet.daemons)
        try:
            async with session.post(
                f'{daemon.address.url}/shop/orders',
                json={'crates': 1},
                headers={
                    'Authorization': f'Bearer {CALLER_KEY}',
                    'Idempotency-Key': key,
                },
                timeout=aiohttp.ClientTimeout(total=8),
            ) as response:
                answer = await response.json()
                if response.status < 400:
                    return '200'
                return str(answer.get('error', {}).get('code', '500'))
        except (aiohttp.ClientError, TimeoutError):
            return 'no answer'


async def inject_faults(fleet: Fleet, seed: int) -> None:
    """Inject one random fault per period until cancelled."""
    rng = random.Random(seed)
    daemon_number = 100
    while True:
        faults = fleet.store.state.faults
        faults.down = False
        faults.delay_s = 0
        for service in fleet.services:
            service.delay_s = 0
            service.fail_after_run = False
        kind = rng.choice(
            ('down', 'slow', 'lost', 'service', 'failing', 'daemon', 'none')
        )
        if kind == 'down':
            faults.down = True
        elif kind == 'slow':
            faults.delay_s = rng.uniform(0.05, 0.6)
        elif kind == 'lost':
            faults.lose_answers = rng.randint(1, 3)
        elif kind == 'service':
            rng.choice(fleet.services).delay_s = rng.uniform(0.5, 4)
        elif kind == 'failing':
            rng.choice(fleet.services).fail_after_run = True
        elif kind == 'daemon':
            await fleet.kill_daemon(rng.choice(fleet.daemons))
            daemon_number += 1
            await fleet.add_daemon(daemon_number)
        await asyncio.sleep(_FAULT_PERIOD_S)


async def measure_under_faults(calls: int, seed: int, at_once: int) -> None:
    """
    Send orders while faults are injected and print their outcomes.

    :param calls: number of orders.
    :param seed: seed of the random faults and of the caller.
    :param at_once: maximum number of concurrent orders.
    """
    async with (
        Fleet(_PLAN) as fleet,
        aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True)
        ) as session,
    ):
        order_caller = OrderCaller(fleet, seed)
        semaphore = asyncio.Semaphore(at_once)

        async def place_numbered_order(number: int) -> None:
            async with semaphore:
                await order_caller.place_order(session, number)

        fault_task = asyncio.create_task(inject_faults(fleet, seed))
        await asyncio.gather(
            *(place_numbered_order(number) for number in range(calls))
        )
        fault_task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await fault_task
        await asyncio.sleep(5)
        runs = collections.Counter(
            key for service in fleet.services for key in service.runs
        )
        results_by_key = order_caller.results_by_key
        executed_twice = sum(runs[key] > 1 for key in results_by_key)
        false_not_run_count = sum(
            runs[key] > 0 and set(results) <= _NOT_RUN_CODES
            for key, results in results_by_key.items()
        )
        false_done_count = sum(
            '200' in results and runs[key] == 0
            for key, results in results_by_key.items()
        )
        unknown_outcome_keys = [
            key
            for key, results in results_by_key.items()
            if results[-1] == '3002'
        ]
        final_results = collections.Counter(
            results[-1] for results in results_by_key.values()
        )
        print(
            f'{len(results_by_key)} orders, '
            f'{sum(map(len, results_by_key.values()))} calls'
        )
        print(f'executed more than once: {executed_twice}')
        print(f'executed, but all responses "not run": {false_not_run_count}')
        print(f'reported as done, but not executed: {false_done_count}')
        print(
            f'final response "outcome unknown": {len(unknown_outcome_keys)}, '
            'of which executed: '
            f'{sum(runs[key] > 0 for key in unknown_outcome_keys)}'
        )
        print(
            f'final responses: {dict(final_results.most_common())}', flush=True
        )


async def measure_store_writes(rates: list[int], seconds: float) -> None:
    """
    Print the store writes per call at several call rates.

    :param rates: calls per second.
    :param seconds: duration of each rate.
    """
    rows = []
    async with (
        Fleet(_PLAN) as fleet,
        aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True)
        ) as session,
    ):
        order_caller = OrderCaller(fleet, 1)
        for rate in rates:
            writes_before = fleet.store.state.writes
            started_s = time.monotonic()
            tasks = []
            count = max(int(rate * seconds), 5)
            for number in range(count):
                due_s = started_s + number / rate
                await asyncio.sleep(max(due_s - time.monotonic(), 0))
                key = f'{int(time.time())}-rate-{rate}-{number}'
                tasks.append(
                    asyncio.create_task(order_caller.send_once(session, key))
                )
            results = collections.Counter(await asyncio.gather(*tasks))
            elapsed_s = time.monotonic() - started_s
            await asyncio.sleep(0.5)
            writes = fleet.store.state.writes - writes_before
            rows.append(
                (
                    rate,
                    count / elapsed_s,
                    results['200'] / count,
                    writes / elapsed_s,
                    writes / count,
                )
            )
    print_table(
        (
            'target calls/s',
            'calls/s',
            'answered',
            'store writes/s',
            'writes a call',
        ),
        rows,
    )
    print('baseline, one store write per claim and one per outcome: 2 a call')


def main() -> None:
    """Run both measurements and print their results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--calls', type=int, default=20_000)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--at-once', type=int, default=60)
    parser.add_argument(
        '--rates', type=int, nargs='+', default=[1, 10, 100, 300]
    )
    parser.add_argument('--seconds', type=float, default=8)
    options = parser.parse_args()
    asyncio.run(measure_store_writes(options.rates, options.seconds))
    asyncio.run(
        measure_under_faults(options.calls, options.seed, options.at_once)
    )


if __name__ == '__main__':
    main()
