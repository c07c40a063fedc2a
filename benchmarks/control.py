"""
Control cost of a daemon as the fleet grows, with real processes.

``python -m benchmarks.control --sizes 8 24 72 180`` prints, for each size,
processor time, bytes and memory a daemon and calls at the store, quiet and
with 5% of the daemons restarting, and how soon a configuration is in force.
"""

from __future__ import annotations

import argparse
import asyncio
import dataclasses
import time
from random import Random
from typing import Any

import aiohttp
import yaml

from bronzesill.config import ConfigChange, ConfigRepository
from bronzesill.platform import PlatformStore
from bronzesill.standins import (
    EngineProfile,
    EngineStandIn,
    HostListStandIn,
    StoreStandIn,
)
from bronzesill.standins.fleet import StandIn
from bronzesill.utils import Address, hash_secret

from .processes import ProcessFleet
from .report import fit_line, print_table, spread_of

_LOOPBACK = Address('127.0.0.1', 0)
_READY_TIMEOUT_S = 240
_CHANGES = 8
_CHANGE_PAUSE_S = 2.5
_CHANGE_WAITS = 6
_RESTARTED_SHARE = 0.05


@dataclasses.dataclass(frozen=True)
class Cost:
    """
    Control cost of one daemon over a while.

    :param cpu_percent: share of a core.
    :param bytes_per_s: bytes exchanged with peers a second.
    :param rss_mb: resident memory in megabytes.
    :param store_reads_per_s: reads at the store, of all daemons together.
    :param store_writes_per_s: writes at the store, of all daemons together.
    """

    cpu_percent: float
    bytes_per_s: float
    rss_mb: float
    store_reads_per_s: float
    store_writes_per_s: float


class Bench:
    """
    Stand-ins and daemon processes of one size.

    :param size: number of daemons.
    :param engines: number of engines, all in this process.
    :param accounts: number of client accounts.
    """

    def __init__(self, size: int, engines: int, accounts: int) -> None:
        self.store = StoreStandIn(_LOOPBACK)
        self.hosts = HostListStandIn(_LOOPBACK, lag_s=0)
        self.engines = [
            EngineStandIn('guide', EngineProfile('v1'), _LOOPBACK)
            for _ in range(engines)
        ]
        self.accounts = accounts
        self.fleet = ProcessFleet(size, self.store.address, self.hosts.address)

    def standins(self) -> tuple[StandIn, ...]:
        """Return all stand-ins."""
        return (self.store, self.hosts, *self.engines)

    def document(self, change: int) -> str:
        """Return a base file with many accounts, another one each change."""
        accounts = {
            f'account-{number}': {
                'key_sha256': hash_secret(f'{number}'),
                'weight': 1 + (number + change) % 3,
            }
            for number in range(self.accounts)
        }
        servers = {
            f'engine-{number}': {
                'address': str(engine.address),
                'failure_domain': f'domain-{number % 6}',
                'version': 'v1',
                'model': 'guide',
            }
            for number, engine in enumerate(self.engines)
        }
        return yaml.safe_dump(
            {
                'accounts': accounts,
                'models': {'guide': {'version': 'v1'}},
                'servers': servers,
            }
        )

    async def apply(self, session: aiohttp.ClientSession, change: int) -> int:
        """Put a configuration into the store and return its revision."""
        repository = ConfigRepository(
            PlatformStore(session, self.store.address)
        )
        wanted = ConfigChange(
            self.document(change), {}, 'bench', 'measure', time.time()
        )
        held = await repository.read()
        config = await repository.apply(held, wanted, 0)
        return config.number

    async def start(self, session: aiohttp.ClientSession) -> None:
        """Start everything and wait until all daemons are ready."""
        for standin in self.standins():
            await standin.start()
        self.hosts.replace(self.fleet.listed())
        await self.apply(session, 0)
        await self.fleet.start()
        async with asyncio.timeout(_READY_TIMEOUT_S):
            while True:
                statuses = await self.fleet.statuses(session)
                ready = sum(status['revision'] > 0 for status in statuses)
                if ready == len(self.fleet.daemons):
                    return
                await asyncio.sleep(1)

    async def stop(self) -> None:
        """End everything."""
        await self.fleet.stop()
        for standin in self.standins():
            await standin.stop()

    async def measure(
        self, session: aiohttp.ClientSession, seconds: float
    ) -> Cost:
        """Measure the control cost over a while."""
        statuses = await self.fleet.statuses(session)
        bytes_by_host = {each['host']: each['peer_bytes'] for each in statuses}
        usage_by_pid = {
            daemon.process.pid: daemon.usage()
            for daemon in self.fleet.daemons
            if daemon.process is not None
        }
        reads, writes = self.store.state.reads, self.store.state.writes
        await asyncio.sleep(seconds)
        cpu_s = [
            daemon.usage().cpu_s - usage_by_pid[daemon.process.pid].cpu_s
            for daemon in self.fleet.daemons
            if daemon.process is not None and daemon.process.pid in usage_by_pid
        ]
        rss = [daemon.usage().rss_mb for daemon in self.fleet.daemons]
        reads = self.store.state.reads - reads
        writes = self.store.state.writes - writes
        moved = [
            each['peer_bytes'] - bytes_by_host[each['host']]
            for each in await self.fleet.statuses(session)
            if each['peer_bytes'] >= bytes_by_host.get(each['host'], 2**62)
        ]
        return Cost(
            cpu_percent=100 * sum(cpu_s) / len(cpu_s) / seconds,
            bytes_per_s=sum(moved) / max(len(moved), 1) / seconds,
            rss_mb=max(rss),
            store_reads_per_s=reads / seconds,
            store_writes_per_s=writes / seconds,
        )

    async def restart_some(self, seconds: float) -> None:
        """Restart some of the daemons, spread over a while."""
        count = max(round(len(self.fleet.daemons) * _RESTARTED_SHARE), 1)
        chosen = Random(1).sample(self.fleet.daemons, count)
        for daemon in chosen:
            await daemon.kill()
            await daemon.start()
            await asyncio.sleep(seconds / count)

    async def change_configuration(
        self, session: aiohttp.ClientSession
    ) -> list[float]:
        """Return the seconds until each change was in force, per daemon."""
        delays: list[float] = []
        for change in range(1, _CHANGES + 1):
            before_s = time.time()
            number = await self.apply(session, change)
            statuses = await self._wait_for(session, number)
            delays.extend(
                each['adopted_at_s'] - before_s
                for each in statuses
                if each['revision'] == number
            )
            late = len(self.fleet.daemons) - sum(
                each['revision'] == number for each in statuses
            )
            if late:
                print(f'  revision {number}: {late} daemons not yet')
        return delays

    async def _wait_for(
        self, session: aiohttp.ClientSession, number: int
    ) -> list[dict[str, Any]]:
        statuses: list[dict[str, Any]] = []
        for _ in range(_CHANGE_WAITS):
            await asyncio.sleep(_CHANGE_PAUSE_S)
            statuses = await self.fleet.statuses(session)
            if all(each['revision'] == number for each in statuses):
                break
        return statuses


