"""
Servers that send bytes without end until the caller closes.

Pattern: a server in trouble sends heads, interim answers, chunk extensions or
trailers that never end, so that no timeout between bytes applies.
"""

import asyncio
import contextlib
import itertools
import unittest
from collections.abc import Iterator

from ...generations import EventSplitter
from ...utils import Address
from ..answer import AnswerError
from ..connectors import Target
from ..pool import ConnectionPool

_REQUEST = b'GET / HTTP/1.1\r\nhost: x\r\n\r\n'
_CHUNKED = b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
_PIECE_BYTES = 1024
#: Bytes that a connection may take in before it closes: the limit, and what
#: the sockets of both sides hold.
_MAX_TAKEN_BYTES = 16 * 1024 * 1024
_TIMEOUT_S = 5


def _repeat(begin: bytes, piece: bytes) -> Iterator[bytes]:
    return itertools.chain((begin,), itertools.repeat(piece))


def _floods() -> dict[str, Iterator[bytes]]:
    filler = b'a' * _PIECE_BYTES
    header = b'x-%b: 1\r\n' % filler
    return {
        'status line': _repeat(b'HTTP/1.1 200 ', filler),
        'headers': _repeat(b'HTTP/1.1 200 OK\r\n', header),
        'one header': _repeat(b'HTTP/1.1 200 OK\r\nx: ', filler),
        'interim answers': _repeat(b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
        'chunk extension': _repeat(b'%b5;a=' % _CHUNKED, filler),
        'trailers': _repeat(b'%b1\r\nx\r\n0\r\n' % _CHUNKED, header),
        'no HTTP': _repeat(b'', filler),
    }


class _Flood:
    """
    Server that sends the pieces of a flood to each caller.

    :param pieces: what it sends.
    """

    def __init__(self, pieces: Iterator[bytes]) -> None:
        self.sent_bytes = 0
        self._pieces = pieces

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        with contextlib.suppress(ConnectionError):
            for piece in self._pieces:
                writer.write(piece)
                await writer.drain()
                self.sent_bytes += len(piece)
        writer.close()


class FloodTest(unittest.IsolatedAsyncioTestCase):
    """The connection is closed after a bounded number of bytes."""

    async def test_floods_end_with_an_error(self) -> None:
        for name, pieces in _floods().items():
            with self.subTest(flood=name):
                await self.check_flood(_Flood(pieces))

    async def check_flood(self, flood: _Flood) -> None:
        server = await asyncio.start_server(flood.serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        with self.assertRaises(AnswerError):
            await asyncio.wait_for(
                self.read_answer(Address('127.0.0.1', port)), _TIMEOUT_S
            )
        server.close()
        self.assertLess(flood.sent_bytes, _MAX_TAKEN_BYTES)

    async def read_answer(self, address: Address) -> None:
        pool = ConnectionPool()
        lease = await pool.acquire(Target('s', address), max_idle_s=0)
        try:
            await lease.send(_REQUEST)
            while await lease.read():
                await asyncio.sleep(0)
        finally:
            lease.discard()

    async def test_small_chunks_are_no_flood(self) -> None:
        chunk = b'1\r\nx\r\n'
        pieces = itertools.chain(
            (_CHUNKED,), itertools.repeat(chunk, 50_000), (b'0\r\n\r\n',)
        )
        server = await asyncio.start_server(
            _Flood(pieces).serve, '127.0.0.1', 0
        )
        port = server.sockets[0].getsockname()[1]
        await self.read_answer(Address('127.0.0.1', port))
        server.close()

    def test_event_without_end_is_refused(self) -> None:
        splitter = EventSplitter()
        with self.assertRaises(ValueError):
            for _ in range(2_000):
                splitter.feed(b'x' * _PIECE_BYTES)


if __name__ == '__main__':
    unittest.main()
