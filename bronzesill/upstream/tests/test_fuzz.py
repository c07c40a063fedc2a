"""Connections to servers meet bytes of any kind; no network is used."""

import asyncio
import unittest
from typing import cast
from unittest import mock

from hypothesis import example, given
from hypothesis import strategies as st

from ...utils import Address
from ...utils.tests.odd_values import FUZZ_SETTINGS
from ..answer import AnswerError
from ..connection import UpstreamConnection
from ..connectors import Target
from ..pool import ConnectionLease, ConnectionPool

_PIECES = st.sampled_from(
    (
        b'HTTP/1.1 200 OK\r\n',
        b'HTTP/1.1 503 Busy\r\n',
        b'HTTP/1.1 100 Continue\r\n\r\n',
        b'HTTP/1.1 204 No Content\r\n',
        b'HTTP/9.9 999999 ?\r\n',
        b'content-length: 3\r\n',
        b'content-length: 99999999999999999999999\r\n',
        b'content-length: -1\r\n',
        b'transfer-encoding: chunked\r\n',
        b'connection: close\r\n',
        b'upgrade: x\r\nconnection: upgrade\r\n',
        b'keep-alive: timeout=99999999999999999999\r\n',
        b'\r\n',
        b'\r\n\r\n',
        b'abc',
        b'3\r\nabc\r\n',
        b'ffffffffffffffffffff\r\n',
        b'0\r\n\r\n',
        b'\x00\xff',
        b'x' * 100_000,
    )
)


class ConnectionFuzzTest(unittest.TestCase):
    """An answer is complete, or fails with its one error."""

    @FUZZ_SETTINGS
    @given(
        st.lists(st.one_of(_PIECES, st.binary(max_size=20)), max_size=8),
        st.booleans(),
    )
    @example(
        [
            b'HTTP/1.1 200 OK\r\nkeep-alive: timeout=%b\r\n' % (b'9' * 5000),
            b'content-length: 3\r\n\r\nabc',
        ],
        False,
    )
    def test_any_answer(self, pieces: list[bytes], has_reset: bool) -> None:
        asyncio.run(self.exchange(pieces, has_reset=has_reset))

    async def exchange(self, pieces: list[bytes], *, has_reset: bool) -> None:
        connection = UpstreamConnection()
        transport = mock.Mock(spec=asyncio.Transport)
        transport.is_closing.return_value = False
        transport.get_write_buffer_size.return_value = 0
        transport.get_extra_info.return_value = None
        connection.connection_made(cast(asyncio.Transport, transport))
        target = Target('s', Address('127.0.0.1', 1))
        lease = ConnectionLease(ConnectionPool(), target, connection)
        answer = asyncio.create_task(self.read(lease))
        await asyncio.sleep(0)
        for piece in pieces:
            connection.data_received(piece)
        error = ConnectionResetError() if has_reset else None
        connection.connection_lost(error)
        await answer
        lease.release()
        self.assertFalse(connection.is_reusable)

    async def read(self, lease: ConnectionLease) -> None:
        try:
            await lease.send(b'GET / HTTP/1.1\r\n\r\n')
            await lease.read_all(1_000_000)
        except AnswerError:
            return
