"""A small fleet on the platform's stand-ins, in one process, for tests."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
from typing import Any

import aiohttp
import orjson

from ..config import FleetBounds, HostedSettings
from ..daemon import HostedDaemon
from ..platform import CONFIGURATION_KEY, PlatformStore
from ..store import Mutation
from ..utils import Address
from .fleet import free_address
from .store import StoreStandIn
from .worker import WorkerPlan, WorkerStandIn

__all__ = ['HOSTED_KEY', 'HostedFleet', 'HostedPlan', 'configuration']

#: Key of the one client account of a hosted fleet.
HOSTED_KEY = 'key-of-huka'

_LOOPBACK = '127.0.0.1'
_READY_TIMEOUT_S = 10.0
_READY_POLL_S = 0.02
_REUSE_S = 2.0


@dataclasses.dataclass(frozen=True)
class HostedPlan:
    """
    What a hosted fleet consists of.

    :param daemons: number of daemons.
    :param workers: the workers.
    :param grace_s: seconds that a daemon has to stop.
    :param domains: failure domains of the daemons, in turn.
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


def configuration(**limits: int) -> dict[str, Any]:
    """Return a configuration as operators write it, with some limits."""
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
    Store, workers and daemons, all in this process.

    :param plan: what the fleet consists of.
    """

    def __init__(self, plan: HostedPlan) -> None:
        self.plan = plan
        # Connections that are cut on purpose are no errors here.
        logging.getLogger('uvicorn.error').setLevel(logging.CRITICAL)
        self.store = StoreStandIn(Address(_LOOPBACK, 0))
        self.workers_by_name = {
            worker.name: WorkerStandIn(
                worker, Address(_LOOPBACK, 0), self.store.address
            )
            for worker in plan.workers
        }
        self.daemons: list[HostedDaemon] = []
        self._tasks_by_daemon: dict[HostedDaemon, asyncio.Task[None]] = {}

    async def __aenter__(self) -> HostedFleet:
        await self.store.start()
        for worker in self.workers_by_name.values():
            await worker.start()
        await self.configure(configuration())
        for _ in range(self.plan.daemons):
            self.add_daemon()
        await self.wait_until_ready(len(self.plan.workers))
        return self

    async def __aexit__(self, *ignored: object) -> None:
        for daemon, task in self._tasks_by_daemon.items():
            daemon.begin_stop()
            task.cancel()
        tasks = self._tasks_by_daemon.values()
        await asyncio.gather(*tasks, return_exceptions=True)
        for worker in self.workers_by_name.values():
            await worker.stop()
        await self.store.stop()

    async def restart_worker(self, name: str, new_name: str) -> None:
        """Let a worker start anew at its address under another name."""
        before = self.workers_by_name[name]
        await before.stop()
        worker = WorkerStandIn(
            dataclasses.replace(before.plan, name=new_name),
            before.address,
            self.store.address,
        )
        self.workers_by_name[new_name] = worker
        await worker.start()

    async def configure(self, document: dict[str, Any]) -> None:
        """Write a configuration as an operator would."""
        async with aiohttp.ClientSession() as session:
            store = PlatformStore(session, self.store.address)
            known = await store.get(CONFIGURATION_KEY)
            await store.compare_and_swap(
                CONFIGURATION_KEY,
                known.mod_revision if known else 0,
                (Mutation(CONFIGURATION_KEY, orjson.dumps(document)),),
            )

    def add_daemon(
        self,
        seeds: tuple[Address, ...] = (),
        settings: HostedSettings | None = None,
    ) -> HostedDaemon:
        """
        Start one more daemon.

        :param seeds: addresses of daemons that may live.
        :param settings: settings of a daemon that starts again, none for a
            new one.
        """
        number = len(self.daemons)
        settings = settings or self._settings(number, seeds)
        daemon = HostedDaemon.from_settings(settings)
        self.daemons.append(daemon)
        self._tasks_by_daemon[daemon] = asyncio.create_task(daemon.run())
        return daemon

    async def kill(self, daemon: HostedDaemon) -> None:
        """End a daemon at once, as a crash would."""
        self._tasks_by_daemon[daemon].cancel()
        await self.ended(daemon)

    async def ended(self, daemon: HostedDaemon) -> None:
        """Wait until a daemon that was asked to stop has ended."""
        await asyncio.wait((self._tasks_by_daemon[daemon],))

    async def wait_until_ready(self, servers: int) -> None:
        """Wait until all daemons know the configuration and the servers."""
        async with asyncio.timeout(_READY_TIMEOUT_S):
            while not all(
                daemon.is_ready
                and daemon.known_servers >= servers
                and daemon.known_peers >= self.plan.daemons - 1
                for daemon in self.daemons
            ):
                await asyncio.sleep(_READY_POLL_S)

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
