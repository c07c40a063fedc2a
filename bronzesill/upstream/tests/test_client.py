"""Calls to one service whose connections close at awkward moments."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable

from ...utils import Address
from ..answer import AnswerError, RequestNotSent
from ..client import HttpCall, ServiceClient
from ..connection import UpstreamConnection

_ANSWER = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}'
_TIMEOUT_S = 2.0

Handler = Callable[
    [int, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]


async def _answer_once(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    await reader.readuntil(b'\r\n\r\n')
    writer.write(_ANSWER)


async def _close_on_second_call(
    number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    await _answer_once(reader, writer)
    await reader.readuntil(b'\r\n\r\n')
    if number == 1:
        writer.close()
        return
    writer.write(_ANSWER)


async def _send_without_end(
    number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    await reader.readuntil(b'\r\n\r\n')
    writer.write(b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n')
    piece = b'10000\r\n%b\r\n' % bytes(0x10000)
    while True:
        writer.write(piece)
        await writer.drain()


class ServiceClientTest(unittest.IsolatedAsyncioTestCase):
    """A call is repeated only if it cannot have taken effect twice."""

    async def asyncSetUp(self) -> None:
        self.connections = 0
        self.server: asyncio.Server | None = None
        self.client: ServiceClient | None = None

    async def asyncTearDown(self) -> None:
        if self.client is not None:
            self.client.close()
        if self.server is not None:
            self.server.close()

    async def connect(self, handler: Handler) -> ServiceClient:
        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            self.connections += 1
            try:
                await handler(self.connections, reader, writer)
                await reader.read()
            except (ConnectionError, asyncio.IncompleteReadError):
                return
            finally:
                writer.close()

        self.server = await asyncio.start_server(serve, '127.0.0.1', 0)
        port = self.server.sockets[0].getsockname()[1]
        self.client = ServiceClient(Address('127.0.0.1', port), 1.0)
        return self.client

    async def test_read_on_a_closed_connection_is_sent_again(self) -> None:
        client = await self.connect(_close_on_second_call)
        for _ in range(2):
            answer = await client.call(HttpCall('GET', '/'), _TIMEOUT_S)
            self.assertEqual(answer.body, b'{}')
        self.assertEqual(self.connections, 2)

    async def test_write_whose_answer_is_lost_is_not_sent_again(self) -> None:
        client = await self.connect(_close_on_second_call)
        await client.call(HttpCall('POST', '/', b'{}'), _TIMEOUT_S)
        with self.assertRaises(AnswerError):
            await client.call(HttpCall('POST', '/', b'{}'), _TIMEOUT_S)
        self.assertEqual(self.connections, 1)

    async def test_body_without_end_is_an_invalid_answer(self) -> None:
        client = await self.connect(_send_without_end)
        with self.assertRaises(AnswerError):
            await client.call(HttpCall('GET', '/'), _TIMEOUT_S)

    async def test_send_on_a_closing_connection_sent_nothing(self) -> None:
        await self.connect(_close_on_second_call)
        assert self.server is not None
        address = self.server.sockets[0].getsockname()
        loop = asyncio.get_running_loop()
        transport, connection = await loop.create_connection(
            UpstreamConnection, *address
        )
        transport.close()
        with self.assertRaises(RequestNotSent):
            await connection.send(b'GET / HTTP/1.1\r\n\r\n', is_head=False)


if __name__ == '__main__':
    unittest.main()
