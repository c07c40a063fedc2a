"""Servers that stop in the middle of the head of an answer."""

import asyncio
import socket
import struct
import unittest

from ...utils import Address
from ..answer import AnswerError
from ..connectors import Target
from ..pool import ConnectionPool

_REQUEST = b'GET / HTTP/1.1\r\nhost: x\r\n\r\n'
_HEADS = (
    b'HTTP/1.1 200 OK\r\ncontent-length: 30\r\nx-part: y\r\n\r\n',
    b'HTTP/1.1 200 OK\r\nx-part: y\r\n\r\n',
    b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n',
    b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nx: y\r\n\r\n',
)
#: Option that makes a socket send a reset when it is closed.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class CutHeadTest(unittest.IsolatedAsyncioTestCase):
    """A head that ends early is no answer, wherever and however it ends."""

    async def asyncSetUp(self) -> None:
        self.pool = ConnectionPool()
        self.sent = b''
        self.is_reset = False
        self.server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        port = self.server.sockets[0].getsockname()[1]
        self.target = Target('s', Address('127.0.0.1', port))

    async def asyncTearDown(self) -> None:
        self.pool.close()
        self.server.close()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(self.sent)
        await writer.drain()
        if self.is_reset:
            # Let the bytes arrive, which a reset would discard.
            await asyncio.sleep(0.001)
            connection = writer.get_extra_info('socket')
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )
        writer.close()

    # Guards against a 200 with an empty body that is framed as whole.
    async def test_no_cut_gives_a_head(self) -> None:
        for head in _HEADS:
            for length, _ in enumerate(head):
                await self.check(head[:length], is_reset=False)
                await self.check(head[:length], is_reset=True)

    async def check(self, sent: bytes, *, is_reset: bool) -> None:
        self.sent = sent
        self.is_reset = is_reset
        lease = await self.pool.acquire_direct(self.target)
        with (
            self.subTest(sent=sent, is_reset=is_reset),
            self.assertRaises(AnswerError),
        ):
            await lease.send(_REQUEST)
        lease.discard()


if __name__ == '__main__':
    unittest.main()
