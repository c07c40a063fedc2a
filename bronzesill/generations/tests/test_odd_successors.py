"""
A stream broke off, and the next server answers with something else.

Pattern: two events have been accepted; the answer that is to go on after them
is an error, no event stream, or one that does not go on there.
"""

import asyncio
import unittest

import aiohttp

from ...platform.headers import PlatformDialect
from ...upstream import (
    CallerFields,
    ConnectionPool,
    ForwardRequest,
)
from ...utils import Address
from ..engine_client import EngineClient
from ..forward_client import ForwardStreamClient
from ..messages import EndArrived, TokensArrived
from ..request import GenerationRequest
from ..stream_client import (
    AttemptRefused,
    StreamClient,
    StreamMessage,
    StreamOpening,
)

_ACCEPTED = ('id: 1\ndata: a\n\n', 'id: 2\ndata: b\n\n')
_REST = b'id: 3\ndata: c\n\n'
_STREAM = b'Content-Type: text/event-stream\r\n'
_JSON = b'Content-Type: application/json\r\n'
_HEAD = b'HTTP/1.1 200 OK\r\nX-Attempt-Id: r\r\n'


def _sized(status: bytes, fields: bytes, body: bytes) -> bytes:
    return (
        b'HTTP/1.1 %b\r\nX-Attempt-Id: r\r\n%bContent-Length: %d\r\n\r\n%b'
        % (
            status,
            fields,
            len(body),
            body,
        )
    )


def _chunked(body: bytes) -> bytes:
    framing = b'Transfer-Encoding: chunked\r\n\r\n'
    chunk = b'%x\r\n%b\r\n' % (len(body), body) if body else b''
    return b'%b%b%b%b0\r\n\r\n' % (_HEAD, _STREAM, framing, chunk)


_ODD_ANSWERS = {
    '500': _sized(b'500 Error', b'', b'failed\n\n'),
    '503': _sized(b'503 Busy', b'X-Not-Executed: 1\r\n', b'full\n\n'),
    '503 that may have run': _sized(b'503 Busy', b'', b'full\n\n'),
    'json': _sized(b'200 OK', _JSON, b'{"error":\n\n"x"}\n\n'),
    'json named a stream': _sized(b'200 OK', _STREAM, b'{"error":"x"}\n\n'),
    'json without a type': _sized(b'200 OK', b'', b'{"error":"x"}\n\n'),
    'other type': _sized(b'200 OK', b'Content-Type: text/html\r\n', _REST),
    'empty': _sized(b'200 OK', _STREAM, b''),
    'empty, no type': _sized(b'200 OK', b'', b''),
    'empty, no length': b'%b%b\r\n' % (_HEAD, _STREAM),
    'anew': _chunked(b'%b%b' % (''.join(_ACCEPTED).encode(), _REST)),
    'repeated': _chunked(b'%b%b' % (_REST, _REST)),
    'without ids': _chunked(b'data: c\n\ndata: d\n\n'),
    'head in the body': _chunked(b'HTTP/1.1 500 x\r\nA: b\r\n\r\n%b' % _REST),
    'line of a head': _chunked(b'HTTP/1.1 500 x\r\n%b' % _REST),
    'two ids in an event': _chunked(b'id: 3\ndata: cid: 4\nid: 4\n\n'),
    'encoded': _sized(b'200 OK', b'Content-Encoding: gzip\r\n', _REST),
}


class _Case(unittest.IsolatedAsyncioTestCase):
    """Reads one answer that is to go on after the accepted events."""

    async def read(
        self, client: StreamClient, answer: bytes, events_received: int = 0
    ) -> list[StreamMessage]:
        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(answer)
            await writer.drain()
            writer.close()

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        caller = CallerFields(request_id='r', events_received=events_received)
        deadline_at_s = asyncio.get_running_loop().time() + 5
        forward = ForwardRequest(
            'r', 'POST', b'/', (), b'', '', deadline_at_s, caller
        )
        request = GenerationRequest(
            'r', 'r', '', 'm', '', '', 0, 10, 5, forward=forward
        )
        opening = StreamOpening(
            request,
            2,
            Address('127.0.0.1', port),
            () if events_received else _ACCEPTED,
            server='e',
        )
        received: list[StreamMessage] = []
        try:
            async for message in client.read(opening):
                received.append(message)
        except (AttemptRefused, OSError, ValueError):
            return received
        finally:
            server.close()
        return received

    def assert_only_rest(self, received: list[StreamMessage]) -> None:
        """Only events that go on are given out, and no end."""
        for message in received:
            self.assertNotIsInstance(message, EndArrived)
            if isinstance(message, TokensArrived):
                self.assertEqual(message.offset, 2)
                self.assertEqual(message.tokens, (_REST.decode(),))


