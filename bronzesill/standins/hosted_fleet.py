"""In-process fleet of hosted daemons, workers and store for tests."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import logging
import time
from typing import Any

import orjson

from ..config import FleetBounds, HostedSettings
from ..daemon.hosted import HostedDaemon
from ..platform.documents import CONFIGURATION_KEY
from ..platform.store import PlatformStore
from ..store import Mutation
from ..utils import Address
from .fleet import free_address
from .store import StoreStandIn
from .worker import WorkerPlan, WorkerStandIn

__all__ = ['HOSTED_KEY', 'HostedFleet', 'HostedPlan', 'make_configuration']

#: API key of the only client account of the hosted fleet.
HOSTED_KEY = 'key-of-huka'

_LOOPBACK = '127.0.0.1'
_READY_TIMEOUT_S = 10.0
_READY_POLL_S = 0.02
_REUSE_S = 2.0


@dataclasses.dataclass(frozen=True)
class HostedPlan:
    """
    Composition of a hosted fleet.

    :param daemons: number of daemons.
    :param workers: descriptions of the workers.
    :param grace_s: grace period in seconds for stopping a daemon.
    :param domains: failure domains assigned to the daemons in turn.
    :param crash_s: seconds after which a crashed worker is back.
    """

    daemons: int = 2
    workers: tuple[WorkerPlan, ...] = (
        WorkerPlan('engine-a', 'engines', 'a', is_engine=True),
        WorkerPlan('engine-b', 'engines', 'b', is_engine=True),
        WorkerPlan('shop-a', 'shop', 'a'),
        WorkerPlan('shop-b', 'shop', 'b'),
    )
    grace_s: float = 3
    domains: tuple[str, ...] = ('a', 'b', 'c')
    crash_s: float = 0.4


def make_configuration(**limits: int) -> dict[str, Any]:
    """
    Return a configuration document as written by operators.

    :param limits: overrides of the default limits, by field name.
    """
    route = {'host': 'shop.example', 'maxAttempts': 5}
    return {
        'version': 1,
        'routes': [
            {
                **route,
                'name': 'guides',
                'prefix': '/guides/',
                'routeType': 'streaming',
                'timeoutMs': 10_000,
                'targetLatencyMs': 2_000,
                'itlTargetMs': 700,
                'service': 'engines',
                'resumable': True,
            },
            {
                **route,
                'name': 'orders',
                'prefix': '/orders/',
                'routeType': 'non_idempotent',
                'timeoutMs': 2_000,
                'service': 'shop',
                'maxAttempts': 1,
            },
            {
                **route,
                'name': 'lookups',
                'prefix': '/lookups/',
                'routeType': 'idempotent',
                'timeoutMs': 2_000,
                'service': 'shop',
            },
        ],
        'services': [
            {
                'name': 'engines',
                'healthPath': '/healthz',
                'inferenceEngine': {
                    'slots': 12,
                    'kvCapacity': 88_000,
                    'backups': True,
                },
            },
            {'name': 'shop', 'healthPath': '/healthz'},
        ],
        'limits': {
            'maxHeaderBytes': 16_384,
            'maxBodyBytes': 100_000,
            'headerTimeoutMs': 1_000,
            'idleTimeoutMs': 5_000,
            **limits,
        },
        'tenants': [{'name': 'huka', 'apiKeys': [HOSTED_KEY]}],
    }


class HostedFleet:
    """
    Store, workers and daemons that run in the current process.

    :param plan: composition of the fleet.
    """

    def __init__(self, plan: HostedPlan) -> None:
        self.plan = plan
        # Do not log errors about connections that are aborted on purpose.
        logging.getLogger('uvicorn.error').setLevel(logging.CRITICAL)
        self.store = StoreStandIn(Address(_LOOPBACK, 0))
        self.workers_by_name = {
            worker.name: WorkerStandIn(
                worker, Address(_LOOPBACK, 0), self.store.address
            )
            for worker in plan.workers
        }
        #: Monotonic times in seconds at which requests crashed workers.
        self.crashes_s: list[float] = []
        self.daemons: list[HostedDaemon] = []
        self._restarts: set[asyncio.Task[None]] = set()
        self._tasks_by_daemon: dict[HostedDaemon, asyncio.Task[None]] = {}

    async def __aenter__(self) -> HostedFleet:
        # Test cases debug their loop, which servers, hosts and callers share;
        # that takes over half of its time.
        asyncio.get_running_loop().set_debug(enabled=False)
        await self.store.start()
        for worker in self.workers_by_name.values():
            worker.on_crash = self._crash_worker
            await worker.start()
        await self.configure(make_configuration())
        for _ in range(self.plan.daemons):
            self.add_daemon()
        await self.wait_until_ready(len(self.plan.workers))
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for restart in self._restarts:
            restart.cancel()
        for daemon, task in self._tasks_by_daemon.items():
            daemon.begin_stop()
            task.cancel()
        tasks = self._tasks_by_daemon.values()
        await asyncio.gather(*tasks, return_exceptions=True)
        for worker in self.workers_by_name.values():
            await worker.stop()
        await self.store.stop()

    async def restart_worker(self, name: str, new_name: str) -> None:
        """Restart a worker at the same address under another name."""
        old_worker = self.workers_by_name[name]
        await old_worker.stop()
        worker = WorkerStandIn(
            dataclasses.replace(old_worker.plan, name=new_name),
            old_worker.address,
            self.store.address,
        )
        worker.on_crash = self._crash_worker
        worker.brittle.named_at_s = old_worker.brittle.named_at_s
        self.workers_by_name[new_name] = worker
        await worker.start()

    async def configure(self, document: dict[str, Any]) -> None:
        """Write a configuration document to the store, as operators do."""
        with contextlib.closing(PlatformStore(self.store.address)) as store:
            existing = await store.get(CONFIGURATION_KEY)
            await store.compare_and_swap(
                CONFIGURATION_KEY,
                existing.revision if existing else None,
                (Mutation(CONFIGURATION_KEY, orjson.dumps(document)),),
            )

    def add_daemon(
        self,
        seeds: tuple[Address, ...] = (),
        settings: HostedSettings | None = None,
    ) -> HostedDaemon:
        """
        Start an additional daemon.

        :param seeds: addresses of peers to contact first; they need not run.
        :param settings: settings of a daemon to restart, none for a new one.
        """
        number = len(self.daemons)
        settings = settings or self._settings(number, seeds)
        daemon = HostedDaemon(settings)
        self.daemons.append(daemon)
        self._tasks_by_daemon[daemon] = asyncio.create_task(daemon.run())
        return daemon

    async def kill(self, daemon: HostedDaemon) -> None:
        """Stop a daemon immediately, as a process crash does."""
        self._tasks_by_daemon[daemon].cancel()
        await self.wait_until_stopped(daemon)

    async def wait_until_stopped(self, daemon: HostedDaemon) -> None:
        """Wait until the task of a stopping daemon has ended."""
        await asyncio.wait((self._tasks_by_daemon[daemon],))

    async def wait_until_ready(self, servers: int) -> None:
        """
        Wait until all daemons are ready and know their peers and servers.

        :param servers: minimum number of backend servers to be known.
        """
        async with asyncio.timeout(_READY_TIMEOUT_S):
            while not all(
                daemon.is_ready
                and daemon.known_servers >= servers
                and daemon.known_peers >= self.plan.daemons - 1
                for daemon in self.daemons
            ):
                await asyncio.sleep(_READY_POLL_S)

    def _crash_worker(self, name: str) -> None:
        restart = asyncio.create_task(self._restart_crashed(name))
        self._restarts.add(restart)
        restart.add_done_callback(self._restarts.discard)

    async def _restart_crashed(self, name: str) -> None:
        worker = self.workers_by_name[name]
        if worker.has_crashed:
            return
        worker.has_crashed = True
        self.crashes_s.append(time.monotonic())
        await worker.stop()
        await asyncio.sleep(self.plan.crash_s)
        await self.restart_worker(name, f'{name}+')

    def _settings(
        self, number: int, seeds: tuple[Address, ...]
    ) -> HostedSettings:
        return HostedSettings(
            name=f'host-{number}',
            region='r',
            failure_domain=self.plan.domains[number % len(self.plan.domains)],
            callers=free_address(),
            directory=free_address(),
            readiness=free_address(),
            peers=free_address(),
            store=self.store.address,
            metrics=free_address(),
            bounds=FleetBounds(grace_s=self.plan.grace_s, reuse_s=_REUSE_S),
            seeds=seeds,
        )
