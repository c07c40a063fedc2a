"""One soak: a fleet under traffic, and the events of its schedule."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
import types
from collections.abc import Mapping
from pathlib import Path

from ..utils import Address
from .bounds import RECOVERY_S
from .callers import Traffic
from .hosts import HostFleet, HostProcess
from .load import BULK_RATE_PER_S, LOAD_KINDS, Load
from .load_configuration import ACCOUNTS
from .observations import Observations, Stop
from .schedule import (
    Event,
    EventKind,
    Plan,
    make_replacement,
    make_schedule,
)
from .servers import SoakServers

__all__ = ['Soak']

_NO_VERSIONS: Mapping[Path, Path] = types.MappingProxyType({})
_ENGINES = 3
_SERVICES = 3
#: Time between the end of a process and the start of the next one.
_RESTART_S = 1.0
_DELAY_POLL_S = 0.05
_AFTER_LAST_S = 3.0
_AFTER_RETURN_S = 5.0


class Soak:
    """
    Runs one plan.

    :param plan: what to run.
    :param folder: folder for settings and logs of the hosts.
    :param replaced_by: folders of the versions that a host runs in turn, by
        the folder of the version before; empty to start the same one again.
    """

    def __init__(
        self,
        plan: Plan,
        folder: Path,
        replaced_by: Mapping[Path, Path] = _NO_VERSIONS,
    ) -> None:
        self._plan = plan
        self._replaced_by = replaced_by
        self._folder = folder
        self._is_loaded = any(
            event.kind in LOAD_KINDS for event in self._schedule()
        )
        self._servers = SoakServers(
            _ENGINES, _SERVICES, is_loaded=self._is_loaded
        )
        self._stops: list[Stop] = []
        self._reloads: list[tuple[int, float]] = []
        self._disruptions: list[tuple[float, float]] = []
        self._returns_at_s: list[float] = []
        #: Requests that no host took.
        self.unsent = 0
        #: Longest time in seconds for which this process was held up.
        self.longest_delay_s: float = 0

    async def run(self) -> Observations:
        """Start everything, run the schedule and return what was seen."""
        await self._servers.start()
        hosts = HostFleet(
            self._plan.hosts, self._folder, self._servers.store.address
        )
        try:
            for host in hosts.hosts:
                host.code = next(iter(self._replaced_by), host.code)
            await hosts.start()
            return await self._observe(hosts.hosts)
        finally:
            await hosts.stop()
            await self._servers.stop()

    async def _observe(self, hosts: list[HostProcess]) -> Observations:
        traffic = Traffic(
            self._plan.seed,
            tuple(host.address('registry') for host in hosts),
            _hosts_by_address(hosts),
            ACCOUNTS if self._is_loaded else ACCOUNTS[:1],
        )
        load = Load(traffic, self._servers.store.address)
        sending = asyncio.create_task(
            traffic.run(BULK_RATE_PER_S if self._is_loaded else 0)
        )
        watching = asyncio.create_task(self._watch_delay())
        await self._run_events(hosts, load)
        sending.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await sending
        await traffic.finish()
        watching.cancel()
        self.unsent = traffic.unsent
        return Observations(
            traffic.answers_by_request,
            self._servers.runs_by_id(),
            self._servers.passed_on(),
            tuple(self._stops),
            tuple(self._reloads),
            tuple(self._servers.configured_at_s),
            (*self._disruptions, *self._servers.disruptions),
            self._servers.broken_servers(),
            tuple(self._returns_at_s),
            tuple(load.bursts),
        )

    async def _watch_delay(self) -> None:
        while True:
            due_s = time.monotonic() + _DELAY_POLL_S
            await asyncio.sleep(_DELAY_POLL_S)
            delay_s = time.monotonic() - due_s
            self.longest_delay_s = max(self.longest_delay_s, delay_s)

    async def _run_events(self, hosts: list[HostProcess], load: Load) -> None:
        began_at_s = time.monotonic()
        async with asyncio.TaskGroup() as group:
            for event in self._schedule():
                group.create_task(self._apply(event, began_at_s, hosts, load))
        await asyncio.sleep(_AFTER_LAST_S)

    def _schedule(self) -> tuple[Event, ...]:
        if self._replaced_by:
            return make_replacement(self._plan.hosts)
        return make_schedule(self._plan)

    async def _apply(
        self,
        event: Event,
        began_at_s: float,
        hosts: list[HostProcess],
        load: Load,
    ) -> None:
        due_s = began_at_s + event.at_s - time.monotonic()
        await asyncio.sleep(max(due_s, 0))
        targets = [hosts[number] for number in event.hosts]
        if event.kind is EventKind.KILL_ALL:
            await self._kill_all(targets)
        elif targets:
            await asyncio.gather(
                *(self._apply_to_host(event.kind, host) for host in targets)
            )
        elif event.kind in LOAD_KINDS:
            await load.apply(event)
        else:
            await self._apply_to_servers(event)

    async def _apply_to_host(self, kind: EventKind, host: HostProcess) -> None:
        if not host.is_running:
            return
        if kind is EventKind.RELOAD:
            host.reload()
            self._reloads.append((host.number, time.monotonic()))
        elif kind is EventKind.TERMINATE:
            self._stops.append(await host.terminate())
            host.code = self._replaced_by.get(host.code, host.code)
            await _restart(host)
        else:
            await self._kill(host)

    async def _apply_to_servers(self, event: Event) -> None:
        match event.kind:
            case EventKind.CONFIGURE:
                await self._servers.configure()
            case EventKind.FULL_ENGINES:
                await self._servers.fill_engines(event.for_s)
            case EventKind.SPEEDS:
                await self._servers.vary_speeds(
                    event.for_s, random.Random(self._plan.seed)
                )
            case EventKind.SILENT_ENGINES:
                await self._servers.silence_engines(event.for_s)
            case EventKind.SILENT_STORE:
                await self._servers.silence_store(event.for_s)
            case _:
                await self._servers.kill_engine(event.for_s)

    async def _kill(self, host: HostProcess) -> None:
        killed_at_s = time.monotonic()
        await host.kill()
        await _restart(host)
        self._disruptions.append((killed_at_s, time.monotonic()))

    async def _kill_all(self, hosts: list[HostProcess]) -> None:
        killed_at_s = time.monotonic()
        await asyncio.gather(*(host.kill() for host in hosts))
        await asyncio.sleep(_RESTART_S)
        await asyncio.gather(*(host.start() for host in hosts))
        returned_at_s = time.monotonic()
        self._returns_at_s.append(returned_at_s)
        self._disruptions.append((killed_at_s, returned_at_s))
        await asyncio.sleep(RECOVERY_S + _AFTER_RETURN_S)


async def _restart(host: HostProcess) -> None:
    """Start a host again; it may be stopped before it is ready."""
    await asyncio.sleep(_RESTART_S)
    await host.start()
    with contextlib.suppress(TimeoutError):
        await host.wait_until_ready()


def _hosts_by_address(hosts: list[HostProcess]) -> dict[Address, int]:
    return {host.address('frontend'): host.number for host in hosts}
