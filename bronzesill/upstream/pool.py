"""Pool of keep-alive connections to backend servers."""

from __future__ import annotations

import asyncio
import dataclasses
import re

from ..utils import Address
from .answer import AnswerError, AnswerHead, RequestNotSent
from .connection import UpstreamConnection

__all__ = ['ConnectionLease', 'ConnectionPool', 'Target']

_CONNECT_TIMEOUT_S = 0.25
_PROBE_TIMEOUT_S = 0.15
_KEEP_ALIVE_MARGIN_S = 1.0
_DEFAULT_KEEP_ALIVE_S = 4.0
_TIMEOUT_PATTERN = re.compile(rb'timeout=(\d{1,9})')


@dataclasses.dataclass(frozen=True)
class Target:
    """
    One instance of a backend server; a restart creates another one.

    :param name: name of the server.
    :param address: address on which the server listens.
    """

    name: str
    address: Address


class ConnectionPool:
    """
    Idle connections by target, reused in last-in, first-out order.

    :param connect_timeout_s: seconds until an attempt to connect fails.
    """

    def __init__(self, connect_timeout_s: float = _CONNECT_TIMEOUT_S) -> None:
        self._connect_timeout_s = connect_timeout_s
        #: Number of connection attempts so far, including failed ones.
        self.opened = 0
        self._idle_by_target: dict[Target, list[UpstreamConnection]] = {}

    async def acquire(
        self, target: Target, *, max_idle_s: float
    ) -> ConnectionLease:
        """
        Return an idle connection, or open one if none may be reused.

        :param target: server to connect to.
        :param max_idle_s: longest time in seconds for which a reused
            connection may have been idle.
        :raises RequestNotSent: the connection could not be established.
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
                return ConnectionLease(self, target, connection)
            connection.close()
        connection = await self._connect(target, self._connect_timeout_s)
        return ConnectionLease(self, target, connection)

    async def probe(self, target: Target) -> bool:
        """
        Return whether a server accepts a connection.

        The connection is added to the idle ones.

        :param target: server to connect to.
        """
        try:
            connection = await self._connect(target, _PROBE_TIMEOUT_S)
        except RequestNotSent:
            return False
        now_s = asyncio.get_running_loop().time()
        connection.usable_until_s = now_s + _DEFAULT_KEEP_ALIVE_S
        self.put_idle(target, connection)
        return True

    def put_idle(self, target: Target, connection: UpstreamConnection) -> None:
        """Add a connection without a pending answer to the idle ones."""
        connection.idle_since_s = asyncio.get_running_loop().time()
        self._idle_by_target.setdefault(target, []).append(connection)

    def close_unlisted(self, targets: frozenset[Target]) -> None:
        """
        Close idle connections to servers that are no longer listed.

        :param targets: the servers that are listed.
        """
        for target in tuple(self._idle_by_target):
            if target not in targets:
                for connection in self._idle_by_target.pop(target):
                    connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        self.close_unlisted(frozenset())

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
            raise RequestNotSent(f'{target.name}: {error!r}') from error
        return connection


class ConnectionLease:
    """
    Exclusive use of a pooled connection by one request.

    :param pool: pool to which the connection is returned.
    :param target: server to which the connection leads.
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
        self._keep_alive_s = _DEFAULT_KEEP_ALIVE_S
        self._is_fully_read = False
        #: Whether the connection has carried an earlier request.
        self.is_reused = connection.served > 0

    async def send(
        self, request: bytes, *, is_head: bool = False
    ) -> AnswerHead:
        """
        Send a request and return the head of its answer.

        :param request: the serialized request, including its body.
        :param is_head: whether the method is ``HEAD``.
        :raises RequestNotSent: the connection was closed before.
        :raises AnswerError: no valid head was received.
        """
        head = await self._connection.send(request, is_head=is_head)
        self._keep_alive_s = _keep_alive_s(head)
        return head

    async def read(self) -> bytes:
        """
        Return the next bytes of the body, empty at its end.

        :raises AnswerError: the answer is truncated or invalid.
        """
        body = await self._connection.read()
        self._is_fully_read = not body
        return body

    async def read_all(self, max_bytes: int) -> bytes:
        """
        Return the whole body.

        :param max_bytes: limit of its size.
        :raises AnswerError: the answer is truncated, invalid or too long.
        """
        chunks = []
        size = 0
        chunk = await self.read()
        while chunk:
            chunks.append(chunk)
            size += len(chunk)
            if size > max_bytes:
                self.discard()
                raise AnswerError(f'the body exceeds {max_bytes} bytes')
            chunk = await self.read()
        return b''.join(chunks)

    def release(self) -> None:
        """
        Return the connection to the pool, or close it.

        It is returned only if the answer was read to its end and the server
        allows another request on the connection.
        """
        connection = self._connection
        connection.served += 1
        if (
            self._is_fully_read
            and connection.is_reusable
            and self._keep_alive_s > 0
        ):
            now_s = asyncio.get_running_loop().time()
            connection.usable_until_s = now_s + self._keep_alive_s
            self._pool.put_idle(self._target, connection)
        else:
            connection.close()

    def discard(self) -> None:
        """Close the connection; a later ``release`` does not pool it."""
        self._connection.close()


def _keep_alive_s(head: AnswerHead) -> float:
    match = _TIMEOUT_PATTERN.search(head.find(b'keep-alive') or b'')
    if match is None:
        return _DEFAULT_KEEP_ALIVE_S
    return int(match.group(1)) - _KEEP_ALIVE_MARGIN_S
