"""Requests that follow others on their connection, beside changed limits."""

import asyncio
import dataclasses
import unittest
from typing import Any

from ..addresses import Address
from ..serving import HttpServer, ServingLimits

_LIMITS = ServingLimits(
    max_head_bytes=2000, head_timeout_s=0.2, idle_timeout_s=0.4
)
_GET = b'GET / HTTP/1.1\r\nhost: x\r\n\r\n'
_LARGE_HEAD = b'GET / HTTP/1.1\r\nx-big: %b\r\n\r\n' % (b'a' * 1000)
_POST_HEAD = b'POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\n'
_BODY = b'done'
_END_S = 3.0


async def _answer(scope: Any, receive: Any, send: Any) -> None:
    headers = [(b'content-length', str(len(_BODY)).encode())]
    await send(
        {'type': 'http.response.start', 'status': 200, 'headers': headers}
    )
    await send({'type': 'http.response.body', 'body': _BODY})


class KeptConnectionTest(unittest.IsolatedAsyncioTestCase):
    """A request is treated alike on a new and on a kept connection."""

    async def asyncSetUp(self) -> None:
        self.limits = _LIMITS
        self.server = HttpServer(
            lambda: _answer, Address('127.0.0.1', 0), lambda: self.limits
        )
        await self.server.start()
        address = self.server.address
        reader, writer = await asyncio.open_connection(address.ip, address.port)
        self.reader = reader
        self.writer = writer
        await self.exchange()

    async def asyncTearDown(self) -> None:
        self.writer.close()
        await self.server.kill()

    async def exchange(self) -> None:
        self.writer.write(_GET)
        async with asyncio.timeout(_END_S):
            answer = await self.reader.readuntil(_BODY)
        self.assertIn(b' 200 ', answer)

    async def read_rest(self, sent: bytes) -> bytes:
        self.writer.write(sent)
        async with asyncio.timeout(_END_S):
            return await self.reader.read(-1)

    # Guards against a whole request that gets neither an answer nor a refusal
    # when a changed limit forbids it: the connection was closed without a word.
    async def test_head_over_a_lowered_limit_is_refused(self) -> None:
        self.limits = dataclasses.replace(_LIMITS, max_head_bytes=500)
        answer = await self.read_rest(_LARGE_HEAD)
        self.assertTrue(answer.startswith(b'HTTP/1.1 431 '), answer)

    # Guards against the same for a head that does not arrive in time.
    async def test_slow_head_is_refused(self) -> None:
        answer = await self.read_rest(_GET[:10])
        self.assertTrue(answer.startswith(b'HTTP/1.1 408 '), answer)

    # Guards against the same for a request that cannot be parsed.
    async def test_invalid_request_is_refused(self) -> None:
        answer = await self.read_rest(b'GET / HTTP/1.1\r\nx : y\r\n\r\n')
        self.assertTrue(answer.startswith(b'HTTP/1.1 400 '), answer)

    # Guards against a request that crosses the close of its connection: the
    # limit in force allowed the idle time, an earlier one did not.
    async def test_raised_idle_limit_holds_at_once(self) -> None:
        self.limits = dataclasses.replace(_LIMITS, idle_timeout_s=2)
        await asyncio.sleep(2 * _LIMITS.idle_timeout_s)
        await self.exchange()

    # Guards against a connection that stays open for ever, as the rest of a
    # body that had been answered already ended its idle time.
    async def test_unfinished_body_does_not_keep_a_connection(self) -> None:
        self.writer.write(_POST_HEAD)
        async with asyncio.timeout(_END_S):
            await self.reader.readuntil(_BODY)
        self.assertEqual(await self.read_rest(b'x'), b'')


if __name__ == '__main__':
    unittest.main()