async def measure_size(
    size: int, options: argparse.Namespace
) -> tuple[Cost, Cost]:
    """Measure one size, quiet and with restarts."""
    bench = Bench(size, options.engines, options.accounts)
    async with aiohttp.ClientSession() as session:
        try:
            await bench.start(session)
            await asyncio.sleep(options.settle_s)
            quiet = await bench.measure(session, options.seconds)
            restarts = asyncio.create_task(bench.restart_some(options.seconds))
            churn = await bench.measure(session, options.seconds)
            await restarts
            _print_costs(size, quiet, churn)
            await asyncio.sleep(options.settle_s)
            delays = spread_of(await bench.change_configuration(session))
        finally:
            await bench.stop()
    print(
        f'  configuration in force: p50 {delays.p50:.3f} s, '
        f'p99 {delays.p99:.3f} s, max {delays.largest:.3f} s',
        flush=True,
    )
    return quiet, churn


def _print_costs(size: int, quiet: Cost, churn: Cost) -> None:
    for label, cost in (('quiet', quiet), ('restarts', churn)):
        print_table(
            (
                'daemons',
                'state',
                'cpu %',
                'B/s',
                'MB',
                'reads/s',
                'writes/s',
            ),
            [(size, label, *dataclasses.astuple(cost))],
        )


def main() -> None:
    """Measure all sizes and extrapolate."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--sizes', type=int, nargs='+', default=[8, 24, 72])
    parser.add_argument('--engines', type=int, default=16)
    parser.add_argument('--accounts', type=int, default=2000)
    parser.add_argument('--seconds', type=float, default=20)
    parser.add_argument('--settle-s', type=float, default=5)
    options = parser.parse_args()
    costs = [asyncio.run(measure_size(size, options)) for size in options.sizes]
    for index, label in enumerate(('quiet', 'restarts')):
        for name in (
            'cpu_percent',
            'bytes_per_s',
            'rss_mb',
            'store_reads_per_s',
            'store_writes_per_s',
        ):
            points = [getattr(pair[index], name) for pair in costs]
            line = fit_line(options.sizes, points)
            print(
                f'{label} {name}: slope {line.slope:.4g} a daemon, '
                f'offset {line.offset:.4g}, residual {line.residual:.2g}, '
                f'at 360: {line.at():.4g}'
            )


if __name__ == '__main__':
    main()
