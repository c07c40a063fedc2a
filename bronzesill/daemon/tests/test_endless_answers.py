"""Servers that send bytes without end, until their connection is closed."""

import asyncio
import contextlib
import ctypes
import unittest
from collections.abc import Awaitable
from pathlib import Path

from ...standins.hosted_fleet import HostedFleet, HostedPlan
from ...standins.worker import WorkerPlan, WorkerStandIn
from .hosted_caller import HostedAnswer, HostedCaller

#: A host may use 300 MB on the users' machines, some 50 MB without any answer.
_MAX_GROWTH_BYTES = 200 * 1024 * 1024
_PAGE_BYTES = 4096
_REQUESTS = 40
_CHUNK = b'y' * 65_536
_HTTP_OK = 200
_STATUS = b'HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Signature: s\r\n'
_NO_LENGTH = b'%bContent-Type: text/event-stream\r\n\r\n' % _STATUS
_EVENT = b'id: %%d\ndata: %b\n\n' % (b'z' * 1000)


def _resident_bytes() -> int:
    fields = Path('/proc/self/statm').read_text().split()
    return int(fields[1]) * _PAGE_BYTES


class _FaultyServer:
    """
    Server at a given address that answers every request without end.

    :param worker: stand-in whose address and registration it uses.
    :param beginning: bytes that it sends first; ``{id}`` stands for the id of
        the request.
    :param is_stream: whether events follow, and not a single line.
    """

    def __init__(
        self, worker: WorkerStandIn, beginning: bytes, *, is_stream: bool
    ) -> None:
        self._worker = worker
        self._beginning = beginning
        self._is_stream = is_stream
        self._server: asyncio.Server | None = None
        self._registration: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Take the place of the stand-in."""
        await self._worker.stop()
        address = self._worker.address
        self._server = await asyncio.start_server(
            self._serve, address.ip, address.port
        )
        self._registration = asyncio.create_task(
            self._worker.maintain_registration()
        )

    def stop(self) -> None:
        """Stop to listen and to register."""
        if self._server is not None:
            self._server.close()
        if self._registration is not None:
            self._registration.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b'\r\n\r\n')
            lines = head.lower().split(b'\r\n')
            ids = [line for line in lines if line.startswith(b'x-attempt-id:')]
            ident = ids[0].partition(b':')[2].strip() if ids else b'none'
            writer.write(self._beginning.replace(b'{id}', ident))
            number = 0
            while True:
                number += 1
                writer.write(self._part(number))
                await writer.drain()
        writer.transport.abort()

    def _part(self, number: int) -> bytes:
        if not self._is_stream:
            return _CHUNK
        first = 32 * number
        return b''.join(_EVENT % (first + each) for each in range(-31, 1))


class EndlessAnswerTest(unittest.IsolatedAsyncioTestCase):
    """A host outlives servers that never end their answers."""

    async def asyncSetUp(self) -> None:
        # Give back what earlier tests have freed, so that growth shows.
        ctypes.CDLL(None).malloc_trim(0)
        plan = HostedPlan(
            daemons=1,
            workers=(
                WorkerPlan('engine-a', 'engines', is_engine=True),
                WorkerPlan('shop-a', 'shop'),
            ),
        )
        self.fleet = await HostedFleet(plan).__aenter__()
        self.caller = HostedCaller()
        self.callers = self.fleet.daemons[0].settings.callers
        self.faulty: _FaultyServer | None = None
        self.peak_bytes = 0

    async def asyncTearDown(self) -> None:
        if self.faulty is not None:
            self.faulty.stop()
        await self.caller.close()
        await self.fleet.__aexit__()

    async def send_all(
        self, name: str, beginning: bytes, target: str, *, is_stream: bool
    ) -> list[HostedAnswer | BaseException]:
        """Send requests to a faulty server and watch the memory."""
        worker = self.fleet.workers_by_name[name]
        self.faulty = _FaultyServer(worker, beginning, is_stream=is_stream)
        await self.faulty.start()
        before = _resident_bytes()
        watch = asyncio.create_task(self.watch_memory())
        answers = await asyncio.gather(
            *(self.send(target) for _ in range(_REQUESTS)),
            return_exceptions=True,
        )
        watch.cancel()
        self.assertLess(self.peak_bytes - before, _MAX_GROWTH_BYTES)
        return answers

    def send(self, target: str) -> Awaitable[HostedAnswer]:
        method = 'GET' if target.startswith('/lookups') else 'POST'
        return self.caller.send_request(
            self.callers, target, method, X_Token_Usage='10,80'
        )

    async def watch_memory(self) -> None:
        while True:
            self.peak_bytes = max(self.peak_bytes, _resident_bytes())
            await asyncio.sleep(0.01)

    def check_none_whole(
        self, answers: list[HostedAnswer | BaseException]
    ) -> None:
        for answer in answers:
            if isinstance(answer, HostedAnswer):
                self.assertNotEqual(answer.status, _HTTP_OK)

    # Guards against a host that keeps endless bodies until it has no memory.
    async def test_body_without_end(self) -> None:
        answers = await self.send_all(
            'shop-a', _NO_LENGTH, '/orders/1', is_stream=False
        )
        self.check_none_whole(answers)

    async def test_repeatable_calls(self) -> None:
        answers = await self.send_all(
            'shop-a', _NO_LENGTH, '/lookups/1', is_stream=False
        )
        self.check_none_whole(answers)

    async def test_header_without_end(self) -> None:
        answers = await self.send_all(
            'shop-a', b'%bX-Long: ' % _STATUS, '/orders/1', is_stream=False
        )
        self.check_none_whole(answers)

    async def test_status_line_without_end(self) -> None:
        answers = await self.send_all(
            'shop-a', b'HTTP/1.1 200 ', '/orders/1', is_stream=False
        )
        self.check_none_whole(answers)

    async def test_chunk_extension_without_end(self) -> None:
        beginning = b'%bTransfer-Encoding: chunked\r\n\r\n5;' % _STATUS
        answers = await self.send_all(
            'shop-a', beginning, '/orders/1', is_stream=False
        )
        self.check_none_whole(answers)

    async def test_event_without_end(self) -> None:
        answers = await self.send_all(
            'engine-a', _NO_LENGTH, '/guides/1', is_stream=False
        )
        self.check_none_whole(answers)

    async def test_events_without_end(self) -> None:
        await self.send_all('engine-a', _NO_LENGTH, '/guides/1', is_stream=True)


if __name__ == '__main__':
    unittest.main()
