"""
Streams whose answers have neither a length nor chunks.

Pattern: an engine sends the head of such an answer and ends, with or without
a whole event; only the end of the connection tells the end of the answer.
"""

import asyncio
import unittest

from ...platform.headers import PlatformDialect
from ...upstream import (
    AnswerError,
    AnswerMemory,
    CallerFields,
    ConnectionLost,
    ConnectionPool,
    ForwardRequest,
)
from ...utils import Address
from ..forward_client import ForwardStreamClient
from ..messages import EndArrived, TokensArrived
from ..request import GenerationRequest
from ..stream_client import StreamMessage, StreamOpening

_HEAD = b'HTTP/1.1 200 OK\r\nX-Attempt-Id: r\r\n\r\n'
_EVENT = b'id: 1\ndata: x\n\n'
_MAX_KEPT_BYTES = 10_000


class CloseDelimitedTest(unittest.IsolatedAsyncioTestCase):
    """The end of a connection ends an answer only after whole events."""

    async def read(
        self, body: bytes, events_received: int = 0
    ) -> list[StreamMessage]:
        async def answer(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(_HEAD + body)
            await writer.drain()
            writer.close()

        server = await asyncio.start_server(answer, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        pool = ConnectionPool()
        pool.memory = AnswerMemory(_MAX_KEPT_BYTES)
        client = ForwardStreamClient(pool, PlatformDialect(), lambda *_: None)
        caller = CallerFields(request_id='r', events_received=events_received)
        deadline_at_s = asyncio.get_running_loop().time() + 5
        forward = ForwardRequest(
            'r', 'POST', b'/', (), b'', '', deadline_at_s, caller
        )
        request = GenerationRequest(
            'r', 'r', '', 'm', '', '', 0, 10, 5, forward=forward
        )
        opening = StreamOpening(
            request, 1, Address('127.0.0.1', port), (), server='e'
        )
        try:
            return [message async for message in client.read(opening)]
        finally:
            pool.close()
            server.close()

    async def test_whole_events_are_complete(self) -> None:
        messages = await self.read(_EVENT)
        self.assertIsInstance(messages[1], TokensArrived)
        self.assertEqual(messages[2], EndArrived(1, 1, 'end'))

    async def test_end_inside_an_event_is_a_loss(self) -> None:
        with self.assertRaises(AnswerError):
            await self.read(b'%bid: 2\nda' % _EVENT)

    # Guards against engines that send parts of events which nothing counts.
    async def test_part_of_an_event_counts_as_kept(self) -> None:
        part = b'data: %b' % (b'x' * 2 * _MAX_KEPT_BYTES)
        with self.assertRaisesRegex(AnswerError, 'too large to be kept'):
            await self.read(part)

    # Guards against an engine that crashed before its first event being taken
    # for one that answered with nothing.
    async def test_end_before_the_first_event_is_a_loss(self) -> None:
        with self.assertRaises(ConnectionLost):
            await self.read(b'')

    async def test_resumed_after_the_last_event(self) -> None:
        messages = await self.read(b'', events_received=4)
        self.assertIsInstance(messages[-1], EndArrived)
