"""A server that closes on purpose, under callers that read slowly."""

import asyncio
import errno
import socket
import struct
import unittest
from typing import Any
from unittest import mock

from ..addresses import Address
from ..connections import LimitedConnection
from ..serving import HttpServer

_BODY_BYTES = 4 * 1024 * 1024
_SMALL_BUFFER_BYTES = 4096
_REQUEST = b'GET / HTTP/1.1\r\nHost: x\r\n\r\n'
_CHUNKED = b'POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n'
_CHUNK = b'3\r\nabc\r\n'
_ANSWER_S = 5.0
_IDLE_CONNECTIONS = 8
#: Value of the option with which a socket is reset as it is closed.
_RESET = struct.pack('ii', 1, 0)


async def _answer(scope: Any, receive: Any, send: Any) -> None:
    length = str(_BODY_BYTES).encode()
    await send(
        {
            'type': 'http.response.start',
            'status': 200,
            'headers': [(b'content-length', length)],
        }
    )
    await send({'type': 'http.response.body', 'body': b'x' * _BODY_BYTES})


class PlannedCloseTest(unittest.IsolatedAsyncioTestCase):
    """What was answered reaches its caller."""

    async def asyncSetUp(self) -> None:
        self.server = HttpServer(lambda: _answer, Address('127.0.0.1', 0))
        await self.server.start()

    async def asyncTearDown(self) -> None:
        await self.server.kill()

    async def connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        raw = socket.socket()
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _SMALL_BUFFER_BYTES)
        raw.setblocking(False)
        address = self.server.address
        loop = asyncio.get_running_loop()
        await loop.sock_connect(raw, (address.ip, address.port))
        return await asyncio.open_connection(
            sock=raw, limit=_SMALL_BUFFER_BYTES
        )

    # Guards against answers that end early, as the connection is aborted with
    # their last bytes still in its buffer.
    async def test_slow_reader_gets_the_whole_answer(self) -> None:
        reader, writer = await self.connect()
        writer.write(_REQUEST)
        head = await reader.readuntil(b'\r\n\r\n')
        self.assertIn(b' 200 ', head)
        reading = asyncio.create_task(reader.read(_BODY_BYTES))
        await reading
        closing = asyncio.create_task(self.server.close(flush_s=5))
        body = await reader.read(-1)
        await closing
        self.assertEqual(len(reading.result()) + len(body), _BODY_BYTES)
        writer.close()

    async def test_idle_connection_does_not_delay_the_close(self) -> None:
        _, writer = await self.connect()
        async with asyncio.timeout(1):
            await self.server.close(flush_s=5)
        writer.close()

    async def test_close_does_not_wait_for_a_caller_that_reads_nothing(
        self,
    ) -> None:
        _, writer = await self.connect()
        writer.write(_REQUEST)
        await asyncio.sleep(0.2)
        async with asyncio.timeout(1):
            await self.server.close(flush_s=0.2)
        writer.transport.abort()


class _Echo:
    """Answers each request with its body, after the caller has sent more."""

    def __init__(self) -> None:
        self.sends_more: socket.socket | None = None

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        body = b''
        event: dict[str, Any] = {'more_body': True}
        while event.get('more_body'):
            event = await receive()
            body += event.get('body', b'')
        if event['type'] != 'http.request':
            return
        if self.sends_more is not None:
            self.sends_more.sendall(_REQUEST)
        length = str(len(body)).encode()
        await send(
            {
                'type': 'http.response.start',
                'status': 200,
                'headers': [(b'content-length', length)],
            }
        )
        await send({'type': 'http.response.body', 'body': body})


