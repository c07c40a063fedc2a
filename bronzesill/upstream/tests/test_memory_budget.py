"""The budget for uploads, answers and what callers have not read."""

import asyncio
import unittest
from typing import Any

from ...utils import Address
from ...utils.serving import HttpServer
from ..answer import AnswerError
from ..memory import AnswerMemory, MemoryUse

_BODY_BYTES = 8 * 1024 * 1024
_REQUEST = b'GET / HTTP/1.1\r\nHost: x\r\n\r\n'
_WAIT_S = 5.0


class _Keeper:
    """Owner of an answer, which notes when it is given up."""

    def __init__(self) -> None:
        self.is_given_up = False

    def fail(self, error: AnswerError) -> None:
        self.is_given_up = True


class BudgetTest(unittest.TestCase):
    """Uploads are refused before answers are dropped, the largest first."""

    def setUp(self) -> None:
        self.memory = AnswerMemory(1000)
        self.small = _Keeper()
        self.large = _Keeper()

    def test_size(self) -> None:
        self.assertEqual(AnswerMemory.from_limit(200).max_bytes, 60_000_000)
        self.assertEqual(
            AnswerMemory.from_limit(0).max_bytes, AnswerMemory().max_bytes
        )

    # Guards against uploads that leave no room for their answers.
    def test_uploads_get_half(self) -> None:
        self.assertTrue(self.memory.try_hold_upload(400))
        self.assertFalse(self.memory.try_hold_upload(101))
        self.memory.forget_upload(400)
        self.assertTrue(self.memory.try_hold_upload(101))

    # Guards against answers that are dropped for uploads that could wait.
    def test_uploads_are_refused_while_answers_fill_the_budget(self) -> None:
        self.memory.try_hold_upload(1)
        self.memory.grow(self.large, 950)
        self.assertFalse(self.memory.try_hold_upload(100))
        self.assertFalse(self.large.is_given_up)

    # Guards against a large upload that an idle host would always refuse.
    def test_only_upload(self) -> None:
        self.assertTrue(self.memory.try_hold_upload(400))
        self.assertTrue(self.memory.try_hold_upload(500, held=400))
        self.assertFalse(self.memory.try_hold_upload(50))

    # Guards against callers that read nothing until the host has no memory.
    def test_largest_unread_answer_is_dropped(self) -> None:
        self.memory.set_unread(self.large, 700)
        self.memory.set_unread(self.small, 200)
        self.memory.grow(_Keeper(), 300)
        self.assertTrue(self.large.is_given_up)
        self.assertFalse(self.small.is_given_up)
        self.assertEqual(self.memory.held_bytes, 500)

    def test_bytes_that_were_read_count_no_longer(self) -> None:
        self.memory.set_unread(self.large, 700)
        self.memory.set_unread(self.large, 0)
        self.memory.set_unread(self.large, 0)
        self.assertEqual(self.memory.held_bytes, 0)


async def _answer(scope: Any, receive: Any, send: Any) -> None:
    length = str(_BODY_BYTES).encode()
    await send(
        {
            'type': 'http.response.start',
            'status': 200,
            'headers': [(b'content-length', length)],
        }
    )
    await send({'type': 'http.response.body', 'body': bytes(_BODY_BYTES)})


class UnreadAnswerTest(unittest.IsolatedAsyncioTestCase):
    """What waits in the buffer of a caller's connection counts."""

    async def asyncSetUp(self) -> None:
        self.memory = AnswerMemory(_BODY_BYTES * 3)
        self.server = HttpServer(lambda: _answer, Address('127.0.0.1', 0))
        self.server.set_unread = self.memory.set_unread
        await self.server.start()

    async def asyncTearDown(self) -> None:
        await self.server.kill()

    async def request(self) -> asyncio.StreamReader:
        address = self.server.address
        reader, writer = await asyncio.open_connection(address.ip, address.port)
        self.addCleanup(writer.close)
        writer.write(_REQUEST)
        await reader.readuntil(b'\r\n\r\n')
        return reader

    async def test_unread_answer_counts_until_it_is_read(self) -> None:
        reader = await self.request()
        self.assertGreater(self.memory.held_for(MemoryUse.CALLERS), 0)
        async with asyncio.timeout(_WAIT_S):
            await reader.readexactly(_BODY_BYTES)
        self.assertEqual(self.memory.held_bytes, 0)

    # Guards against a caller that is told a part of an answer as the whole.
    async def test_dropped_answer_ends_short(self) -> None:
        reader = await self.request()
        self.memory.max_bytes = 1000
        self.memory.grow(_Keeper(), 900)
        with self.assertRaises((OSError, EOFError)):
            async with asyncio.timeout(_WAIT_S):
                await reader.readexactly(_BODY_BYTES)
        self.assertEqual(self.memory.held_bytes, 900)


if __name__ == '__main__':
    unittest.main()
