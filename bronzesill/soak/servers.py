"""Stand-ins of a soak: the store and servers that record their work."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import itertools
import random
import time
import types
from collections import defaultdict
from collections.abc import AsyncIterator, Iterator, Mapping

import orjson

from ..platform.documents import CONFIGURATION_KEY
from ..platform.store import PlatformStore
from ..standins.hosted_fleet import make_configuration
from ..standins.store import StoreStandIn
from ..standins.worker import WorkerPlan, WorkerStandIn
from ..store import Mutation
from ..utils import Address, BronzesillError
from .load_configuration import (
    BULK_ROUTE,
    UPLOAD_ROUTE,
    UPLOAD_SERVICE,
    add_load,
)
from .observations import Run

__all__ = ['EVENTS', 'ROUTE_TIMEOUTS_S', 'RecordedServer', 'SoakServers']

_LOOPBACK = '127.0.0.1'
_MS_PER_S = 1000
#: Events of a whole stream.
EVENTS = 130
_PACE_S = 0.026
_PREFILL_S = 0.9
#: Time to the first event while engines are full, by place of the engine.
_FULL_PREFILL_S = (4.0, 7.0, 10.0)
_ENGINE_SLOTS = 12
_SERVICE_SLOTS = 24
_SERVICE_WORK_S = 0.1
_DOMAINS = 'abc'
_PERCENT = 100
#: Speeds of the engines in turn.
_SPEEDS = (0.6, 1.0, 1.6)
_SLOW_PERCENT = 250
_SLOW_SHARE = 1 / 7
_SLOW_S = 0.6
_WRITE_INTERVAL_S = 0.3
_STORE_DELAY_S = 30.0
#: Timeout of each route by its name.
ROUTE_TIMEOUTS_S: Mapping[str, float] = types.MappingProxyType(
    {
        'guides': 25,
        'orders': 1.5,
        'lookups': 1.5,
        BULK_ROUTE: 15,
        UPLOAD_ROUTE: 3,
    }
)


class RecordedServer(WorkerStandIn):
    """Server that records when it works on which request."""

    def __init__(
        self, plan: WorkerPlan, address: Address, store: Address
    ) -> None:
        super().__init__(plan, address, store)
        #: Work on each request, by its id.
        self.work_by_id: dict[str, list[Run]] = defaultdict(list)
        self.killed_at_s: float | None = None

    async def kill(self) -> None:
        """Stop at once; work ends with it."""
        self.killed_at_s = time.monotonic()
        await self.stop()

    async def _stream(
        self,
        headers: dict[str, str],
        body: bytes,
        request_id: str,
        disconnected: asyncio.Event,
    ) -> AsyncIterator[bytes]:
        with self._recorded(request_id):
            async for event in super()._stream(
                headers, body, request_id, disconnected
            ):
                yield event

    async def _work(self, headers: dict[str, str], body: bytes) -> None:
        with self._recorded(headers.get('x-attempt-id', '')):
            await super()._work(headers, body)

    @contextlib.contextmanager
    def _recorded(self, request_id: str) -> Iterator[None]:
        runs = self.work_by_id[request_id]
        place = len(runs)
        runs.append(Run(self.plan.name, time.monotonic()))
        try:
            yield
        finally:
            ended_at_s = time.monotonic()
            runs[place] = dataclasses.replace(
                runs[place], ended_at_s=ended_at_s
            )


class SoakServers:
    """
    Store and servers of one soak, in the current process.

    :param engines: number of engines.
    :param services: number of plain servers.
    :param is_loaded: whether there are routes of two priorities and uploads.
    """

    def __init__(
        self, engines: int, services: int, *, is_loaded: bool = False
    ) -> None:
        self._is_loaded = is_loaded
        self.store = StoreStandIn(Address(_LOOPBACK, 0))
        #: All servers that ever ran, by their name.
        self.servers_by_name: dict[str, RecordedServer] = {}
        #: Times at which the store acknowledged a configuration.
        self.configured_at_s: list[float] = []
        #: First and last time of each disruption of servers or store.
        self.disruptions: list[tuple[float, float]] = []
        for number in range(engines):
            self._add(_engine_plan(number))
        for number in range(services):
            self._add(_service_plan(number))
        if is_loaded:
            self._add(_upload_plan())
        self._version = 0

    async def start(self) -> None:
        """Start everything and write the first configuration."""
        await self.store.start()
        for server in self.servers_by_name.values():
            await server.start()
        await self.configure()

    async def stop(self) -> None:
        """Stop everything at once."""
        for server in self.servers_by_name.values():
            if server.killed_at_s is None:
                await server.stop()
        await self.store.stop()

    async def configure(self) -> None:
        """Write the next configuration; an added route comes and goes."""
        self._version += 1
        document = make_configuration(maxBodyBytes=1_000_000)
        document['version'] = self._version
        if self._is_loaded:
            add_load(document)
        for route in document['routes']:
            timeout_s = ROUTE_TIMEOUTS_S[route['name']]
            route['timeoutMs'] = int(timeout_s * _MS_PER_S) + self._version
        if self._version % 2 == 0:
            added = {**document['routes'][2], 'name': 'added'}
            document['routes'].append({**added, 'prefix': '/added/'})
        document_bytes = orjson.dumps(document)
        while not await self._has_written(document_bytes):
            await asyncio.sleep(_WRITE_INTERVAL_S)
        self.configured_at_s.append(time.monotonic())

    async def silence_engines(self, for_s: float) -> None:
        """Pause all engines: no answers and no events."""
        engines = self._running_engines()
        for engine in engines:
            engine.is_answering.clear()
        with self._disruption():
            await asyncio.sleep(for_s)
        for engine in engines:
            engine.is_answering.set()

    async def silence_store(self, for_s: float) -> None:
        """Let the store answer no call."""
        self.store.state.faults.delay_s = _STORE_DELAY_S
        with self._disruption():
            await asyncio.sleep(for_s)
        self.store.state.faults.delay_s = 0

    async def fill_engines(self, for_s: float) -> None:
        """Let first events come late, as from engines with full queues."""
        self._change_prefill(_FULL_PREFILL_S)
        await asyncio.sleep(for_s)
        self._change_prefill((_PREFILL_S,))

    async def vary_speeds(self, for_s: float, rng: random.Random) -> None:
        """Let engines differ in speed, slow down at times and report it."""
        until_s = time.monotonic() + for_s
        while time.monotonic() < until_s:
            for engine, speed in zip(
                self._running_engines(), itertools.cycle(_SPEEDS)
            ):
                is_slow = rng.random() < _SLOW_SHARE
                percent = _SLOW_PERCENT if is_slow else _PERCENT
                _change_speed(engine, speed * _PERCENT / percent, percent)
            await asyncio.sleep(_SLOW_S)
        for engine in self._running_engines():
            _change_speed(engine, 1, None)

    async def kill_engine(self, after_s: float) -> None:
        """Kill the busiest engine and start it again as another one."""
        engine = max(self._running_engines(), key=_running_work)
        with self._disruption():
            await engine.kill()
            await asyncio.sleep(after_s)
        plan = dataclasses.replace(engine.plan, name=f'{engine.plan.name}+')
        await self._add(plan).start()

    def runs_by_id(self) -> dict[str, tuple[Run, ...]]:
        """Return the work on each request, by its id."""
        runs: dict[str, tuple[Run, ...]] = {}
        for server in self.servers_by_name.values():
            for request_id, work in server.work_by_id.items():
                runs[request_id] = (*runs.get(request_id, ()), *work)
        return runs

    def passed_on(self) -> frozenset[str]:
        """Return the ids of all requests that reached a server."""
        return frozenset(
            headers.get('x-attempt-id', '')
            for server in self.servers_by_name.values()
            for headers in server.received_headers
        )

    def broken_servers(self) -> tuple[tuple[str, float], ...]:
        """Return the name and the time of the end of each killed server."""
        return tuple(
            (name, server.killed_at_s)
            for name, server in self.servers_by_name.items()
            if server.killed_at_s is not None
        )

    def _add(self, plan: WorkerPlan) -> RecordedServer:
        address = Address(_LOOPBACK, 0)
        server = RecordedServer(plan, address, self.store.address)
        self.servers_by_name[plan.name] = server
        return server

    def _running_engines(self) -> list[RecordedServer]:
        return [
            server
            for server in self.servers_by_name.values()
            if server.plan.is_engine and server.killed_at_s is None
        ]

    def _change_prefill(self, times_s: tuple[float, ...]) -> None:
        engines = self._running_engines()
        for engine, prefill_s in zip(engines, itertools.cycle(times_s)):
            engine.plan = dataclasses.replace(engine.plan, prefill_s=prefill_s)

    async def _has_written(self, document: bytes) -> bool:
        """Write a configuration; return false if the store is silent."""
        with contextlib.closing(PlatformStore(self.store.address)) as store:
            try:
                existing = await store.get(CONFIGURATION_KEY)
                await store.compare_and_swap(
                    CONFIGURATION_KEY,
                    existing.revision if existing else None,
                    (Mutation(CONFIGURATION_KEY, document),),
                )
            except BronzesillError:
                return False
        return True

    @contextlib.contextmanager
    def _disruption(self) -> Iterator[None]:
        began_at_s = time.monotonic()
        try:
            yield
        finally:
            self.disruptions.append((began_at_s, time.monotonic()))


def _running_work(server: RecordedServer) -> int:
    return sum(
        run.ended_at_s > time.monotonic()
        for runs in server.work_by_id.values()
        for run in runs
    )


def _change_speed(
    engine: RecordedServer, speed: float, slowdown_percent: int | None
) -> None:
    engine.plan = dataclasses.replace(
        engine.plan,
        pace_s=_PACE_S / speed,
        prefill_s=_PREFILL_S / speed,
        slowdown_percent=slowdown_percent,
    )


def _engine_plan(number: int) -> WorkerPlan:
    return WorkerPlan(
        f'engine-{number}',
        'engines',
        _DOMAINS[number % len(_DOMAINS)],
        is_engine=True,
        events=EVENTS,
        pace_s=_PACE_S,
        prefill_s=_PREFILL_S,
        slots=_ENGINE_SLOTS,
    )


def _service_plan(number: int) -> WorkerPlan:
    return WorkerPlan(
        f'shop-{number}',
        'shop',
        _DOMAINS[number % len(_DOMAINS)],
        slots=_SERVICE_SLOTS,
        work_s=_SERVICE_WORK_S,
    )


def _upload_plan() -> WorkerPlan:
    return WorkerPlan('uploads-0', UPLOAD_SERVICE, work_s=_SERVICE_WORK_S)
