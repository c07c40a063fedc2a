"""A small fleet in one process, for tests and benchmarks."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import logging
import os
import socket
from typing import Any, Protocol

import aiohttp
import yaml

from ..config import ConfigChange, ConfigRepository, DaemonSettings
from ..daemon import Daemon
from ..platform import PlatformStore
from ..utils import Address, hash_secret
from .batch import EngineProfile
from .engine import EngineStandIn
from .hosts import HostListStandIn
from .service import ServiceStandIn
from .store import StoreStandIn

__all__ = ['CALLER_KEY', 'Fleet', 'FleetPlan', 'StandIn', 'free_address']

#: Key of the one client account of a small fleet.
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
    Return an address on loopback that nothing listens on now.

    Ports are taken one after the other from below the range that the system
    hands out by itself, so that no two calls give the same one.
    """
    for port in _ports:
        if all(_is_free(port, kind) for kind in _SOCKET_KINDS):
            return Address(_LOOPBACK, port)
    raise OSError('no free port')


def _is_free(port: int, kind: socket.SocketKind) -> bool:
    try:
        with socket.socket(type=kind) as opened:
            opened.bind((_LOOPBACK, port))
    except OSError:
        return False
    return True


@dataclasses.dataclass(frozen=True)
class FleetPlan:
    """
    What a small fleet consists of.

    :param daemons: number of daemons.
    :param engines: number of engines.
    :param new_engines: number of engines of the version under trial, ``v2``.
    :param services: number of servers of the plain service.
    :param pace_s: seconds a token takes in an empty engine.
    :param capacity: streams an engine computes at once.
    :param limits: limits of the configuration that differ from the usual.
    :param preferences: preferences that differ from the usual.
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
    """A stand-in that can be started and ended."""

    async def start(self) -> None:
        """Begin to serve."""

    async def stop(self) -> None:
        """End at once."""


class Fleet:
    """
    Stand-ins and daemons, all in this process.

    :param plan: what the fleet consists of.
    """

    def __init__(self, plan: FleetPlan) -> None:
        self.plan = plan
        # Connections that are cut on purpose are no errors here.
        logging.getLogger('uvicorn.error').setLevel(logging.CRITICAL)
        anywhere = Address(_LOOPBACK, 0)
        self.store = StoreStandIn(anywhere)
        self.hosts = HostListStandIn(anywhere, lag_s=0)
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
                anywhere,
                die=lambda: None,
            )
            for name, version in versions_by_name.items()
        }
        self.services = [
            ServiceStandIn(anywhere, f'shop-{number}')
            for number in range(plan.services)
        ]
        self.daemons: list[Daemon] = []
        self._retired_tokens = 0
        self._runs_by_daemon: dict[Daemon, asyncio.Task[None]] = {}

    async def __aenter__(self) -> Fleet:
        """Start everything and wait until callers are served."""
        # Debug mode is several times slower, and much here is a matter of time.
        asyncio.get_running_loop().set_debug(False)
        for standin in self._standins():
            await standin.start()
        await self.apply(self.document())
        for number in range(self.plan.daemons):
            await self.add_daemon(number)
        await self.wait_until_ready()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """End everything at once."""
        daemons = tuple(self.daemons)
        await asyncio.gather(*(self.kill_daemon(each) for each in daemons))
        standins = self._standins()
        await asyncio.gather(*(standin.stop() for standin in standins))

    def document(self) -> dict[str, Any]:
        """Return the base file as plain maps."""
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
        """Put a base file into the store and return its revision."""
        async with aiohttp.ClientSession() as session:
            store = PlatformStore(session, self.store.address)
            repository = ConfigRepository(store)
            change = ConfigChange(
                yaml.safe_dump(document), {}, 'nino', 'test', 0
            )
            held = await repository.read()
            config = await repository.apply(held, change, 0)
            return config.number

    async def add_daemon(self, number: int) -> Daemon:
        """Start one more daemon and put it on the list of hosts."""
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
        self.hosts.replace([_listed(each) for each in self.daemons])
        self._runs_by_daemon[daemon] = asyncio.create_task(daemon.run())
        return daemon

    async def wait_until_ready(self) -> None:
        """Wait until each daemon has the configuration and knows all."""
        async with asyncio.timeout(_READY_TIMEOUT_S):
            while not all(self._is_ready(each) for each in self.daemons):
                await asyncio.sleep(_READY_POLL_S)

    async def kill_daemon(self, daemon: Daemon) -> None:
        """End a daemon at once, as a dying process would."""
        self.daemons.remove(daemon)
        run = self._runs_by_daemon.pop(daemon)
        run.cancel()
        await asyncio.gather(run, return_exceptions=True)

    async def kill_engine(self, name: str) -> None:
        """End an engine at once, as a dying process would."""
        await self.engines_by_name[name].stop()

    async def revive_engine(self, name: str) -> None:
        """Start a new engine where one has died."""
        dead = self.engines_by_name[name]
        self._retired_tokens += dead.batch.tokens_computed
        engine = EngineStandIn(
            dead.model, dead.profile, dead.address, die=lambda: None
        )
        engine.profile.paused_until_s = 0
        await engine.start()
        self.engines_by_name[name] = engine

    @property
    def tokens_computed(self) -> int:
        """Tokens that all engines computed, dead ones too."""
        living = sum(
            engine.batch.tokens_computed
            for engine in self.engines_by_name.values()
        )
        return living + self._retired_tokens

    def busy_engine(self) -> str:
        """Return the name of the engine that computes most streams."""
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
        is_complete = len(alive) >= len(self.daemons)
        return is_complete and daemon.status().revision > 0


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


def _listed(daemon: Daemon) -> dict[str, Any]:
    return {
        'name': daemon.settings.name,
        'peers': str(daemon.settings.peers),
        'region': daemon.settings.region,
        'failure_domain': daemon.settings.failure_domain,
    }
