"""Answers that callers of the soak test read."""

import asyncio
import unittest

from ...utils import Address
from ..connection import CallerConnection


class CallerConnectionTest(unittest.IsolatedAsyncioTestCase):
    """Only answers of HTTP count as complete."""

    async def receive(self, status: str) -> bool:
        async def answer(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            head = f'HTTP/1.1 {status} X\r\ncontent-length: 3\r\n\r\nabc'
            writer.write(head.encode())
            await reader.read()
            writer.close()

        server = await asyncio.start_server(answer, '127.0.0.1', 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        connection = await CallerConnection.open(1, Address('127.0.0.1', port))
        self.addCleanup(connection.close)
        return (await connection.receive(1)).is_complete

    # Guards against a verdict that takes a host's 000 for an answer.
    async def test_invalid_status(self) -> None:
        self.assertTrue(await self.receive('200'))
        for status in ('000', '099', '600'):
            self.assertFalse(await self.receive(status), status)


if __name__ == '__main__':
    unittest.main()
