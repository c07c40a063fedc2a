"""In-process fleet of daemons and stand-ins for tests and benchmarks."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import itertools
import logging
import os
import socket
from typing import Any, Protocol

import yaml

from ..config.repository import ConfigChange, ConfigRepository
from ..config.settings import DaemonSettings
from ..daemon.core import Daemon
from ..platform.store import PlatformStore
from ..utils import Address, hash_secret
from .batch import EngineProfile
from .engine import EngineStandIn
from .hosts import HostListStandIn
from .service import ServiceStandIn
from .store import StoreStandIn

__all__ = ['CALLER_KEY', 'Fleet', 'FleetPlan', 'StandIn', 'free_address']

#: API key of the only client account of the fleet.
CALLER_KEY = 'bz-test-caller'

_LOOPBACK = '127.0.0.1'
_READY_TIMEOUT_S = 10.0
_READY_POLL_S = 0.02
_FIRST_PORT = 12_000
_LAST_PORT = 32_000
_SOCKET_KINDS = (socket.SOCK_STREAM, socket.SOCK_DGRAM)

_ports = itertools.chain(
    range(_FIRST_PORT + os.getpid() * 37 % 15_000, _LAST_PORT),
    range(_FIRST_PORT, _LAST_PORT),
)


def free_address() -> Address:
    """
    Return a loopback address whose TCP and UDP ports are free.

    Ports are allocated in ascending order below the ephemeral port range of
    the system, so that no two calls return the same one.

    :raises OSError: if there is no free port.
    """
    for port in _ports:
        if all(_is_free(port, kind) for kind in _SOCKET_KINDS):
            return Address(_LOOPBACK, port)
    raise OSError('no free port on the loopback interface')


def _is_free(port: int, kind: socket.SocketKind) -> bool:
    try:
        with socket.socket(type=kind) as probe:
            probe.bind((_LOOPBACK, port))
    except OSError:
        return False
    return True


@dataclasses.dataclass(frozen=True)
class FleetPlan:
    """
    Composition of a fleet.

    :param daemons: number of daemons.
    :param engines: number of engines that run version ``v1``.
    :param new_engines: number of engines that run the new version ``v2``.
    :param services: number of servers of the plain service.
    :param pace_s: seconds per token in an idle engine.
    :param capacity: number of streams that an engine computes concurrently.
    :param limits: overrides of the default limits in the configuration.
    :param preferences: preferences in the configuration.
    """

    daemons: int = 1
    engines: int = 2
    new_engines: int = 0
    services: int = 0
    pace_s: float = 0.005
    capacity: int = 16
    limits: dict[str, Any] = dataclasses.field(default_factory=dict)
    preferences: dict[str, Any] = dataclasses.field(default_factory=dict)


class StandIn(Protocol):
    """Interface to start and stop a stand-in."""

    async def start(self) -> None:
        """Start to serve requests."""

    async def stop(self) -> None:
        """Stop immediately, without waiting for running requests."""


class Fleet:
    """
    Fleet of stand-ins and daemons that run in the current process.

    :param plan: composition of the fleet.
    """

    def __init__(self, plan: FleetPlan) -> None:
        self.plan = plan
        # Do not log errors about connections that are aborted on purpose.
        logging.getLogger('uvicorn.error').setLevel(logging.CRITICAL)
        ephemeral_address = Address(_LOOPBACK, 0)
        self.store = StoreStandIn(ephemeral_address)
        self.hosts = HostListStandIn(ephemeral_address, lag_s=0)
        versions_by_name = {
            f'engine-{number}': 'v1' for number in range(plan.engines)
        } | {f'new-{number}': 'v2' for number in range(plan.new_engines)}
        self.engines_by_name = {
            name: EngineStandIn(
                'guide',
                EngineProfile(
                    version=version,
                    pace_s=plan.pace_s,
                    capacity=plan.capacity,
                ),
                ephemeral_address,
                terminate=lambda: None,
            )
            for name, version in versions_by_name.items()
        }
        self.services = [
            ServiceStandIn(ephemeral_address, f'shop-{number}')
            for number in range(plan.services)
        ]
        self.daemons: list[Daemon] = []
        self._tokens_of_stopped_engines = 0
        self._tasks_by_daemon: dict[Daemon, asyncio.Task[None]] = {}

    async def __aenter__(self) -> Fleet:
        """Start stand-ins and daemons, and wait until the daemons are ready."""
        # Debug mode is several times slower, which would break timing checks.
        asyncio.get_running_loop().set_debug(False)
        for standin in self._standins():
            await standin.start()
        await self.apply(self.base_document())
        for number in range(self.plan.daemons):
            await self.add_daemon(number)
        await self.wait_until_ready()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop all daemons and stand-ins immediately."""
        daemons = tuple(self.daemons)
        await asyncio.gather(*(self.kill_daemon(each) for each in daemons))
        standins = self._standins()
        await asyncio.gather(*(standin.stop() for standin in standins))

    def base_document(self) -> dict[str, Any]:
        """Return the base configuration file as mappings and lists."""
        servers: dict[str, Any] = {
            name: {
                'address': str(engine.address),
                'failure_domain': 'abc'[number % 3],
                'version': engine.profile.version,
                'model': 'guide',
                'capacity': self.plan.capacity,
            }
            for number, (name, engine) in enumerate(
                self.engines_by_name.items()
            )
        }
        for service in self.services:
            servers[service.name] = {
                'address': str(service.address),
                'failure_domain': 'a',
                'version': 's1',
                'service': 'shop',
            }
        document = {
            'accounts': {
                'shop-1': {
                    'key_sha256': hash_secret(CALLER_KEY),
                    'max_running': 256,
                }
            },
            'models': {'guide': {'version': 'v1'}},
            'servers': servers,
            'limits': {'address_ttl_s': 1, **self.plan.limits},
            'preferences': self.plan.preferences,
        }
        if self.services:
            document['routes'] = _shop_routes()
        return document

    async def apply(self, document: dict[str, Any]) -> int:
        """Write a base configuration file to the store; return its revision."""
        with contextlib.closing(PlatformStore(self.store.address)) as store:
            repository = ConfigRepository(store)
            change = ConfigChange(
                yaml.safe_dump(document), {}, 'nino', 'test', 0
            )
            current = await repository.read()
            config = await repository.apply(current, change, 0)
            return config.number

    async def add_daemon(self, number: int) -> Daemon:
        """Start an additional daemon and add it to the list of hosts."""
        daemon = Daemon.from_settings(
            DaemonSettings(
                name=f'entry-{number}',
                region='north',
                failure_domain='abc'[number % 3],
                callers=Address(_LOOPBACK, 0),
                peers=free_address(),
                store=self.store.address,
                host_list=self.hosts.address,
                site='test',
            )
        )
        self.daemons.append(daemon)
        self.hosts.replace([_host_entry(each) for each in self.daemons])
        self._tasks_by_daemon[daemon] = asyncio.create_task(daemon.run())
        return daemon

    async def wait_until_ready(self) -> None:
        """Wait until each daemon has a configuration and knows all members."""
        async with asyncio.timeout(_READY_TIMEOUT_S):
            while not all(self._is_ready(each) for each in self.daemons):
                await asyncio.sleep(_READY_POLL_S)

    async def kill_daemon(self, daemon: Daemon) -> None:
        """Stop a daemon immediately, as a process crash does."""
        self.daemons.remove(daemon)
        task = self._tasks_by_daemon.pop(daemon)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def kill_engine(self, name: str) -> None:
        """Stop an engine immediately, as a process crash does."""
        await self.engines_by_name[name].stop()

    async def restart_engine(self, name: str) -> None:
        """Start a new engine at the address of a stopped one."""
        stopped = self.engines_by_name[name]
        self._tokens_of_stopped_engines += stopped.batch.tokens_computed
        engine = EngineStandIn(
            stopped.model,
            stopped.profile,
            stopped.address,
            terminate=lambda: None,
        )
        engine.profile.paused_until_s = 0
        await engine.start()
        self.engines_by_name[name] = engine

    @property
    def tokens_computed(self) -> int:
        """Total number of tokens computed, including by stopped engines."""
        running_engine_tokens = sum(
            engine.batch.tokens_computed
            for engine in self.engines_by_name.values()
        )
        return running_engine_tokens + self._tokens_of_stopped_engines

    def busiest_engine(self) -> str:
        """Return the name of the engine with the most running streams."""
        return max(
            self.engines_by_name,
            key=lambda name: self.engines_by_name[name].batch.running,
        )

    def _standins(self) -> tuple[StandIn, ...]:
        return (
            self.store,
            self.hosts,
            *self.engines_by_name.values(),
            *self.services,
        )

    def _is_ready(self, daemon: Daemon) -> bool:
        alive = [member for member in daemon.members() if member.is_alive]
        knows_all_members = len(alive) >= len(self.daemons)
        return knows_all_members and daemon.status().revision > 0


def _shop_routes() -> dict[str, Any]:
    return {
        'stock': {
            'path': '/shop/stock',
            'service': 'shop',
            'idempotent': True,
            'deadline_s': 3,
        },
        'orders': {'path': '/shop/orders', 'service': 'shop', 'deadline_s': 3},
    }


def _host_entry(daemon: Daemon) -> dict[str, Any]:
    return {
        'name': daemon.settings.name,
        'peers': str(daemon.settings.peers),
        'region': daemon.settings.region,
        'failure_domain': daemon.settings.failure_domain,
    }
