"""Connections to servers that send irregular or invalid responses."""

import asyncio
import socket
import struct
import unittest
from collections.abc import Awaitable, Callable

from ...utils import Address
from ..answer import AnswerError, RequestNotSent
from ..connectors import Target
from ..pool import ConnectionLease, ConnectionPool

_REQUEST = b'GET / HTTP/1.1\r\nhost: x\r\n\r\n'
_COMPLETE_ANSWER = b'HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc'

Handler = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]


def _send_and_close(answer: bytes) -> Handler:
    async def handler(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(answer)
        writer.close()

    return handler


def _send_answer_then(trailing_bytes: bytes, after_s: float) -> Handler:
    async def handler(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(_COMPLETE_ANSWER)
        # Without a delay, the bytes arrive before the answer is read.
        if after_s:
            await asyncio.sleep(after_s)
        writer.write(trailing_bytes)
        await reader.read()

    return handler


class ConnectionTest(unittest.IsolatedAsyncioTestCase):
    """Only complete answers to the pending request are returned."""

    async def asyncSetUp(self) -> None:
        self.pool = ConnectionPool()
        self.server: asyncio.Server | None = None

    async def asyncTearDown(self) -> None:
        self.pool.close()
        if self.server is not None:
            self.server.close()

    async def listen(self, handler: Handler) -> Target:
        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            try:
                await handler(reader, writer)
            except (OSError, EOFError, asyncio.CancelledError):
                writer.transport.abort()

        self.server = await asyncio.start_server(serve, '127.0.0.1', 0)
        port = self.server.sockets[0].getsockname()[1]
        return Target('s', Address('127.0.0.1', port))

    async def fetch(self, target: Target) -> bytes:
        lease = await self.pool.acquire(target, max_idle_s=5)
        try:
            return await self.send_and_read(lease)
        finally:
            lease.release()

    async def send_and_read(self, lease: ConnectionLease) -> bytes:
        await lease.send(_REQUEST)
        body = b''
        chunk = await lease.read()
        while chunk:
            body += chunk
            chunk = await lease.read()
        return body

    async def test_connection_is_reused(self) -> None:
        async def handler(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            while await reader.readuntil(b'\r\n\r\n'):
                writer.write(_COMPLETE_ANSWER)

        target = await self.listen(handler)
        for _ in range(3):
            self.assertEqual(await self.fetch(target), b'abc')
        self.assertEqual(self.pool.opened, 1)

    async def test_extra_bytes_after_answer_close_connection(self) -> None:
        trailing_bytes = b'HTTP/1.1 200 OK\r\ncontent-length: 1\r\n'
        target = await self.listen(_send_answer_then(trailing_bytes, after_s=0))
        self.assertEqual(await self.fetch(target), b'abc')
        self.assertEqual(await self.fetch(target), b'abc')
        self.assertEqual(self.pool.opened, 2)

    async def test_late_second_answer_is_not_returned(self) -> None:
        late_answer = _COMPLETE_ANSWER.replace(b'abc', b'xyz')
        target = await self.listen(_send_answer_then(late_answer, after_s=0.05))
        self.assertEqual(await self.fetch(target), b'abc')
        await asyncio.sleep(0.1)
        self.assertEqual(await self.fetch(target), b'abc')
        self.assertEqual(self.pool.opened, 2)

    async def test_truncated_answer_raises(self) -> None:
        target = await self.listen(_send_and_close(_COMPLETE_ANSWER[:-1]))
        with self.assertRaises(AnswerError):
            await self.fetch(target)

    async def test_answer_without_length_ends_on_close(self) -> None:
        unframed = b'HTTP/1.1 200 OK\r\n\r\nabc'
        target = await self.listen(_send_and_close(unframed))
        self.assertEqual(await self.fetch(target), b'abc')

    async def test_answer_without_length_raises_on_reset(self) -> None:
        async def handler(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(b'HTTP/1.1 200 OK\r\n\r\nabc')
            await asyncio.sleep(0.05)
            # A linger time of 0 makes the close reset the connection.
            sock = writer.get_extra_info('socket')
            linger = struct.pack('ii', 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()

        target = await self.listen(handler)
        with self.assertRaises(AnswerError):
            await self.fetch(target)

    async def test_invalid_http_response_raises(self) -> None:
        async def handler(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(b'\x00\x01 nonsense \r\n\r\n')
            await reader.read()

        target = await self.listen(handler)
        with self.assertRaises(AnswerError):
            await self.fetch(target)

    async def test_early_answer_does_not_truncate_request_body(self) -> None:
        received = bytearray()

        async def handler(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(_COMPLETE_ANSWER)
            await asyncio.sleep(0.05)
            received.extend(await reader.readexactly(500_000))
            await reader.readuntil(b'\r\n\r\n')
            writer.write(_COMPLETE_ANSWER)

        target = await self.listen(handler)
        lease = await self.pool.acquire(target, max_idle_s=5)
        body = b'b' * 500_000
        head = b'POST / HTTP/1.1\r\ncontent-length: 500000\r\n\r\n'
        await lease.send(head + body)
        self.assertEqual(await lease.read(), b'abc')
        self.assertEqual(await lease.read(), b'')
        lease.release()
        self.assertEqual(await self.fetch(target), b'abc')
        self.assertEqual(bytes(received), body)

    async def test_refused_connection_raises_not_sent(self) -> None:
        target = await self.listen(lambda reader, writer: asyncio.sleep(0))
        assert self.server is not None
        self.server.close()
        await self.server.wait_closed()
        with self.assertRaises(RequestNotSent):
            await self.fetch(target)
        self.assertFalse(await self.pool.probe(target))
