"""Connections through a peer end as the server ended them, or as lost."""

from __future__ import annotations

import asyncio
import socket
import unittest
from collections.abc import Awaitable, Callable
from random import Random

import msgpack

from ...upstream import (
    AnswerError,
    ConnectionLease,
    ConnectionLost,
    ConnectionPool,
    Dialer,
    Reach,
    RequestNotSent,
    RequestUnread,
    Target,
)
from ...upstream.tests.unread_uploads import HastyServer, make_upload
from ...utils import Address
from ...wire import MessageRegistry, PeerServer, WireCounters
from ..connections import RELAY_TYPES_BY_NUMBER, RelayData, RelayOpen
from ..connector import RelayConnector
from ..paths import RelayPeer
from ..server import RelayBounds, RelayServer

_LOOPBACK = '127.0.0.1'
_UPLOAD_BYTES = 100_000
_REQUEST = b'GET / HTTP/1.1\r\nhost: x\r\n\r\n'
_OPEN_ANSWER = b'HTTP/1.1 200 OK\r\n\r\nabc'
_ANSWER = b'HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc'
_CONNECT_TIMEOUT_S = 1.0
_MAX_BYTES = 64 * 1024 * 1024
_LARGE = 24 * 1024 * 1024
#: Bytes of one connection that may wait on both hosts and in their sockets.
_MAX_IN_TRANSIT = 16 * 1024 * 1024

Handler = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]


class _NoEcho:
    async def handle(self, request: object) -> object:
        return request


async def _refuse(address: Address) -> None:
    raise ConnectionRefusedError('path is cut')


async def _hang(address: Address) -> None:
    await asyncio.sleep(60)


class RelayCase(unittest.IsolatedAsyncioTestCase):
    """A host whose paths are cut, a peer and a server."""

    async def asyncSetUp(self) -> None:
        self.received = 0
        self.ended = asyncio.Event()
        self.registry = MessageRegistry(dict(RELAY_TYPES_BY_NUMBER))
        self.is_member = True
        self.is_listed = True
        self.dialer = Dialer()
        self.relay = RelayServer(
            self.dialer,
            lambda _: self.is_member,
            lambda _: self.is_listed,
            RelayBounds(total=4, per_host=2, idle_s=1),
        )
        self.peer = PeerServer(
            Address(_LOOPBACK, 0), self.registry, _NoEcho(), WireCounters()
        )
        self.peer.channels_by_type[RelayOpen] = self.relay.serve
        self.peer_address = await self.peer.start()
        self.pool = ConnectionPool(_CONNECT_TIMEOUT_S)
        self.pool.direct.dialer.before_connect = _refuse
        self.connector = RelayConnector(
            'host-1',
            self.pool.direct,
            self.registry,
            lambda: (RelayPeer('host-2', self.peer_address, True),),
            Random(1),
        )
        self.connector.on_spare = self.pool.add_spare
        self.pool.connector = self.connector
        self.servers: list[asyncio.Server] = []

    async def asyncTearDown(self) -> None:
        self.pool.close()
        await self.peer.stop()
        for server in self.servers:
            server.close()

    async def listen(self, handler: Handler) -> Target:
        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            try:
                await reader.readuntil(b'\r\n\r\n')
                self.received += 1
                await handler(reader, writer)
            except (OSError, EOFError, asyncio.CancelledError):
                writer.transport.abort()
            self.ended.set()

        server = await asyncio.start_server(serve, _LOOPBACK, 0)
        self.servers.append(server)
        port = server.sockets[0].getsockname()[1]
        return Target('shop-a', Address(_LOOPBACK, port))

    async def send(self, target: Target) -> ConnectionLease:
        lease = await self.pool.acquire(target, max_idle_s=4)
        await lease.send(_REQUEST)
        return lease

    async def fetch(self, target: Target) -> bytes:
        lease = await self.send(target)
        try:
            return await lease.read_all(_MAX_BYTES)
        finally:
            lease.release()


