"""
Reuse of idle connections.

Load: a host sends 1.7 calls a second to 4 servers, so that most connections
are idle for more than a second between two calls.
"""

import asyncio
import socket
import unittest
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from ...utils import Address
from ..connection import UpstreamConnection
from ..connectors import Target
from ..pool import ConnectionPool
from ..purposes import Purpose
from ..reuse import IdleLimit

_REQUEST = b'GET / HTTP/1.1\r\n\r\n'
_ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n%b\r\nx'
_ORDER_IDLE_S = 1.0


class StatedTimeoutTest(unittest.IsolatedAsyncioTestCase):
    """Calls go by the timeout that a server states."""

    async def asyncSetUp(self) -> None:
        self.stated = b'Keep-Alive: timeout=5\r\n'
        self.server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        port = self.server.sockets[0].getsockname()[1]
        self.target = Target('s', Address('127.0.0.1', port))
        self.pool = ConnectionPool()
        self.pool.saves_connections = lambda name: name == 's'

    async def asyncTearDown(self) -> None:
        self.pool.close()
        self.server.close()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while await reader.readuntil(b'\r\n\r\n'):
                writer.write(_ANSWER % self.stated)
        except (OSError, EOFError, asyncio.CancelledError):
            writer.transport.abort()

    async def opens_for_idle_s(
        self, idle_s: float, purpose: Purpose = Purpose.CALL
    ) -> bool:
        """Return whether a request after an idle time opens a connection."""
        first = await self.pool.acquire(self.target, max_idle_s=0)
        await first.send(_REQUEST)
        await first.read_all(1)
        first.release()
        connection = self.idle_connection()
        connection.idle_since_s -= idle_s
        connection.usable_until_s -= idle_s
        opened = self.pool.opened
        lease = await self.pool.acquire(
            self.target, max_idle_s=_ORDER_IDLE_S, purpose=purpose
        )
        lease.discard()
        return self.pool.opened > opened

    def idle_connection(self) -> UpstreamConnection:
        return self.pool._idle_by_target[self.target][-1]

    async def test_call_uses_the_stated_time_but_for_a_second(self) -> None:
        self.assertFalse(await self.opens_for_idle_s(3.9))
        self.assertTrue(await self.opens_for_idle_s(4.1))

    async def test_stated_time_is_bounded(self) -> None:
        self.stated = b'Keep-Alive: timeout=999999\r\n'
        self.assertFalse(await self.opens_for_idle_s(29))
        self.assertTrue(await self.opens_for_idle_s(31))

    async def test_limit_of_the_call_holds_where_none_is_stated(self) -> None:
        self.stated = b''
        self.assertTrue(await self.opens_for_idle_s(1.1))

    async def test_limit_holds_where_connections_are_not_saved(self) -> None:
        """Earlier deployments are served as before."""
        self.pool.saves_connections = lambda _: False
        self.assertTrue(await self.opens_for_idle_s(1.1))

    async def test_limit_holds_for_streams(self) -> None:
        """A prompt sent to a dead engine is noticed after seconds only."""
        self.assertTrue(await self.opens_for_idle_s(1.1, Purpose.STREAM))

    async def test_call_may_use_what_it_is_told_to_have(self) -> None:
        self.assertFalse(self.has_idle())
        await self.opens_for_idle_s(4.1)
        self.assertFalse(self.has_idle())
        lease = await self.pool.acquire(self.target, max_idle_s=0)
        await lease.send(_REQUEST)
        await lease.read_all(1)
        lease.release()
        self.idle_connection().idle_since_s -= 2
        self.assertTrue(self.has_idle())

    def has_idle(self) -> bool:
        return self.pool.has_idle(self.target, max_idle_s=_ORDER_IDLE_S)


class PendingEndTest(unittest.IsolatedAsyncioTestCase):
    """An end that the event loop has not read yet bars reuse."""

    @asynccontextmanager
    async def connect(
        self,
    ) -> AsyncIterator[tuple[UpstreamConnection, socket.socket]]:
        pool = ConnectionPool()
        with socket.create_server(('127.0.0.1', 0)) as listener:
            target = Target('s', Address(*listener.getsockname()))
            connection = await pool.direct.connect(target, 1)
            connection.usable_until_s = asyncio.get_running_loop().time() + 4
            far_end, _ = listener.accept()
            with far_end:
                yield connection, far_end
            connection.close()

    def allows(self, connection: UpstreamConnection) -> bool:
        now_s = asyncio.get_running_loop().time()
        connection.idle_since_s = now_s
        return IdleLimit(4, trusts_stated_timeout=True).allows(
            connection, now_s
        )

    # Guards against a call of unknown outcome on a connection that its server
    # had closed before, while the host was busy.
    async def test_end_in_the_kernel_is_seen_before_the_write(self) -> None:
        async with self.connect() as (connection, far_end):
            self.assertTrue(self.allows(connection))
            far_end.close()
            # The event loop has not run since.
            self.assertTrue(connection.is_reusable)
            self.assertFalse(self.allows(connection))

    async def test_unexpected_bytes_bar_reuse(self) -> None:
        async with self.connect() as (connection, far_end):
            far_end.send(b'HTTP/1.1 503 Busy\r\n')
            self.assertFalse(self.allows(connection))


class ProvenAliveTest(unittest.IsolatedAsyncioTestCase):
    """A connection that was just open makes a probe needless."""

    async def asyncSetUp(self) -> None:
        self.server = await asyncio.start_server(
            lambda reader, writer: None, '127.0.0.1', 0
        )
        port = self.server.sockets[0].getsockname()[1]
        self.target = Target('s', Address('127.0.0.1', port))
        self.pool = ConnectionPool()
        self.pool.saves_connections = lambda _: True

    async def asyncTearDown(self) -> None:
        self.pool.close()
        self.server.close()

    # Guards against two connections for two looks at one server at a time.
    async def test_spare_of_a_probe_proves_life_for_a_short_time(self) -> None:
        self.assertFalse(self.pool.is_proven_alive(self.target))
        await self.pool.probe(self.target)
        self.assertTrue(self.pool.is_proven_alive(self.target))
        self.pool.saves_connections = lambda _: False
        self.assertFalse(self.pool.is_proven_alive(self.target))

    async def test_proof_expires(self) -> None:
        await self.pool.probe(self.target)
        self.pool._idle_by_target[self.target][-1].received_at_s -= 0.25
        self.assertFalse(self.pool.is_proven_alive(self.target))
