"""
A server writes an earlier refusal once more on a kept connection.

Pattern: a first request is refused; the refusal is written again before, with
or just after the next request on that connection, which the server runs.
"""

import asyncio
import unittest
from collections.abc import Sequence
from typing import Any, cast

from ...config import Route
from ...generations.forward_client import ForwardStreamClient
from ...generations.request import GenerationRequest
from ...generations.stream_client import AttemptRefused, StreamOpening
from ...platform.headers import PlatformDialect
from ...upstream import (
    AnswerError,
    CallerFields,
    ConnectionPool,
    ForwardRequest,
    Header,
)
from ...utils import Address, BronzesillError, ResultCode
from ..at_most_once import AtMostOnceCalls
from ..forward_sender import ForwardSender
from ..idempotent import IdempotentCalls
from ..interfaces import CallRequest, RoutedCall
from ..servers import ServiceServers

_LINGER_S = 0.02
_FIRST = 'first'
_SECOND = 'second'
_BODY = b'id: 1\ndata: x\n\n'


def _refusal(request_id: str) -> bytes:
    echoed = f'X-Attempt-Id: {request_id}\r\n' if request_id else ''
    head = (
        'HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\n'
        f'{echoed}Content-Length: 4\r\n\r\nfull'
    )
    return head.encode()


def _with_two_ids() -> bytes:
    added = f'X-Attempt-Id: {_FIRST}\r\nContent-Length'.encode()
    return _refusal(_SECOND).replace(b'Content-Length', added)


def _answer(request_id: str) -> bytes:
    head = (
        f'HTTP/1.1 200 OK\r\nX-Attempt-Id: {request_id}\r\n'
        f'Content-Length: {len(_BODY)}\r\n\r\n'
    )
    return head.encode() + _BODY


class _Servers:
    """Servers of one service, in a fixed order."""

    def __init__(self, addresses: dict[str, Address]) -> None:
        self._addresses = addresses

    async def prepare(self, routed: RoutedCall) -> None:
        """Learn nothing."""

    def order(self, routed: RoutedCall) -> tuple[str, ...]:
        return tuple(self._addresses)

    def address(self, name: str) -> Address:
        return self._addresses[name]

    def may_retry(self, routed: RoutedCall, losses: int) -> bool:
        return True

    def expected_ratio(self, name: str) -> float:
        return 1

    def call_started(self, name: str) -> None:
        """Count nothing."""

    def call_ended(self, *_: object) -> None:
        """Count nothing."""

    def note_unreachable(self, name: str) -> None:
        """Count nothing."""


