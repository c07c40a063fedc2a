"""Controller of backend servers: which ones are known, and their load."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
from collections.abc import Callable
from random import Random

import aiohttp
import orjson

from ..config import BackendServer
from ..routing import (
    LoadReport,
    ServerBook,
    TrafficSplit,
    pick_subset,
)
from ..utils import PartLogger, structure

__all__ = ['ServersController']

_POLL_INTERVAL_S = 2.0
_POLL_TIMEOUT_S = 0.8
_SUBSET_SIZE = 8
_POLLS_AT_ONCE = 8

_log = PartLogger('routing')


@dataclasses.dataclass(frozen=True)
class _ReportedLoad:
    running: int
    capacity: int
    version: str
    is_leaving: bool = False


@dataclasses.dataclass(frozen=True)
class _Kind:
    model: str
    service: str
    version: str


class ServersController:
    """
    Owner of the record of backend servers.

    :param name: name of this daemon.
    :param session: HTTP session, owned by the caller.
    :param book: the record that is kept up to date.
    :param list_daemons: names of the live daemons.
    :param find_split: how the traffic of a server's subject is split.
    :param on_leaving: told when a server itself says that it leaves.
    :param random: generator for jitter.
    """

    def __init__(
        self,
        name: str,
        session: aiohttp.ClientSession,
        book: ServerBook,
        list_daemons: Callable[[], tuple[str, ...]],
        find_split: Callable[[str, str], TrafficSplit],
        on_leaving: Callable[[str], None],
        random: Random,
    ) -> None:
        self._name = name
        self._session = session
        self._book = book
        self._list_daemons = list_daemons
        self._find_split = find_split
        self._on_leaving = on_leaving
        self._random = random

    async def run(self) -> None:
        """Read the load of the known engines, for ever."""
        while True:
            self.refresh_subset()
            await self._poll_all()
            jitter = 0.8 + 0.4 * self._random.random()
            await asyncio.sleep(_POLL_INTERVAL_S * jitter)

    def refresh_subset(self) -> None:
        """Pick anew which engines this daemon knows well."""
        servers = self._book.servers_by_name
        daemons = self._list_daemons()
        names_by_kind: dict[_Kind, list[str]] = {}
        for name, server in servers.items():
            kind = _Kind(server.model, server.service, server.version)
            names_by_kind.setdefault(kind, []).append(name)
        subsets = (
            pick_subset(
                self._name, daemons, self._usable(kind, names), _SUBSET_SIZE
            )
            for kind, names in names_by_kind.items()
        )
        self._book.known = frozenset(itertools.chain(*subsets))

    def _usable(self, kind: _Kind, names: list[str]) -> tuple[str, ...]:
        split = self._find_split(kind.model, kind.service)
        if kind.version == split.new_version:
            return split.trial_servers(tuple(names))
        return tuple(names)

    async def _poll_all(self) -> None:
        gate = asyncio.Semaphore(_POLLS_AT_ONCE)
        known = self._book.known
        async with asyncio.TaskGroup() as group:
            for name, server in self._book.servers_by_name.items():
                if name in known and server.model:
                    group.create_task(self._poll(name, server, gate))

    async def _poll(
        self, name: str, server: BackendServer, gate: asyncio.Semaphore
    ) -> None:
        loop = asyncio.get_running_loop()
        timeout = aiohttp.ClientTimeout(total=_POLL_TIMEOUT_S)
        url = f'{server.address.url}/load'
        try:
            async with gate, self._session.get(url, timeout=timeout) as reply:
                reported = structure(
                    orjson.loads(await reply.read()), _ReportedLoad
                )
        except (aiohttp.ClientError, OSError, ValueError):
            _log.info('no load from %s', name)
            return
        self._book.reported(
            name,
            LoadReport(reported.running, reported.version, loop.time()),
        )
        if reported.is_leaving:
            self._on_leaving(name)
