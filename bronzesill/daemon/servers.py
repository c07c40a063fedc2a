"""Selects the backend servers that a daemon uses and polls their load."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
from collections.abc import Callable
from random import Random

import aiohttp
import orjson

from ..config import BackendServer
from ..routing import LoadReport, ServerTracker, TrafficSplit
from ..routing.subsets import pick_subset
from ..upstream import require_answer_status
from ..utils import PartLogger, structure

__all__ = ['ServersController']

_POLL_INTERVAL_S = 2.0
_POLL_TIMEOUT_S = 0.8
_SUBSET_SIZE = 8
_MAX_CONCURRENT_POLLS = 8

_log = PartLogger('routing')


@dataclasses.dataclass(frozen=True)
class _ReportedLoad:
    running: int
    capacity: int
    version: str
    is_leaving: bool = False


@dataclasses.dataclass(frozen=True)
class _ServerGroup:
    model: str
    service: str
    version: str


class ServersController:
    """
    Selects the backend servers that this daemon uses and polls their load.

    :param name: name of this daemon.
    :param session: HTTP session; the caller closes it.
    :param tracker: state of the backend servers, updated by this controller.
    :param list_daemons: returns the names of the live daemons.
    :param find_split: returns the traffic split for a model and a service.
    :param on_leaving: called with a server's name when its load report says
        that the server is leaving.
    :param random: generator of the jitter between polls.
    """

    def __init__(
        self,
        name: str,
        session: aiohttp.ClientSession,
        tracker: ServerTracker,
        list_daemons: Callable[[], tuple[str, ...]],
        find_split: Callable[[str, str], TrafficSplit],
        on_leaving: Callable[[str], None],
        random: Random,
    ) -> None:
        self._name = name
        self._session = session
        self._tracker = tracker
        self._list_daemons = list_daemons
        self._find_split = find_split
        self._on_leaving = on_leaving
        self._random = random

    async def run(self) -> None:
        """Poll the load of the selected engines until cancelled."""
        while True:
            self.refresh_subset()
            await self._poll_all()
            jitter = 0.8 + 0.4 * self._random.random()
            await asyncio.sleep(_POLL_INTERVAL_S * jitter)

    def refresh_subset(self) -> None:
        """
        Reselect the subset of backend servers that this daemon uses.

        Servers are grouped by model, service and version, and each group is
        reduced to a subset of its own.
        """
        servers = self._tracker.servers_by_name
        daemons = self._list_daemons()
        names_by_group: dict[_ServerGroup, list[str]] = {}
        for name, server in servers.items():
            group = _ServerGroup(server.model, server.service, server.version)
            names_by_group.setdefault(group, []).append(name)
        subsets = (
            pick_subset(
                self._name,
                daemons,
                self._eligible_names(group, names),
                _SUBSET_SIZE,
            )
            for group, names in names_by_group.items()
        )
        self._tracker.candidates = frozenset(itertools.chain(*subsets))

    def _eligible_names(
        self, group: _ServerGroup, names: list[str]
    ) -> tuple[str, ...]:
        split = self._find_split(group.model, group.service)
        if group.version == split.new_version:
            return split.trial_servers(tuple(names))
        return tuple(names)

    async def _poll_all(self) -> None:
        semaphore = asyncio.Semaphore(_MAX_CONCURRENT_POLLS)
        candidates = self._tracker.candidates
        async with asyncio.TaskGroup() as group:
            for name, server in self._tracker.servers_by_name.items():
                if name in candidates and server.model:
                    group.create_task(self._poll(name, server, semaphore))

    async def _poll(
        self, name: str, server: BackendServer, semaphore: asyncio.Semaphore
    ) -> None:
        loop = asyncio.get_running_loop()
        timeout = aiohttp.ClientTimeout(total=_POLL_TIMEOUT_S)
        url = f'{server.address.url}/load'
        try:
            async with (
                semaphore,
                self._session.get(url, timeout=timeout) as reply,
            ):
                require_answer_status(reply.status)
                reported = structure(
                    orjson.loads(await reply.read()), _ReportedLoad
                )
        except (aiohttp.ClientError, OSError, ValueError):
            _log.info('load of %s could not be read', name)
            return
        self._tracker.reported(
            name,
            LoadReport(reported.running, reported.version, loop.time()),
        )
        if reported.is_leaving:
            self._on_leaving(name)