async def _answer(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    while True:
        writer.write(_ANSWER)
        await reader.readuntil(b'\r\n\r\n')


async def _answer_until_close(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    writer.write(_OPEN_ANSWER)
    writer.close()


async def _answer_and_reset(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    writer.write(_OPEN_ANSWER)
    await writer.drain()
    await asyncio.sleep(0.05)
    # A linger time of 0 resets the connection.
    writer.get_extra_info('socket').setsockopt(1, 13, b'\1\0\0\0\0\0\0\0')
    writer.transport.abort()


async def _begin_answer(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    writer.write(_OPEN_ANSWER)
    await reader.read()


class RelayedAnswerTest(RelayCase):
    """Answers are whole, or known not to be."""

    async def test_connection_is_reused(self) -> None:
        target = await self.listen(_answer)
        for _ in range(3):
            self.assertEqual(await self.fetch(target), b'abc')
        self.assertEqual(self.connector.counts['opened'], 1)
        self.assertTrue(self.connector.paths.is_cut(target.name))

    async def test_answer_without_length_ends_with_a_clean_end(self) -> None:
        target = await self.listen(_answer_until_close)
        self.assertEqual(await self.fetch(target), b'abc')

    async def test_answer_without_length_that_is_reset_is_lost(self) -> None:
        target = await self.listen(_answer_and_reset)
        with self.assertRaises(ConnectionLost):
            await self.fetch(target)

    # Guards against an answer without a length that looks whole when the
    # peer, not the server, has ended.
    async def test_answer_is_lost_when_the_peer_ends(self) -> None:
        target = await self.listen(_begin_answer)
        lease = await self.send(target)
        self.assertEqual(await lease.read(), b'abc')
        await self.peer.stop()
        with self.assertRaises(ConnectionLost):
            await lease.read()
        lease.release()

    # Guards against a peer without power that holds up requests.
    async def test_peer_that_acknowledges_nothing_is_given_up(self) -> None:
        target = await self.listen(_answer)
        lease = await self.send(target)
        client = lease._connection._transport._transport  # type: ignore
        timeout_ms = client.get_extra_info('socket').getsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT
        )
        self.assertEqual(timeout_ms, 1500)
        lease.release()

    # Guards against requests that go on for callers that have left.
    async def test_server_sees_the_close_of_the_asking_host(self) -> None:
        target = await self.listen(_begin_answer)
        lease = await self.send(target)
        lease.discard()
        async with asyncio.timeout(0.4):
            await self.ended.wait()

    async def test_request_is_not_sent_twice_when_the_peer_ends(self) -> None:
        target = await self.listen(_begin_answer)
        lease = await self.send(target)
        await self.peer.stop()
        with self.assertRaises(AnswerError):
            await lease.read_all(_MAX_BYTES)
        lease.release()
        with self.assertRaises(RequestNotSent):
            await self.pool.acquire(target, max_idle_s=4)
        self.assertEqual(self.received, 1)


class UnreadUploadTest(RelayCase):
    """A server that ended before it read the request has not answered it."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.hasty = HastyServer(_OPEN_ANSWER)
        self.hasty.receive_buffer = _UPLOAD_BYTES * 4

    async def asyncTearDown(self) -> None:
        await super().asyncTearDown()
        await self.hasty.stop()

    async def upload(self, size: int) -> bytes:
        target = Target('shop-a', await self.hasty.start())
        lease = await self.pool.acquire(target, max_idle_s=4)
        try:
            await lease.send(make_upload(size))
            return await lease.read_all(_MAX_BYTES)
        finally:
            lease.release()

    async def test_end_during_an_upload(self) -> None:
        with self.assertRaises(AnswerError):
            await self.upload(_LARGE)

    async def test_early_end_after_an_acknowledged_upload(self) -> None:
        self.hasty.reset_delay_s = 1
        with self.assertRaises(RequestUnread):
            await self.upload(_UPLOAD_BYTES)

    # Guards against a relay that tells the end of an answer as clean before
    # the reset that follows it.
    async def test_reset_after_the_end(self) -> None:
        self.hasty.answer_delay_s = 0.05
        with self.assertRaises(ConnectionLost):
            await self.upload(_UPLOAD_BYTES)

    async def test_sound_server(self) -> None:
        self.hasty.has_read = True
        self.hasty.answer_delay_s = 0.05
        self.assertEqual(await self.upload(_UPLOAD_BYTES), b'abc')

    # Guards against orders on a connection that the server has closed, while
    # the relay waits for a reset.
    async def test_end_of_an_idle_connection_is_told_at_once(self) -> None:
        closed_at_s: list[float] = []
        loop = asyncio.get_running_loop()

        async def answer_and_close_later(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readexactly(_UPLOAD_BYTES)
            writer.write(_ANSWER)
            await asyncio.sleep(0.6)
            writer.close()
            closed_at_s.append(loop.time())

        target = await self.listen(answer_and_close_later)
        lease = await self.pool.acquire(target, max_idle_s=4)
        connection = lease._connection
        await lease.send(make_upload(_UPLOAD_BYTES))
        self.assertEqual(await lease.read_all(_MAX_BYTES), b'abc')
        lease.release()
        self.assertTrue(connection.is_reusable)
        async with asyncio.timeout(2):
            while connection.is_reusable:
                await asyncio.sleep(0.005)
        self.assertLess(loop.time() - closed_at_s[0], 0.09)

    # Guards against relays of the previous build, which tell no counts.
    async def test_messages_without_counts(self) -> None:
        frame = msgpack.unpackb(self.registry.encode(RelayData(b'x', 1)))
        frame[-1] = frame[-1][:1]
        message = self.registry.from_frame(frame).message
        self.assertEqual(message, RelayData(b'x'))


class BackPressureTest(RelayCase):
    """A host that does not read stops the server."""

    async def test_large_answer_waits_at_the_server(self) -> None:
        written = 0

        async def write_much(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            nonlocal written
            writer.write(
                b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n' % _LARGE
            )
            while written < _LARGE:
                writer.write(bytes(65536))
                await writer.drain()
                written += 65536

        target = await self.listen(write_much)
        lease = await self.send(target)
        await asyncio.sleep(0.5)
        self.assertLess(written, _MAX_IN_TRANSIT)
        body = await lease.read_all(_MAX_BYTES)
        self.assertEqual(len(body), _LARGE)
        lease.release()


class RefusalTest(RelayCase):
    """Who may not use the peer is refused at once, and nothing is sent."""

    async def assert_refused(self, reason: str) -> None:
        target = await self.listen(_answer)
        with self.assertRaises(RequestNotSent):
            async with asyncio.timeout(1):
                await self.pool.acquire(target, max_idle_s=4)
        self.assertEqual(self.received, 0)
        self.assertEqual(self.relay.counts['refused'], 1, reason)
        self.assertFalse(self.connector.paths.is_cut(target.name))

    async def test_strangers(self) -> None:
        self.is_member = False
        await self.assert_refused('stranger')

    async def test_unlisted_servers(self) -> None:
        self.is_listed = False
        await self.assert_refused('unlisted')

    async def test_peer_that_is_cut_itself(self) -> None:
        self.relay.is_cut = lambda _: True
        await self.assert_refused('cut')

    async def test_server_that_nobody_reaches(self) -> None:
        self.dialer.before_connect = _refuse
        await self.assert_refused('unreachable')

    async def test_too_many_connections_of_one_host(self) -> None:
        target = await self.listen(_begin_answer)
        leases = [await self.send(target) for _ in range(2)]
        with self.assertRaises(RequestNotSent):
            await self.pool.acquire(target, max_idle_s=4)
        for lease in leases:
            lease.discard()
        await asyncio.sleep(1.1)
        lease = await self.send(target)
        lease.discard()

    async def test_idle_connections_are_closed(self) -> None:
        target = await self.listen(_begin_answer)
        lease = await self.send(target)
        self.assertEqual(await lease.read(), b'abc')
        with self.assertRaises(ConnectionLost):
            async with asyncio.timeout(3):
                await lease.read()
        lease.release()


class PathTest(RelayCase):
    """The direct path is used as long as, and once again when, it is open."""

    async def test_direct_connection_if_the_path_is_open(self) -> None:
        self.pool.direct.dialer.before_connect = Dialer().before_connect
        target = await self.listen(_answer)
        self.assertEqual(await self.fetch(target), b'abc')
        self.assertEqual(self.connector.counts.total(), 0)

    async def test_hanging_path_costs_little_and_is_learnt(self) -> None:
        self.pool.direct.dialer.before_connect = _hang
        target = await self.listen(_answer)
        async with asyncio.timeout(0.6):
            self.assertEqual(await self.fetch(target), b'abc')
        await asyncio.sleep(_CONNECT_TIMEOUT_S)
        self.assertTrue(self.connector.paths.is_cut(target.name))

    async def test_path_heals(self) -> None:
        target = await self.listen(_answer)
        await self.fetch(target)
        self.pool.direct.dialer.before_connect = Dialer().before_connect
        async with asyncio.timeout(1.5):
            while self.connector.paths.is_cut(target.name):
                await asyncio.sleep(0.01)
        self.assertEqual(await self.fetch(target), b'abc')
        self.assertEqual(self.connector.counts['opened'], 1)

    # Guards against servers that count as ended for what a cut host sees.
    async def test_check_tells_a_cut_path_from_an_ended_server(self) -> None:
        target = await self.listen(_answer)
        self.assertIs(await self.connector.check(target), Reach.PEER)
        self.assertTrue(await self.pool.probe(target))
        ended = Target('shop-b', Address(_LOOPBACK, 9))
        self.assertIs(await self.connector.check(ended), Reach.NONE)
        self.assertFalse(await self.pool.probe(ended))


if __name__ == '__main__':
    unittest.main()