class StaleRefusalTest(unittest.IsolatedAsyncioTestCase):
    """A refusal is believed only if it echoes the id of this request."""

    async def asyncSetUp(self) -> None:
        self.pool = ConnectionPool()
        self.runs: list[str] = []
        self.is_idempotent = False
        self.listeners: list[asyncio.Server] = []

    async def asyncTearDown(self) -> None:
        self.pool.close()
        for listener in self.listeners:
            listener.close()

    async def listen(
        self, idle: Sequence[bytes], busy: Sequence[bytes]
    ) -> Address:
        """
        Start a server that refuses the first request and runs the others.

        :param idle: segments written after the refusal.
        :param busy: segments written once the next request has arrived.
        """

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            before: Sequence[bytes] = ()
            while True:
                request_id = await self.read_id(reader)
                if request_id == _FIRST:
                    await self.write(writer, (_refusal(_FIRST), *idle))
                    before = busy
                else:
                    await self.run_request(writer, request_id, before)
                    before = ()

        listener = await asyncio.start_server(
            self.ignoring_ends(serve), '127.0.0.1', 0
        )
        self.listeners.append(listener)
        return Address('127.0.0.1', listener.sockets[0].getsockname()[1])

    def ignoring_ends(self, serve: Any) -> Any:
        async def guarded(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            try:
                await serve(reader, writer)
            except (OSError, EOFError):
                writer.close()

        return guarded

    async def read_id(self, reader: asyncio.StreamReader) -> str:
        head = await reader.readuntil(b'\r\n\r\n')
        lines = head.decode().split('\r\n')
        fields = dict(line.split(': ', 1) for line in lines if ': ' in line)
        return fields['x-attempt-id']

    async def run_request(
        self,
        writer: asyncio.StreamWriter,
        request_id: str,
        before: Sequence[bytes],
    ) -> None:
        self.runs.append(request_id)
        await self.write(writer, (*before, _answer(request_id)))

    async def write(
        self, writer: asyncio.StreamWriter, segments: Sequence[bytes]
    ) -> None:
        for segment in segments:
            writer.write(segment)
            await writer.drain()
            await asyncio.sleep(_LINGER_S / 4)

    async def cases(self) -> list[tuple[str, Address]]:
        old = _refusal(_FIRST)
        cut = old[: old.index(b'1\r\nX-Attempt')]
        halves = (old[:20], old[20:])
        return [
            ('idle', await self.listen((old,), ())),
            ('idle, no id', await self.listen((_refusal(''),), ())),
            ('idle, beginning only', await self.listen((halves[0],), ())),
            ('busy', await self.listen((), (old,))),
            ('busy, no id', await self.listen((), (_refusal(''),))),
            ('busy, in parts', await self.listen((), halves)),
            ('busy, twice', await self.listen((), (old, old))),
            ('parts', await self.listen(halves[:1], halves[1:])),
            ('cut within a line', await self.listen((), (cut,))),
            ('cut within its status', await self.listen((), (old[:15],))),
            ('cut after a line', await self.listen((), (old[:19],))),
            ('two ids', await self.listen((), (_with_two_ids(),))),
        ]

    def routed(self, request_id: str) -> RoutedCall:
        now_s = asyncio.get_running_loop().time()
        headers = (Header(b'x-attempt-id', request_id.encode()),)
        forward = ForwardRequest(
            request_id,
            'GET',
            b'/',
            headers,
            b'',
            '',
            now_s + 2,
            CallerFields(request_id=request_id),
        )
        return RoutedCall(
            CallRequest('GET', '/', {}, b''),
            'r',
            Route(path='/', service='s', idempotent=self.is_idempotent),
            '',
            request_id,
            '',
            now_s + 2,
            forward,
        )

    def make_sender(self, addresses: dict[str, Address]) -> ForwardSender:
        return ForwardSender(
            self.pool,
            PlatformDialect(),
            cast(ServiceServers, _Servers(addresses)),
            lambda *_: None,
        )

    async def refuse_first(self, address: Address) -> None:
        """Have a first request refused, so that its connection is kept."""
        self.runs.clear()
        sender = self.make_sender({'a': address})
        with self.assertRaises(BronzesillError) as caught:
            await sender.send('a', self.routed(_FIRST))
        self.assertIs(caught.exception.code, ResultCode.CALL_NOT_RUN)

    # Guards against "not run, try again" for a call that a server has run, and
    # against a second run of it at another server.
    async def test_call_at_most_once(self) -> None:
        other = await self.listen((), ())
        for name, address in await self.cases():
            for pause_s in (0, _LINGER_S):
                with self.subTest(name, pause_s=pause_s):
                    await self.refuse_first(address)
                    await asyncio.sleep(pause_s)
                    await self.call_once({'a': address, 'b': other})

    async def call_once(self, addresses: dict[str, Address]) -> None:
        sender = self.make_sender(addresses)
        servers = cast(ServiceServers, _Servers(addresses))
        calls = AtMostOnceCalls(sender, servers)
        try:
            answer = await calls.run(self.routed(_SECOND))
        except BronzesillError as error:
            self.assertIs(error.code, ResultCode.CALL_OUTCOME_UNKNOWN)
        else:
            self.assertEqual((answer.status, answer.body), (200, _BODY))
        await asyncio.sleep(_LINGER_S)
        self.assertLessEqual(self.runs.count(_SECOND), 1)

    # Guards against a status that promises "not run" for a call of which its
    # server did not say so, and against an answer that is not its own bytes.
    async def test_answer_that_cannot_be_passed_on(self) -> None:
        added = b'Content-Length'
        encoded = b'Content-Encoding: gzip\r\nContent-Length'
        unstated = _refusal(_SECOND).replace(b'X-Not-Executed: 1\r\n', b'')
        for answer in (
            unstated,
            unstated.replace(b'503 Busy', b'429 Busy'),
            unstated.replace(b'503 Busy', b'408 Late'),
            _answer(_SECOND).replace(added, encoded),
        ):
            with self.subTest(answer):
                address = await self.listen((), (answer,))
                await self.refuse_first(address)
                with self.assertRaises(BronzesillError) as caught:
                    await self.make_sender({'a': address}).send(
                        'a', self.routed(_SECOND)
                    )
                code = caught.exception.code
                self.assertIs(code, ResultCode.CALL_OUTCOME_UNKNOWN)

    # Guards against an earlier refusal as the answer to a call that may be
    # repeated.
    async def test_call_that_may_be_repeated(self) -> None:
        other = await self.listen((), ())
        self.is_idempotent = True
        for name, address in await self.cases():
            with self.subTest(name):
                await self.refuse_first(address)
                addresses = {'a': address, 'b': other}
                servers = cast(ServiceServers, _Servers(addresses))
                calls = IdempotentCalls(self.make_sender(addresses), servers)
                answer = await calls.run(self.routed(_SECOND))
                self.assertEqual((answer.status, answer.body), (200, _BODY))

    # Guards against a stream that counts as refused, though its server runs.
    async def test_stream(self) -> None:
        for name, address in await self.cases():
            with self.subTest(name):
                await self.refuse_first(address)
                await self.assert_stream_not_refused(address)

    async def assert_stream_not_refused(self, address: Address) -> None:
        client = ForwardStreamClient(
            self.pool, PlatformDialect(), lambda *_: None
        )
        forward = self.routed(_SECOND).forward
        request = GenerationRequest(
            _SECOND, _SECOND, '', 'm', '', '', 0, 10, 5, forward=forward
        )
        opening = StreamOpening(request, 1, address, (), server='a')
        try:
            messages = [message async for message in client.read(opening)]
            self.assertEqual(len(messages), 3)
        except AttemptRefused as error:
            self.assertEqual(self.runs, [], str(error))
        except AnswerError:
            return
