"""Tests of the HTTP server: latency, limits and request smuggling."""

import asyncio
import time
import unittest
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
from falcon import asgi

from ..addresses import Address
from ..serving import TARGET_KEY, HttpServer, ServingLimits


class _TwoChunkResource:
    async def on_get(
        self, request: asgi.Request, response: asgi.Response
    ) -> None:
        response.stream = self.chunks()

    async def chunks(self) -> AsyncIterator[bytes]:
        yield b'one'
        await asyncio.sleep(0)
        yield b'two'


def _make_app() -> asgi.App:  # type: ignore[type-arg]
    app = asgi.App()
    app.add_route('/', _TwoChunkResource())
    return app


class ChunkDelayTest(unittest.IsolatedAsyncioTestCase):
    """
    Small chunks are sent without waiting for a delayed acknowledgement.

    With Nagle's algorithm enabled, the second chunk waits for the delayed
    acknowledgement of the first one.
    """

    async def test_small_chunks_do_not_wait_for_a_delayed_ack(self) -> None:
        server = HttpServer(_make_app, Address('127.0.0.1', 0))
        await server.start()
        times_s = []
        async with aiohttp.ClientSession() as session:
            for _ in range(9):
                started_s = time.monotonic()
                async with session.get(server.address.url) as response:
                    self.assertEqual(await response.read(), b'onetwo')
                times_s.append(time.monotonic() - started_s)
        await server.kill()
        self.assertLess(sorted(times_s)[4], 0.035)


class _RecordingResource:
    def __init__(self) -> None:
        self.targets: list[bytes] = []

    async def on_any(
        self, req: asgi.Request, resp: asgi.Response | None, **_: Any
    ) -> None:
        self.targets.append(req.scope[TARGET_KEY])
        await req.stream.read()
        await asyncio.sleep(0.05)
        assert resp is not None
        resp.text = 'done'


class LimitsTest(unittest.IsolatedAsyncioTestCase):
    """Heads are limited, and smuggled requests are not processed."""

    async def asyncSetUp(self) -> None:
        self.resource = _RecordingResource()
        limits = ServingLimits(
            max_head_bytes=2000, head_timeout_s=0.3, idle_timeout_s=0.4
        )
        self.server = HttpServer(
            self.make_app, Address('127.0.0.1', 0), lambda: limits
        )
        await self.server.start()

    async def asyncTearDown(self) -> None:
        await self.server.kill()

    def make_app(self) -> asgi.App:  # type: ignore[type-arg]
        app = asgi.App()
        app.add_sink(self.resource.on_any, '/')
        return app

    async def send(self, sent: bytes) -> bytes:
        address = self.server.address
        reader, writer = await asyncio.open_connection(address.ip, address.port)
        writer.write(sent)
        async with asyncio.timeout(3):
            answer = await reader.read()
        writer.close()
        return answer

    async def test_target_is_kept_byte_for_byte(self) -> None:
        target = b'/a//b%2F%zz?x=1&&y=%20'
        await self.send(b'GET %b HTTP/1.1\r\nhost: x\r\n\r\n' % target)
        self.assertEqual(self.resource.targets, [target])

    async def test_large_head_is_rejected(self) -> None:
        head = b'GET / HTTP/1.1\r\nx-big: %b\r\n\r\n'
        answer = await self.send(head % (b'a' * 3000))
        self.assertTrue(answer.startswith(b'HTTP/1.1 431 '))
        self.assertEqual(self.resource.targets, [])

    async def test_slow_head_is_rejected(self) -> None:
        answer = await self.send(b'GET / HTTP/1.1\r\nhost')
        self.assertTrue(answer.startswith(b'HTTP/1.1 408 '))

    async def test_idle_connection_is_closed(self) -> None:
        self.assertEqual(await self.send(b''), b'')
        answer = await self.send(b'GET / HTTP/1.1\r\nhost: x\r\n\r\n')
        self.assertTrue(answer.endswith(b'done'))

    async def test_smuggled_requests_are_not_processed(self) -> None:
        inner = b'GET /inner HTTP/1.1\r\nhost: x\r\n\r\n'
        chunked = b'5\r\nhello\r\n0\r\n\r\n'
        for head, body in (
            (b'content-length: 4\r\ntransfer-encoding: chunked', chunked),
            (b'transfer-encoding: chunked\r\ncontent-length: 4', chunked),
            (b'content-length: 3\r\ncontent-length: 4', b'abc'),
            (b'x-a: 1\r\n folded: 2\r\ncontent-length: 0', b''),
            (b'transfer-encoding: xchunked', chunked),
            (b'content-length: +3', b'abc'),
            (b'content-length : 3', b'abc'),
        ):
            with self.subTest(head):
                self.resource.targets.clear()
                answer = await self.send(
                    b'POST / HTTP/1.1\r\nhost: x\r\n%b\r\n\r\n%b%b'
                    % (head, body, inner)
                )
                self.assertNotIn(b'/inner', self.resource.targets)
                self.assertTrue(answer.startswith(b'HTTP/1.1 400 '))

    async def test_pipelined_request_is_not_processed(self) -> None:
        request = b'POST /%b HTTP/1.1\r\nhost: x\r\ncontent-length: 1\r\n\r\nx'
        answer = await self.send(request % b'first' + request % b'second')
        self.assertEqual(self.resource.targets, [b'/first'])
        self.assertEqual(answer.count(b'HTTP/1.1 200 OK'), 1)

    async def test_invalid_bytes_after_a_request_keep_its_response(
        self,
    ) -> None:
        request = b'POST /a HTTP/1.1\r\nhost: x\r\ncontent-length: 1\r\n\r\nx'
        invalid_bytes = b'\x00\x01 nonsense\r\n\r\n'
        answer = await self.send(b'%b%b' % (request, invalid_bytes))
        self.assertTrue(answer.startswith(b'HTTP/1.1 200 OK'))
        self.assertNotIn(b'400', answer)
