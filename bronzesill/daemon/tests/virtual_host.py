"""A host with its backend servers in virtual time, without a network."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from random import Random
from typing import Any

import orjson

from ...calls import (
    AtMostOnceCalls,
    CallAnswer,
    IdempotentCalls,
    RoutedCall,
    ServiceServers,
)
from ...gateway import (
    ForwardComponents,
    ForwardResource,
    GatewayState,
    make_forward_app,
)
from ...generations import (
    GenerationsController,
    LocalDirectory,
    LocationTable,
)
from ...generations.messages import EndArrived, TokensArrived
from ...generations.stream_client import StreamMessage, StreamOpening
from ...generations.subscription import HeadArrived
from ...platform.documents import CONFIGURATION_KEY
from ...platform.headers import PlatformDialect
from ...platform.servers import SERVER_PREFIX
from ...routing import ServerTracker, TrafficSplit
from ...store import StoredEntry, StoreRevision
from ...upstream import AnswerHead, ConnectionLost, Header
from ...utils import Address, BronzesillError, NullMetrics, ResultCode
from ..hosted_store_state import HostedStoreState
from .memory_connection import HostConnections

__all__ = ['VirtualHost']

_WORK_S = 0.1
_PACE_S = 0.05
_EVENTS = 16
_POLL_S = 0.05
_SERVERS = ('e-1', 'e-2', 's-1', 's-2')
_SERVICE_BY_KIND = {'e': 'engines', 's': 'shop'}
_HEAD = AnswerHead(
    200, (Header(b'content-type', b'text/event-stream'),), has_length=False
)


class _Servers:
    """Backend servers: of streams (``e``) and of calls (``s``)."""

    def __init__(self) -> None:
        self._silent_until_s = dict.fromkeys(_SERVERS, 0.0)
        self._resets = dict.fromkeys(_SERVERS, 0)

    def silence(self, kind: str, seconds: float) -> None:
        """Let all servers of a kind be silent."""
        until_s = asyncio.get_running_loop().time() + seconds
        for name in _SERVERS:
            if name.startswith(kind):
                self._silent_until_s[name] = until_s

    def reset(self, name: str) -> None:
        """Reset the connections of a server."""
        self._resets[name] += 1

    async def send(self, server: str, routed: RoutedCall) -> CallAnswer:
        """Answer a call."""
        try:
            async with asyncio.timeout_at(routed.deadline_at_s):
                await self._work(server, _WORK_S)
        except ConnectionLost as error:
            raise BronzesillError(
                ResultCode.CALL_OUTCOME_UNKNOWN, 'connection lost'
            ) from error
        return CallAnswer(200, '', b'done')

    async def read(
        self, opening: StreamOpening
    ) -> AsyncIterator[StreamMessage]:
        """Answer a stream."""
        await self._work(opening.server, _WORK_S)
        yield HeadArrived(opening.attempt, _HEAD)
        for number in range(len(opening.accepted), _EVENTS):
            await self._work(opening.server, _PACE_S)
            event = f'id: {number + 1}\ndata: x\n\n'
            yield TokensArrived(opening.attempt, number, (event,))
        yield EndArrived(opening.attempt, _EVENTS, 'end')

    async def cancel(self, opening: StreamOpening) -> None:
        """Do nothing."""

    async def is_alive(self, server: str, address: Address) -> bool:
        """Return whether a server accepts a connection."""
        return True

    async def _work(self, name: str, seconds: float) -> None:
        resets = self._resets[name]
        await asyncio.sleep(seconds)
        loop = asyncio.get_running_loop()
        while loop.time() < self._silent_until_s[name]:
            await asyncio.sleep(_POLL_S)
        if self._resets[name] != resets:
            raise ConnectionLost('connection lost')


class VirtualHost:
    """A host that serves callers, its store state and its servers."""

    def __init__(self) -> None:
        self.servers = _Servers()
        self.state = GatewayState()
        self._tracker = ServerTracker()
        self._store_state = HostedStoreState(
            self.state, self._tracker, lambda _: None
        )
        self._revision = 0
        #: Time at which the host exited, ``None`` before.
        self.exited_at_s: float | None = None
        self._generations = self._make_generations()
        app = make_forward_app(ForwardResource(self.state, self._components()))
        self.connections = HostConnections(app, self.state.serving_limits)

    def start(self, document: dict[str, Any]) -> None:
        """Apply the first configuration and list all servers."""
        self.configure(document)
        for name in _SERVERS:
            self.list_server(name)

    def configure(self, document: dict[str, Any]) -> None:
        """Apply a configuration as the store delivers it."""
        self._apply(CONFIGURATION_KEY, orjson.dumps(document))

    def list_server(self, name: str, state: str = 'ready') -> None:
        """Apply the entry of a server."""
        number = _SERVERS.index(name)
        entry = {
            'service': _SERVICE_BY_KIND[name[0]],
            'address': f'127.0.0.1:{number + 1}',
            'zone': 'ab'[number % 2],
            'version': 'v1',
            'slots': 8,
            'state': state,
            'coldRemainingMs': 0,
            'sequence': self._revision + 1,
            'born': 1,
        }
        self._apply(f'{SERVER_PREFIX}{name}', orjson.dumps(entry))

    async def stop(self, grace_s: float) -> None:
        """Drain and exit, as on a planned stop."""
        loop = asyncio.get_running_loop()
        stops_at_s = loop.time() + grace_s
        self.state.is_stopping = True
        self.state.stops_at_s = stops_at_s
        while loop.time() < stops_at_s:
            self.state.open_requests.end_before(stops_at_s, loop.time())
            await asyncio.sleep(_POLL_S)
        self.exited_at_s = loop.time()
        await self.close()

    async def close(self) -> None:
        """Close all connections and end all tasks."""
        self.connections.close()
        await self._generations.stop()

    def _apply(self, key: str, payload: bytes) -> None:
        self._revision += 1
        revision = StoreRevision(0, self._revision)
        self._store_state.apply_entries((StoredEntry(key, payload, revision),))

    def _components(self) -> ForwardComponents:
        servers = ServiceServers(
            self._tracker,
            lambda _: TrafficSplit(''),
            lambda _: None,
            Random(1),
        )
        return ForwardComponents(
            PlatformDialect(),
            self._generations,
            IdempotentCalls(self.servers, servers),
            AtMostOnceCalls(self.servers, servers),
            Random(1),
            NullMetrics(),
        )

    def _make_generations(self) -> GenerationsController:
        return GenerationsController(
            'host-0',
            'a',
            self._tracker,
            self.servers,
            LocalDirectory(LocationTable()),
            NullMetrics(),
            Random(1),
        )
