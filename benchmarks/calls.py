"""
Calls that must not be repeated, under random faults at every interface.

``python -m benchmarks.calls --calls 20000 --seed 1`` sends orders, each up
to three times through different daemons, while the store is down, slow or
loses answers, services abort, and daemons die.  It counts calls that ran
twice, refusals "not run" that were false, and outcomes left unknown; then
store writes a call at several rates.
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
_NOT_RUN = frozenset(('3001', '1014', '1011'))


class Orders:
    """Sends orders and keeps what callers were told."""

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self.fleet = fleet
        self.random = random.Random(seed)
        self.told_by_key: dict[str, list[str]] = collections.defaultdict(list)

    async def order(self, session: aiohttp.ClientSession, number: int) -> None:
        """Send one order, again after any refusal, three times at most."""
        key = f'{int(time.time())}-order-{number}'
        for _ in range(3):
            told = await self._send(session, key)
            self.told_by_key[key].append(told)
            if told == '200' and self.random.random() < 0.9:
                return
            await asyncio.sleep(self.random.uniform(0, 0.3))

    async def _send(self, session: aiohttp.ClientSession, key: str) -> str:
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
                reply = await response.json()
                if response.status < 400:
                    return '200'
                return str(reply.get('error', {}).get('code', '500'))
        except (aiohttp.ClientError, TimeoutError):
            return 'no answer'


async def make_faults(fleet: Fleet, seed: int) -> None:
    """Break one thing after the other, for ever."""
    rng = random.Random(seed)
    number = 100
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
            number += 1
            await fleet.add_daemon(number)
        await asyncio.sleep(_FAULT_PERIOD_S)


async def run_faults(calls: int, seed: int, at_once: int) -> None:
    """Send the orders under faults and print what became of them."""
    async with (
        Fleet(_PLAN) as fleet,
        aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True)
        ) as session,
    ):
        orders = Orders(fleet, seed)
        gate = asyncio.Semaphore(at_once)

        async def one(number: int) -> None:
            async with gate:
                await orders.order(session, number)

        breaking = asyncio.create_task(make_faults(fleet, seed))
        await asyncio.gather(*(one(number) for number in range(calls)))
        breaking.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await breaking
        await asyncio.sleep(5)
        runs = collections.Counter(
            key for service in fleet.services for key in service.runs
        )
        told = orders.told_by_key
        twice = sum(runs[key] > 1 for key in told)
        false_not_run = sum(
            runs[key] > 0 and set(answers) <= _NOT_RUN
            for key, answers in told.items()
        )
        lost = sum(
            '200' in answers and runs[key] == 0 for key, answers in told.items()
        )
        unknown = [
            key for key, answers in told.items() if answers[-1] == '3002'
        ]
        last = collections.Counter(answers[-1] for answers in told.values())
        print(f'{len(told)} orders, {sum(map(len, told.values()))} calls')
        print(f'run twice: {twice}')
        print(f'told "not run" only, but run: {false_not_run}')
        print(f'told done, but not run: {lost}')
        print(
            f'last word "outcome unknown": {len(unknown)}, of which had run: '
            f'{sum(runs[key] > 0 for key in unknown)}'
        )
        print(f'last words: {dict(last.most_common())}', flush=True)


async def run_rates(rates: list[int], seconds: float) -> None:
    """Print store writes a call at several rates."""
    rows = []
    async with (
        Fleet(_PLAN) as fleet,
        aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True)
        ) as session,
    ):
        orders = Orders(fleet, 1)
        for rate in rates:
            before = fleet.store.state.writes
            started_s = time.monotonic()
            tasks = []
            count = max(int(rate * seconds), 5)
            for number in range(count):
                due_s = started_s + number / rate
                await asyncio.sleep(max(due_s - time.monotonic(), 0))
                key = f'{int(time.time())}-rate-{rate}-{number}'
                tasks.append(asyncio.create_task(orders._send(session, key)))
            told = collections.Counter(await asyncio.gather(*tasks))
            spent_s = time.monotonic() - started_s
            await asyncio.sleep(0.5)
            writes = fleet.store.state.writes - before
            rows.append(
                (
                    rate,
                    count / spent_s,
                    told['200'] / count,
                    writes / spent_s,
                    writes / count,
                )
            )
    print_table(
        (
            'wanted calls/s',
            'calls/s',
            'answered',
            'store writes/s',
            'writes a call',
        ),
        rows,
    )
    print('baseline, one store write a claim and one an outcome: 2 a call')


def main() -> None:
    """Run both measurements."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--calls', type=int, default=20_000)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--at-once', type=int, default=60)
    parser.add_argument(
        '--rates', type=int, nargs='+', default=[1, 10, 100, 300]
    )
    parser.add_argument('--seconds', type=float, default=8)
    options = parser.parse_args()
    asyncio.run(run_rates(options.rates, options.seconds))
    asyncio.run(run_faults(options.calls, options.seed, options.at_once))


if __name__ == '__main__':
    main()
