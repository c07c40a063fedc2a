"""Probes of servers that several streams share."""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import AsyncIterator

from ..utils import Address
from .activity_lookup import ActivityLookup
from .stream_client import StreamClient, StreamMessage, StreamOpening

__all__ = ['ProbeSharingClient']

#: Age in seconds up to which an event or a probe shows that a server is alive.
_VALID_S = 0.2
#: Age up to which an event shows it for a server on which a stream is silent.
#: It is shorter than the silence before a look, so that the first look at a
#: server that went down after its last event probes it.
_SILENT_VALID_S = 0.1


@dataclasses.dataclass(frozen=True)
class _Probe:
    started_at_s: float
    task: asyncio.Task[bool]


class ProbeSharingClient:
    """
    Client whose probes are shared where the speed of servers is known.

    Each probe opens a connection, which has a price. A server that has just
    sent an event is alive without a probe.

    :param client: client that streams and probes.
    :param activities: times of the last events of the servers.
    """

    def __init__(
        self, client: StreamClient, activities: ActivityLookup
    ) -> None:
        self._client = client
        self._activities = activities
        self._probes_by_server: dict[str, _Probe] = {}

    def read(self, opening: StreamOpening) -> AsyncIterator[StreamMessage]:
        """Open a stream and return its messages, see ``StreamClient``."""
        return self._client.read(opening)

    async def cancel(self, opening: StreamOpening) -> None:
        """Cancel a stream; errors of the engine are ignored."""
        await self._client.cancel(opening)

    async def is_alive(
        self, server: str, address: Address, *, is_silent: bool = False
    ) -> bool:
        """
        Return whether an engine accepts a connection.

        :param server: name of the engine.
        :param address: address of the engine.
        :param is_silent: whether a stream on the engine is silent.
        """
        if not self._activities.is_known_for(server):
            return await self._client.is_alive(server, address)
        now_s = asyncio.get_running_loop().time()
        valid_s = _SILENT_VALID_S if is_silent else _VALID_S
        if now_s - self._activities.progress_at_s(server) <= valid_s:
            return True
        # A stream that ends must not cancel the probe for the others.
        return await asyncio.shield(self._probe(server, address, now_s))

    async def is_left_alive(self, server: str, address: Address) -> bool:
        """
        Return whether an engine accepts a connection after a lost stream.

        Events and probes before the loss are no evidence, so it is probed.

        :param server: name of the engine.
        :param address: address of the engine.
        """
        return await self._client.is_alive(server, address)

    def _probe(
        self, server: str, address: Address, now_s: float
    ) -> asyncio.Task[bool]:
        self._probes_by_server = {
            name: probe
            for name, probe in self._probes_by_server.items()
            if now_s - probe.started_at_s <= _VALID_S
        }
        probe = self._probes_by_server.get(server)
        if probe is None:
            task = asyncio.create_task(self._client.is_alive(server, address))
            probe = _Probe(now_s, task)
            self._probes_by_server[server] = probe
        return probe.task
