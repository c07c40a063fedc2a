"""Answers that begin while their request is still being sent."""

import asyncio
import unittest
from typing import Any

from ..addresses import Address
from ..serving import HttpServer

_BODY_BYTES = 4 * 1024 * 1024
_PART = bytes(300_000)
_HEAD = b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n\r\n'
_REST_BYTES = 700_000
_WHOLE = b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc'
_WAIT_S = 5.0


async def _answer_unread(scope: Any, receive: Any, send: Any) -> None:
    length = str(_BODY_BYTES).encode()
    await send(
        {
            'type': 'http.response.start',
            'status': 200,
            'headers': [(b'content-length', length)],
        }
    )
    await send({'type': 'http.response.body', 'body': b'x' * _BODY_BYTES})


class EarlyAnswerTest(unittest.IsolatedAsyncioTestCase):
    """The caller gets the whole answer, and the connection ends with it."""

    async def asyncSetUp(self) -> None:
        self.server = HttpServer(
            lambda: _answer_unread, Address('127.0.0.1', 0)
        )
        await self.server.start()
        address = self.server.address
        streams = await asyncio.open_connection(address.ip, address.port)
        self.reader = streams[0]
        self.writer = streams[1]

    async def asyncTearDown(self) -> None:
        self.writer.transport.abort()
        await self.server.kill()

    async def read_answer(self) -> bytes:
        head = await self.reader.readuntil(b'\r\n\r\n')
        body = await self.reader.readexactly(_BODY_BYTES)
        self.assertEqual(body, b'x' * _BODY_BYTES)
        return head

    # Guards against the rest of an upload in front of the next request.
    async def test_connection_is_not_reused(self) -> None:
        self.writer.write(_HEAD + _PART)
        async with asyncio.timeout(_WAIT_S):
            self.assertIn(b'connection: close', await self.read_answer())
            self.assertEqual(await self.reader.read(), b'')

    # Guards against a reset, which discards the answer, for the bytes that
    # the caller sends on.
    async def test_caller_that_sends_on_gets_the_whole_answer(self) -> None:
        self.writer.write(_HEAD + _PART)
        await asyncio.sleep(0.3)
        self.writer.write(bytes(_REST_BYTES) + _WHOLE)
        async with asyncio.timeout(_WAIT_S):
            await self.writer.drain()
            await self.read_answer()
            self.assertEqual(await self.reader.read(), b'')

    async def test_connection_is_kept_after_a_request_that_was_read(
        self,
    ) -> None:
        async with asyncio.timeout(_WAIT_S):
            for _ in range(2):
                self.writer.write(_WHOLE)
                self.assertNotIn(b'connection:', await self.read_answer())


if __name__ == '__main__':
    unittest.main()
