"""
Measure the control-plane cost of daemons as a function of fleet size.

``python -m benchmarks.control --sizes 8 24 72 180`` starts daemons as
processes and prints, for each size, processor time, bytes and memory per
daemon and the store's request rate, idle and while 5% of the daemons restart,
and the delay until a changed configuration is in force.
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

from bronzesill.config.repository import ConfigChange, ConfigRepository
from bronzesill.platform.store import PlatformStore
from bronzesill.standins import (
    EngineProfile,
    EngineStandIn,
    HostListStandIn,
    StoreStandIn,
)
from bronzesill.standins.fleet import StandIn
from bronzesill.utils import Address, hash_secret

from .processes import ProcessFleet
from .report import fit_linear, percentiles_of, print_table

_LOOPBACK = Address('127.0.0.1', 0)
_READY_TIMEOUT_S = 240
_CHANGE_COUNT = 8
_STATUS_POLL_PERIOD_S = 2.5
_MAX_STATUS_POLLS = 6
_RESTARTED_FRACTION = 0.05


@dataclasses.dataclass(frozen=True)
class Cost:
    """
    Control-plane cost, averaged over a measurement period.

    :param cpu_percent: processor time per daemon, in percent of a core.
    :param bytes_per_s: bytes per second that a daemon exchanges with peers.
    :param rss_mb: largest resident memory of a daemon in mebibytes.
    :param store_reads_per_s: store reads per second of all daemons together.
    :param store_writes_per_s: store writes per second of all daemons
        together.
    """

    cpu_percent: float
    bytes_per_s: float
    rss_mb: float
    store_reads_per_s: float
    store_writes_per_s: float


class ControlBenchmark:
    """
    Fleet of daemon processes with stand-ins of the platform and engines.

    :param size: number of daemons.
    :param engines: number of stand-in engines, all in this process.
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
        """Return the stand-ins of store, list of hosts and engines."""
        return (self.store, self.hosts, *self.engines)

    def base_document(self, change_number: int) -> str:
        """
        Return the base file of the configuration.

        :param change_number: number of the change; the weights of the client
            accounts depend on it.
        """
        accounts = {
            f'account-{number}': {
                'key_sha256': hash_secret(f'{number}'),
                'weight': 1 + (number + change_number) % 3,
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

    async def apply(
        self, session: aiohttp.ClientSession, change_number: int
    ) -> int:
        """Write a configuration to the store and return its revision."""
        repository = ConfigRepository(PlatformStore(self.store.address))
        change = ConfigChange(
            self.base_document(change_number),
            {},
            'bench',
            'measure',
            time.time(),
        )
        current = await repository.read()
        config = await repository.apply(current, change, 0)
        return config.number

    async def start(self, session: aiohttp.ClientSession) -> None:
        """
        Start the stand-ins and daemons and wait until all daemons are ready.

        :raises TimeoutError: if a daemon has no configuration in force after
            240 s.
        """
        for standin in self.standins():
            await standin.start()
        self.hosts.replace(self.fleet.host_entries())
        await self.apply(session, 0)
        await self.fleet.start()
        async with asyncio.timeout(_READY_TIMEOUT_S):
            while True:
                statuses = await self.fleet.fetch_statuses(session)
                ready_count = sum(status['revision'] > 0 for status in statuses)
                if ready_count == len(self.fleet.daemons):
                    return
                await asyncio.sleep(1)

    async def stop(self) -> None:
        """Stop the daemons and the stand-ins."""
        await self.fleet.stop()
        for standin in self.standins():
            await standin.stop()

    async def measure(
        self, session: aiohttp.ClientSession, seconds: float
    ) -> Cost:
        """
        Measure the control-plane cost.

        Daemons that restart during the period are left out of the processor
        time and of the bytes.

        :param seconds: length of the measurement period.
        """
        statuses = await self.fleet.fetch_statuses(session)
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
        transferred_bytes = [
            each['peer_bytes'] - bytes_by_host[each['host']]
            for each in await self.fleet.fetch_statuses(session)
            if each['peer_bytes'] >= bytes_by_host.get(each['host'], 2**62)
        ]
        return Cost(
            cpu_percent=100 * sum(cpu_s) / len(cpu_s) / seconds,
            bytes_per_s=sum(transferred_bytes)
            / max(len(transferred_bytes), 1)
            / seconds,
            rss_mb=max(rss),
            store_reads_per_s=reads / seconds,
            store_writes_per_s=writes / seconds,
        )

    async def restart_sample(self, seconds: float) -> None:
        """
        Kill and restart a random sample of the daemons.

        :param seconds: period over which the restarts are spread evenly.
        """
        count = max(round(len(self.fleet.daemons) * _RESTARTED_FRACTION), 1)
        selected = Random(1).sample(self.fleet.daemons, count)
        for daemon in selected:
            await daemon.kill()
            await daemon.start()
            await asyncio.sleep(seconds / count)

    async def measure_configuration_changes(
        self, session: aiohttp.ClientSession
    ) -> list[float]:
        """
        Change the configuration repeatedly.

        :returns: delay in seconds of each change at each daemon that had it in
            force at the last poll.
        """
        delays: list[float] = []
        for change_number in range(1, _CHANGE_COUNT + 1):
            started_at_s = time.time()
            number = await self.apply(session, change_number)
            statuses = await self._poll_until_revision(session, number)
            delays.extend(
                each['adopted_at_s'] - started_at_s
                for each in statuses
                if each['revision'] == number
            )
            late_count = len(self.fleet.daemons) - sum(
                each['revision'] == number for each in statuses
            )
            if late_count:
                print(
                    f'  revision {number}: not in force at {late_count} daemons'
                )
        return delays

    async def _poll_until_revision(
        self, session: aiohttp.ClientSession, number: int
    ) -> list[dict[str, Any]]:
        statuses: list[dict[str, Any]] = []
        for _ in range(_MAX_STATUS_POLLS):
            await asyncio.sleep(_STATUS_POLL_PERIOD_S)
            statuses = await self.fleet.fetch_statuses(session)
            if all(each['revision'] == number for each in statuses):
                break
        return statuses


async def measure_size(
    size: int, options: argparse.Namespace
) -> tuple[Cost, Cost]:
    """
    Measure a fleet of one size.

    :returns: costs when idle and while daemons restart.
    """
    benchmark = ControlBenchmark(size, options.engines, options.accounts)
    async with aiohttp.ClientSession() as session:
        try:
            await benchmark.start(session)
            await asyncio.sleep(options.settle_s)
            idle = await benchmark.measure(session, options.seconds)
            restarts = asyncio.create_task(
                benchmark.restart_sample(options.seconds)
            )
            with_restarts = await benchmark.measure(session, options.seconds)
            await restarts
            _print_costs(size, idle, with_restarts)
            await asyncio.sleep(options.settle_s)
            delays = percentiles_of(
                await benchmark.measure_configuration_changes(session)
            )
        finally:
            await benchmark.stop()
    print(
        f'  configuration in force: p50 {delays.p50:.3f} s, '
        f'p99 {delays.p99:.3f} s, max {delays.largest:.3f} s',
        flush=True,
    )
    return idle, with_restarts


def _print_costs(size: int, idle: Cost, with_restarts: Cost) -> None:
    for label, cost in (('quiet', idle), ('restarts', with_restarts)):
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
    """Measure all sizes and extrapolate the costs to 360 daemons."""
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
            measured = [getattr(pair[index], name) for pair in costs]
            fit = fit_linear(options.sizes, measured)
            print(
                f'{label} {name}: slope {fit.slope:.4g} a daemon, '
                f'offset {fit.offset:.4g}, residual {fit.residual:.2g}, '
                f'at 360: {fit.value_at():.4g}'
            )


if __name__ == '__main__':
    main()
