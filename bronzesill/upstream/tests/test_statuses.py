"""Statuses that are no answer never reach a caller; no network is used."""

import asyncio
import unittest
from typing import cast
from unittest import mock

from ..answer import AnswerError, AnswerHead, InvalidAnswer
from ..connection import UpstreamConnection
from ..statuses import StatusKind, classify_status

_REQUEST = b'GET / HTTP/1.1\r\n\r\n'
_ANSWER = b'HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nxyz'
_EARLY_HINTS = b'HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n'


class ClassificationTest(unittest.TestCase):
    """Each status that the parser lets through has one meaning."""

    def test_all_statuses(self) -> None:
        expected = dict.fromkeys(range(1000), StatusKind.INVALID)
        expected |= dict.fromkeys(range(100, 200), StatusKind.INTERIM)
        expected |= dict.fromkeys(range(200, 600), StatusKind.ANSWER)
        expected[101] = StatusKind.INVALID
        self.assertEqual(
            {status: classify_status(status) for status in expected}, expected
        )


class InvalidStatusTest(unittest.IsolatedAsyncioTestCase):
    """An invalid head ends the connection with an error at once."""

    async def asyncSetUp(self) -> None:
        self.connection = UpstreamConnection()
        self.transport = mock.Mock(spec=asyncio.Transport)
        self.transport.is_closing.return_value = False
        self.transport.get_write_buffer_size.return_value = 0
        self.transport.get_extra_info.return_value = None
        self.connection.connection_made(cast(asyncio.Transport, self.transport))

    # Guards against a caller that gets nothing until its deadline.
    async def test_invalid_status_fails_at_once(self) -> None:
        for status in ('000', '001', '099', '101', '600', '999'):
            head = f'HTTP/1.1 {status} X\r\ncontent-length: 3\r\n\r\nabc'
            await self.assert_invalid(head.encode())
            await self.assert_invalid(f'HTTP/1.1 {status} X\r\n\r\n'.encode())

    # Guards against `abcxyz`, the bodies of two answers as one.
    async def test_body_of_an_invalid_answer_is_not_passed_on(self) -> None:
        for status in ('000', '099'):
            head = f'HTTP/1.1 {status} X\r\ncontent-length: 3\r\n\r\nabc'
            await self.assert_invalid(head.encode() + _ANSWER)

    # Guards against a body whose bytes are read as the next head.
    async def test_interim_head_with_a_body(self) -> None:
        for field in ('content-length: 3', 'transfer-encoding: chunked'):
            head = f'HTTP/1.1 100 Continue\r\n{field}\r\n\r\n'
            await self.assert_invalid(head.encode() + _ANSWER)

    # Guards against interim heads without end, each of which counts as life.
    async def test_interim_heads_without_end(self) -> None:
        await self.assert_invalid(_EARLY_HINTS * 17 + _ANSWER)

    async def test_some_interim_heads_are_dropped(self) -> None:
        head, body = await self.ask(_EARLY_HINTS * 16 + _ANSWER)
        self.assertEqual((head.status, body), (200, b'xyz'))
        self.assertIsNone(head.find(b'link'))

    # Guards against the body of an answer to HEAD, which the parser waits
    # for, in front of the next answer.
    async def test_connection_is_not_reused_after_head(self) -> None:
        asked = asyncio.create_task(
            self.connection.send(_REQUEST, is_head=True)
        )
        await asyncio.sleep(0)
        self.connection.data_received(_ANSWER[: -len(b'xyz')])
        await asked
        self.assertEqual(await self.connection.read(), b'')
        self.assertFalse(self.connection.is_reusable)

    async def test_reason_is_told(self) -> None:
        with self.assertRaises(AnswerError) as raised:
            await self.ask(b'HTTP/1.1 099 X\r\n\r\n')
        self.assertEqual(
            str(raised.exception), 'invalid HTTP response: status 99'
        )

    async def ask(self, received: bytes) -> tuple[AnswerHead, bytes]:
        """Return the answer without waiting for more bytes or a close."""
        asked = asyncio.create_task(self._read())
        await asyncio.sleep(0)
        self.connection.data_received(received)
        async with asyncio.timeout(1):
            return await asked

    async def assert_invalid(self, received: bytes) -> None:
        with self.subTest(received=received):
            await self.asyncSetUp()
            with self.assertRaises(InvalidAnswer):
                await self.ask(received)
            self.transport.abort.assert_called()
            self.assertFalse(self.connection.is_reusable)

    async def _read(self) -> tuple[AnswerHead, bytes]:
        head = await self.connection.send(_REQUEST, is_head=False)
        return head, await self.connection.read()


if __name__ == '__main__':
    unittest.main()
