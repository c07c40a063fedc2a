"""Connections to backend servers, kept for the next request."""

from __future__ import annotations

import asyncio
import dataclasses
import re

from ..utils import Address
from .answer import AnswerHead, NotSent
from .connection import UpstreamConnection

__all__ = ['ConnectionPool', 'Lease', 'Target']

_CONNECT_TIMEOUT_S = 0.25
_PROBE_TIMEOUT_S = 0.15
_KEEP_ALIVE_MARGIN_S = 1.0
_DEFAULT_KEEP_S = 4.0
_TIMEOUT_PATTERN = re.compile(rb'timeout=(\d+)')


@dataclasses.dataclass(frozen=True)
class Target:
    """
    One start of a backend server.

    :param name: name of the server.
    :param address: where it listens.
    """

    name: str
    address: Address


class ConnectionPool:
    """Idle connections by target, the last used one first."""

    def __init__(self) -> None:
        #: Connections opened so far.
        self.opened = 0
        self._idle_by_target: dict[Target, list[UpstreamConnection]] = {}

    async def take(self, target: Target, *, max_idle_s: float) -> Lease:
        """
        Return a connection, a new one if no kept one is fresh enough.

        :param target: server to connect to.
        :param max_idle_s: how long a kept connection may have been idle.
        :raises NotSent: no connection came about.
        """
        now_s = asyncio.get_running_loop().time()
        idle = self._idle_by_target.get(target, [])
        while idle:
            connection = idle.pop()
            is_fresh = (
                now_s - connection.idle_since_s <= max_idle_s
                and now_s < connection.usable_until_s
            )
            if connection.is_reusable and is_fresh:
                return Lease(self, target, connection)
            connection.close()
        connection = await self._connect(target, _CONNECT_TIMEOUT_S)
        return Lease(self, target, connection)

    async def probe(self, target: Target) -> bool:
        """
        Say whether a server takes a connection, and keep that.

        :param target: server to connect to.
        """
        try:
            connection = await self._connect(target, _PROBE_TIMEOUT_S)
        except NotSent:
            return False
        now_s = asyncio.get_running_loop().time()
        connection.usable_until_s = now_s + _DEFAULT_KEEP_S
        self.keep(target, connection)
        return True

    def keep(self, target: Target, connection: UpstreamConnection) -> None:
        """Keep a connection whose answer was read to its end."""
        connection.idle_since_s = asyncio.get_running_loop().time()
        self._idle_by_target.setdefault(target, []).append(connection)

    def retain(self, targets: frozenset[Target]) -> None:
        """Close the connections to servers that are no longer listed."""
        for target in tuple(self._idle_by_target):
            if target not in targets:
                for connection in self._idle_by_target.pop(target):
                    connection.close()

    def close(self) -> None:
        """Close all kept connections."""
        self.retain(frozenset())

    async def _connect(
        self, target: Target, timeout_s: float
    ) -> UpstreamConnection:
        loop = asyncio.get_running_loop()
        self.opened += 1
        try:
            async with asyncio.timeout(timeout_s):
                _, connection = await loop.create_connection(
                    UpstreamConnection, target.address.ip, target.address.port
                )
        except (OSError, TimeoutError) as error:
            raise NotSent(f'{target.name}: {error!r}') from error
        return connection


class Lease:
    """
    A connection in use by one request.

    :param pool: where it goes back to.
    :param target: server it leads to.
    :param connection: the connection.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        target: Target,
        connection: UpstreamConnection,
    ) -> None:
        self._pool = pool
        self._target = target
        self._connection = connection
        self._keep_s = _DEFAULT_KEEP_S
        self._is_whole = False

    async def send(
        self, request: bytes, *, is_head: bool = False
    ) -> AnswerHead:
        """
        Send a request and return the head of its answer.

        :raises AnswerBroken: no head came.
        """
        head = await self._connection.send(request, is_head=is_head)
        self._keep_s = _keep_s(head)
        return head

    async def read(self) -> bytes:
        """
        Return the next bytes of the body, none at its end.

        :raises AnswerBroken: the answer is not whole.
        """
        body = await self._connection.read()
        self._is_whole = not body
        return body

    def release(self) -> None:
        """Keep the connection if its answer was read whole, else close."""
        connection = self._connection
        if self._is_whole and connection.is_reusable and self._keep_s > 0:
            now_s = asyncio.get_running_loop().time()
            connection.usable_until_s = now_s + self._keep_s
            self._pool.keep(self._target, connection)
        else:
            connection.close()

    def discard(self) -> None:
        """Close the connection."""
        self._connection.close()


def _keep_s(head: AnswerHead) -> float:
    found = _TIMEOUT_PATTERN.search(head.find(b'keep-alive') or b'')
    if found is None:
        return _DEFAULT_KEEP_S
    return int(found.group(1)) - _KEEP_ALIVE_MARGIN_S