class LastRequestTest(unittest.IsolatedAsyncioTestCase):
    """Requests that arrive while the server closes."""

    async def asyncSetUp(self) -> None:
        self.app = _Echo()
        self.server = HttpServer(lambda: self.app, Address('127.0.0.1', 0))
        await self.server.start()

    async def asyncTearDown(self) -> None:
        await self.server.kill()

    def connect(self) -> socket.socket:
        """Connect without a pass of the event loop."""
        address = self.server.address
        connected = socket.create_connection((address.ip, address.port))
        self.addCleanup(connected.close)
        return connected

    async def read_answer(self, connected: socket.socket) -> bytes:
        """Return all that is sent until the server closes the connection."""
        connected.setblocking(False)
        loop = asyncio.get_running_loop()
        answer = b''
        async with asyncio.timeout(_ANSWER_S):
            while chunk := await loop.sock_recv(connected, _BODY_BYTES):
                answer += chunk
        connected.close()
        return answer

    async def close_under(self, connected: socket.socket) -> bytes:
        reading = asyncio.create_task(self.read_answer(connected))
        closing = asyncio.create_task(self.server.close(flush_s=_ANSWER_S))
        answer = await reading
        await closing
        return answer

    # Guards against connections that are reset while they wait to be accepted.
    async def test_waiting_connection_gets_an_answer(self) -> None:
        connected = self.connect()
        connected.sendall(_REQUEST)
        answer = await self.close_under(connected)
        self.assertIn(b' 200 ', answer)
        self.assertIn(b'connection: close', answer)

    # Guards against requests on kept connections that are closed unread.
    async def test_request_that_was_not_read_gets_an_answer(self) -> None:
        connected = self.connect()
        connected.sendall(_REQUEST)
        await asyncio.sleep(0.2)
        self.assertIn(b' 200 ', connected.recv(_BODY_BYTES))
        connected.sendall(_REQUEST)
        answer = await self.close_under(connected)
        self.assertIn(b' 200 ', answer)
        self.assertIn(b'connection: close', answer)

    # Guards against answers that are reset by what the caller sends after
    # its request.
    async def test_pipelined_request_does_not_reset_the_answer(self) -> None:
        connected = self.connect()
        self.app.sends_more = connected
        connected.sendall(_REQUEST)
        answer = await self.close_under(connected)
        self.assertEqual(answer.count(b'HTTP/1.1 200'), 1)

    # Guards against connections that end without an answer while the caller
    # sends the body.
    async def test_request_without_its_end_is_refused(self) -> None:
        for begun in (b''.join((_CHUNKED, _CHUNK)), _CHUNKED[:-4]):
            with self.subTest(begun=begun):
                connected = self.connect()
                connected.sendall(begun)
                await asyncio.sleep(0.2)
                answer = await self.close_under(connected)
                self.assertIn(b' 503 ', answer)
                self.assertIn(b'Connection: close', answer)
            await self.asyncSetUp()

    # Guards against the loss of a request whose end comes with the close.
    async def test_last_chunk_that_was_not_read_completes_the_request(
        self,
    ) -> None:
        connected = self.connect()
        connected.sendall(b''.join((_CHUNKED, _CHUNK)))
        await asyncio.sleep(0.2)
        connected.sendall(b'0\r\n\r\n')
        answer = await self.close_under(connected)
        self.assertTrue(answer.endswith(b'\r\n\r\nabc'), answer)

    # Guards against answers that are cut as another caller resets its
    # connection while the server closes all of them.
    async def test_reset_connection_does_not_end_the_others(self) -> None:
        idle = [self.connect() for _ in range(_IDLE_CONNECTIONS)]
        waiting = self.connect()
        waiting.sendall(b''.join((_CHUNKED, _CHUNK)))
        await asyncio.sleep(0.2)
        end = LimitedConnection.end

        def reset_and_end(connection: LimitedConnection) -> None:
            # After the last pass of the loop that may have seen it.
            _reset_all(idle)
            end(connection)

        with mock.patch.object(LimitedConnection, 'end', reset_and_end):
            answer = await self.close_under(waiting)
        self.assertIn(b' 503 ', answer)

    # Guards against answers that are cut as a host that has too many files
    # open accepts no more connections.
    async def test_refused_copy_does_not_end_the_others(self) -> None:
        await self.check_refused('dup')

    async def test_refused_accept_does_not_end_the_others(self) -> None:
        await self.check_refused('accept')

    async def check_refused(self, call: str) -> None:
        waiting = self.connect()
        waiting.sendall(b''.join((_CHUNKED, _CHUNK)))
        await asyncio.sleep(0.2)
        refused = OSError(errno.EMFILE, 'too many open files')
        with mock.patch.object(socket.socket, call, side_effect=refused):
            answer = await self.close_under(waiting)
        self.assertIn(b' 503 ', answer)


def _reset_all(callers: list[socket.socket]) -> None:
    while callers:
        caller = callers.pop()
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        caller.close()


if __name__ == '__main__':
    unittest.main()
