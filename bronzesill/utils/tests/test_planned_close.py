"""A server that closes on purpose, under callers that read slowly."""

import asyncio
import socket
import unittest
from typing import Any

from ..addresses import Address
from ..serving import HttpServer

_BODY_BYTES = 4 * 1024 * 1024
_SMALL_BUFFER_BYTES = 4096
_REQUEST = b'GET / HTTP/1.1\r\nHost: x\r\n\r\n'


async def _answer(scope: Any, receive: Any, send: Any) -> None:
    length = str(_BODY_BYTES).encode()
    await send(
        {
            'type': 'http.response.start',
            'status': 200,
            'headers': [(b'content-length', length)],
        }
    )
    await send({'type': 'http.response.body', 'body': b'x' * _BODY_BYTES})


class PlannedCloseTest(unittest.IsolatedAsyncioTestCase):
    """What was answered reaches its caller."""

    async def asyncSetUp(self) -> None:
        self.server = HttpServer(lambda: _answer, Address('127.0.0.1', 0))
        await self.server.start()

    async def asyncTearDown(self) -> None:
        await self.server.kill()

    async def connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        raw = socket.socket()
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _SMALL_BUFFER_BYTES)
        raw.setblocking(False)
        address = self.server.address
        loop = asyncio.get_running_loop()
        await loop.sock_connect(raw, (address.ip, address.port))
        return await asyncio.open_connection(
            sock=raw, limit=_SMALL_BUFFER_BYTES
        )

    # Guards against answers that end early, as the connection is aborted with
    # their last bytes still in its buffer.
    async def test_slow_reader_gets_the_whole_answer(self) -> None:
        reader, writer = await self.connect()
        writer.write(_REQUEST)
        head = await reader.readuntil(b'\r\n\r\n')
        self.assertIn(b' 200 ', head)
        reading = asyncio.create_task(reader.read(_BODY_BYTES))
        await reading
        closing = asyncio.create_task(self.server.close(flush_s=5))
        body = await reader.read(-1)
        await closing
        self.assertEqual(len(reading.result()) + len(body), _BODY_BYTES)
        writer.close()

    async def test_idle_connection_does_not_delay_the_close(self) -> None:
        _, writer = await self.connect()
        async with asyncio.timeout(1):
            await self.server.close(flush_s=5)
        writer.close()

    async def test_close_does_not_wait_for_a_caller_that_reads_nothing(
        self,
    ) -> None:
        _, writer = await self.connect()
        writer.write(_REQUEST)
        await asyncio.sleep(0.2)
        async with asyncio.timeout(1):
            await self.server.close(flush_s=0.2)
        writer.transport.abort()


if __name__ == '__main__':
    unittest.main()
