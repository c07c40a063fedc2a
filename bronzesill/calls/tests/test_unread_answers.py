"""Answers that this host did not read in time, or dropped."""

import asyncio
import unittest
from typing import cast
from unittest import mock

from ...generations.attempt import _loss_cause
from ...generations.messages import CancelAttempt, LossCause
from ...upstream import (
    AnswerError,
    AnswerMemory,
    AnswerUnread,
    ConnectionLost,
    UpstreamConnection,
)
from ...utils import BronzesillError, ResultCode
from ..servers import CallEnd

_HEAD = b'HTTP/1.1 200 OK\r\ncontent-length: 1000000\r\n\r\n'
_PART = bytes(300_000)


class UnreadAnswerTest(unittest.IsolatedAsyncioTestCase):
    """Their servers are not suspected, and the version does not fail."""

    async def lose(self, unread_s: float) -> AnswerError:
        """Return the error of an answer that was not read for a time."""
        transport = mock.Mock(spec=asyncio.Transport)
        transport.is_closing.return_value = False
        transport.get_write_buffer_size.return_value = 0
        transport.get_extra_info.return_value = None
        connection = UpstreamConnection()
        connection.connection_made(cast(asyncio.Transport, transport))
        head = asyncio.create_task(connection.send(b'', is_head=False))
        await asyncio.sleep(0)
        connection.data_received(_HEAD + _PART)
        await head
        transport.pause_reading.assert_called_once()
        await asyncio.sleep(unread_s)
        await connection.read()
        connection.connection_lost(ConnectionResetError())
        with self.assertRaises(AnswerError) as raised:
            await connection.read()
        return raised.exception

    def assert_not_blamed(self, error: AnswerError) -> None:
        """Check that an error is not counted against the server."""
        outcome = BronzesillError(ResultCode.CALL_OUTCOME_UNKNOWN, '')
        outcome.__cause__ = error
        self.assertIs(CallEnd.from_outcome(outcome), CallEnd.GIVEN_UP)
        cause = _loss_cause(error)
        self.assertIs(cause, LossCause.UNREAD)
        self.assertFalse(CancelAttempt(1, 's', cause).blames_server)

    # Guards against sound servers that are suspected for slow readers.
    @mock.patch('bronzesill.upstream.pending_answer._UNREAD_S', 0.05)
    async def test_server_is_not_blamed(self) -> None:
        error = await self.lose(unread_s=0.1)
        self.assertIsInstance(error, AnswerUnread)
        self.assert_not_blamed(error)

    # Guards against sound servers that are suspected, and versions that fail,
    # while this host is short of memory.
    async def test_server_of_dropped_answer_is_not_blamed(self) -> None:
        with self.assertRaises(AnswerError) as raised:
            AnswerMemory(len(_PART) - 1).grow(mock.Mock(), len(_PART))
        self.assert_not_blamed(raised.exception)

    async def test_other_losses_blame_the_server(self) -> None:
        error = await self.lose(unread_s=0)
        self.assertIsInstance(error, ConnectionLost)
        cause = _loss_cause(error)
        self.assertTrue(CancelAttempt(1, 's', cause).blames_server)


if __name__ == '__main__':
    unittest.main()