class ForwardedTest(_Case):
    """Streams of requests that are forwarded unchanged."""

    async def asyncSetUp(self) -> None:
        self.pool = ConnectionPool()
        self.client = ForwardStreamClient(
            self.pool, PlatformDialect(), lambda *_: None
        )

    async def asyncTearDown(self) -> None:
        self.pool.close()

    # Guards against the text of an error in the middle of a stream, and
    # against streams that end as if they were complete.
    async def test_odd_answer_is_a_loss(self) -> None:
        for name, answer in _ODD_ANSWERS.items():
            with self.subTest(name):
                self.assert_only_rest(await self.read(self.client, answer))

    # Guards against events of a run that began anew for a caller who has the
    # first ones.
    async def test_run_that_begins_anew_for_a_caller(self) -> None:
        received = await self.read(self.client, _ODD_ANSWERS['anew'], 2)
        tokens = [got for got in received if isinstance(got, TokensArrived)]
        self.assertEqual(tokens, [])

    async def test_sound_answer_goes_on(self) -> None:
        received = await self.read(self.client, _chunked(_REST))
        self.assertEqual(
            received[1:],
            [TokensArrived(2, 2, (_REST.decode(),)), EndArrived(2, 3, 'end')],
        )

    # The run before may have broken off between its last event and its end.
    async def test_stream_without_further_events_is_complete(self) -> None:
        received = await self.read(self.client, _chunked(b''))
        self.assertEqual(received[1:], [EndArrived(2, 2, 'end')])

    async def test_version_before_an_event_is_part_of_it(self) -> None:
        event = b'x-weight-versions: 4\n%b' % _REST
        received = await self.read(self.client, _chunked(event))
        self.assertEqual(received[1], TokensArrived(2, 2, (event.decode(),)))


_DONE = (
    b'data: {"offset":3,"choices":[{"text":"","finish_reason":"stop"}],'
    b'"usage":{"completion_tokens":3}}\n\n'
)


class EngineTest(_Case):
    """Streams of engines on the native interface."""

    async def asyncSetUp(self) -> None:
        self.session = aiohttp.ClientSession()
        self.client = EngineClient(self.session)

    async def asyncTearDown(self) -> None:
        await self.session.close()

    # Guards against generations that hang because the reader of their stream
    # ended with an exception of its own.
    async def test_odd_answer_is_a_loss(self) -> None:
        bodies = {
            'list': b'data: []\n\n',
            'number': b'data: 1\n\n',
            'no choices': b'data: {"error":"x"}\n\n',
            'empty choices': b'data: {"choices":[]}\n\n',
            'offset as text': _DONE.replace(b'"stop"', b'null').replace(
                b'3,', b'"3",', 1
            ),
            'total as text': _DONE.replace(b':3}}', b':"3"}}'),
            'no total': _DONE.replace(b'completion_tokens', b'other'),
            'text as number': (
                b'data: {"offset":2,"choices":'
                b'[{"text":5,"finish_reason":null}]}\n\n'
            ),
        }
        answers = {name: _chunked(body) for name, body in bodies.items()}
        for name, answer in {**_ODD_ANSWERS, **answers}.items():
            with self.subTest(name):
                self.assertEqual(await self.read(self.client, answer), [])

    async def test_end_is_read(self) -> None:
        received = await self.read(self.client, _chunked(_DONE))
        self.assertEqual(received, [EndArrived(2, 3, 'stop')])
