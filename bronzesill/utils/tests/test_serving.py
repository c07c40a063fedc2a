"""The HTTP server sends small answers at once."""

import asyncio
import time
import unittest
from collections.abc import AsyncIterator

import aiohttp
from falcon import asgi

from ..addresses import Address
from ..serving import HttpServer


class _TwoPieces:
    async def on_get(
        self, request: asgi.Request, response: asgi.Response
    ) -> None:
        response.stream = self.pieces()

    async def pieces(self) -> AsyncIterator[bytes]:
        yield b'one'
        await asyncio.sleep(0)
        yield b'two'


def _make_app() -> asgi.App:  # type: ignore[type-arg]
    app = asgi.App()
    app.add_route('/', _TwoPieces())
    return app


class DelayTest(unittest.IsolatedAsyncioTestCase):
    """Delayed acknowledgements do not hold up small pieces."""

    async def test_small_pieces_take_less_than_a_delayed_ack(self) -> None:
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
