"""Streams whose direct path to the engine is cut in the middle."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from ...platform.headers import PlatformDialect
from ...upstream import ConnectionPool, ForwardRequest, PathCut, Reach
from ...utils import Address
from ..forward_client import ForwardStreamClient
from ..messages import TokensArrived
from ..request import GenerationRequest
from ..stream_client import StreamMessage, StreamOpening

_TIMEOUT_S = 3.0
_HEAD = (
    b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
    b'X-Attempt-Id: r-1\r\nTransfer-Encoding: chunked\r\n\r\n'
)
_EVENT = b'id: 1\ndata: a\n\n'


class SilentPathTest(unittest.IsolatedAsyncioTestCase):
    """A silent stream is given up as soon as its path is known to be cut."""

    async def asyncSetUp(self) -> None:
        self.head = _HEAD + b'%x\r\n%s\r\n' % (len(_EVENT), _EVENT)
        self.server = await asyncio.start_server(
            self.answer_in_part, '127.0.0.1', 0
        )
        self.address = Address(*self.server.sockets[0].getsockname())
        self.pool = ConnectionPool()
        self.client = ForwardStreamClient(
            self.pool, PlatformDialect(), mock.Mock()
        )

    async def asyncTearDown(self) -> None:
        self.pool.close()
        self.server.close()

    async def answer_in_part(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Send the beginning of an answer, then nothing any more."""
        await reader.readuntil(b'\r\n\r\n')
        writer.write(self.head)
        await reader.read()
        writer.close()

    async def read(self) -> list[StreamMessage]:
        loop = asyncio.get_running_loop()
        forward = ForwardRequest(
            'r-1', 'POST', b'/g', (), b'', '', loop.time() + 2 * _TIMEOUT_S
        )
        request = GenerationRequest(
            'r-1', 'g-1', '', 'engines', '', '', 0, 9, 9, forward=forward
        )
        opening = StreamOpening(request, 1, self.address, (), server='e-1')
        self.messages: list[StreamMessage] = []
        async with asyncio.timeout(_TIMEOUT_S):
            async for message in self.client.read(opening):
                self.messages.append(message)
        return self.messages

    # Guards against streams of a cut host that wait for their server until
    # their caller has left.
    async def test_silent_stream_on_cut_path_is_given_up(self) -> None:
        self.pool.connector = mock.Mock(
            wraps=self.pool.direct, is_known_cut=lambda target: True
        )
        with self.assertRaises(PathCut):
            await self.read()
        self.assertIn(
            TokensArrived(1, 0, ('id: 1\ndata: a\n\n',)), self.messages
        )

    # Guards against prompts that are read twice: a connection may live on
    # while new ones fail, and says nothing until the answer begins.
    async def test_stream_that_has_not_begun_is_not_given_up(self) -> None:
        self.pool.connector = mock.Mock(
            wraps=self.pool.direct, is_known_cut=lambda target: True
        )
        self.head = b''
        with self.assertRaises(TimeoutError):
            await self.read()

    async def test_silent_stream_on_open_path_is_not_given_up(self) -> None:
        with self.assertRaises(TimeoutError):
            await self.read()

    async def test_direct_connections_know_of_no_cut(self) -> None:
        target = mock.Mock(address=self.address)
        self.assertFalse(self.pool.direct.is_known_cut(target))
        self.assertIs(await self.pool.direct.check(target), Reach.DIRECT)


if __name__ == '__main__':
    unittest.main()
