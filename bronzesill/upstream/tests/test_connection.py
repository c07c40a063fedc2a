"""Connections against a server that answers in odd ways."""

import asyncio
import socket
import struct
import unittest
from collections.abc import Awaitable, Callable

from ...utils import Address
from ..answer import AnswerBroken, NotSent
from ..pool import ConnectionPool, Lease, Target

_REQUEST = b'GET / HTTP/1.1\r\nhost: x\r\n\r\n'
_WHOLE = b'HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc'

Script = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def _send_and_close(answer: bytes) -> Script:
    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(answer)
        writer.close()

    return script


def _send_more(more: bytes, after_s: float) -> Script:
    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(_WHOLE)
        # At once means before anybody reads the answer.
        if after_s:
            await asyncio.sleep(after_s)
        writer.write(more)
        await reader.read()

    return script


class ConnectionTest(unittest.IsolatedAsyncioTestCase):
    """Whole answers only, and only to the request that is due."""

    async def asyncSetUp(self) -> None:
        self.pool = ConnectionPool()
        self.server: asyncio.Server | None = None

    async def asyncTearDown(self) -> None:
        self.pool.close()
        if self.server is not None:
            self.server.close()

    async def listen(self, script: Script) -> Target:
        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            try:
                await script(reader, writer)
            except (OSError, EOFError, asyncio.CancelledError):
                writer.transport.abort()

        self.server = await asyncio.start_server(serve, '127.0.0.1', 0)
        port = self.server.sockets[0].getsockname()[1]
        return Target('s', Address('127.0.0.1', port))

    async def ask(self, target: Target) -> bytes:
        lease = await self.pool.take(target, max_idle_s=5)
        try:
            return await self.exchange(lease)
        finally:
            lease.release()

    async def exchange(self, lease: Lease) -> bytes:
        await lease.send(_REQUEST)
        body = b''
        chunk = await lease.read()
        while chunk:
            body += chunk
            chunk = await lease.read()
        return body

    async def test_connection_is_used_again(self) -> None:
        async def script(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            while await reader.readuntil(b'\r\n\r\n'):
                writer.write(_WHOLE)

        target = await self.listen(script)
        for _ in range(3):
            self.assertEqual(await self.ask(target), b'abc')
        self.assertEqual(self.pool.opened, 1)

    async def test_bytes_behind_an_answer_end_the_connection(self) -> None:
        more = b'HTTP/1.1 200 OK\r\ncontent-length: 1\r\n'
        target = await self.listen(_send_more(more, after_s=0))
        self.assertEqual(await self.ask(target), b'abc')
        self.assertEqual(await self.ask(target), b'abc')
        self.assertEqual(self.pool.opened, 2)

    async def test_late_second_answer_is_never_taken(self) -> None:
        late = _WHOLE.replace(b'abc', b'xyz')
        target = await self.listen(_send_more(late, after_s=0.05))
        self.assertEqual(await self.ask(target), b'abc')
        await asyncio.sleep(0.1)
        self.assertEqual(await self.ask(target), b'abc')
        self.assertEqual(self.pool.opened, 2)

    async def test_answer_cut_short_is_broken(self) -> None:
        target = await self.listen(_send_and_close(_WHOLE[:-1]))
        with self.assertRaises(AnswerBroken):
            await self.ask(target)

    async def test_answer_without_length_ends_with_its_connection(self) -> None:
        unframed = b'HTTP/1.1 200 OK\r\n\r\nabc'
        target = await self.listen(_send_and_close(unframed))
        self.assertEqual(await self.ask(target), b'abc')

    async def test_answer_without_length_that_is_reset_is_broken(self) -> None:
        async def script(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(b'HTTP/1.1 200 OK\r\n\r\nabc')
            await asyncio.sleep(0.05)
            # Unread bytes and no lingering: the other side sees a reset.
            sock = writer.get_extra_info('socket')
            linger = struct.pack('ii', 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()

        target = await self.listen(script)
        with self.assertRaises(AnswerBroken):
            await self.ask(target)

    async def test_bytes_that_are_no_answer_are_broken(self) -> None:
        async def script(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(b'\x00\x01 nonsense \r\n\r\n')
            await reader.read()

        target = await self.listen(script)
        with self.assertRaises(AnswerBroken):
            await self.ask(target)

    async def test_early_answer_still_gets_the_whole_body(self) -> None:
        received = bytearray()

        async def script(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(_WHOLE)
            await asyncio.sleep(0.05)
            received.extend(await reader.readexactly(500_000))
            await reader.readuntil(b'\r\n\r\n')
            writer.write(_WHOLE)

        target = await self.listen(script)
        lease = await self.pool.take(target, max_idle_s=5)
        body = b'b' * 500_000
        head = b'POST / HTTP/1.1\r\ncontent-length: 500000\r\n\r\n'
        await lease.send(head + body)
        self.assertEqual(await lease.read(), b'abc')
        self.assertEqual(await lease.read(), b'')
        lease.release()
        self.assertEqual(await self.ask(target), b'abc')
        self.assertEqual(bytes(received), body)

    async def test_refused_connection_means_not_sent(self) -> None:
        target = await self.listen(lambda reader, writer: asyncio.sleep(0))
        assert self.server is not None
        self.server.close()
        await self.server.wait_closed()
        with self.assertRaises(NotSent):
            await self.ask(target)
        self.assertFalse(await self.pool.probe(target))
