"""Servers that answer, and end, before they have read the request."""

import asyncio
import unittest

from ..answer import AnswerError
from ..connectors import Target
from ..pool import ConnectionPool
from .unread_uploads import HastyServer, make_upload

_OPEN_ANSWER = b'HTTP/1.1 200 OK\r\n\r\npart'
_MAX_BYTES = 1000
_SMALL = 10
_LARGE = 100_000
_HUGE = 20_000_000


class UnreadUploadTest(unittest.IsolatedAsyncioTestCase):
    """The caller gets no part of an answer as a complete one."""

    async def asyncSetUp(self) -> None:
        self.server = HastyServer(_OPEN_ANSWER)
        self.pool = ConnectionPool(1)

    async def asyncTearDown(self) -> None:
        self.pool.close()
        await self.server.stop()

    async def fetch(self, size: int) -> bytes:
        self.target = Target('s', await self.server.start())
        lease = await self.pool.acquire(self.target, max_idle_s=4)
        try:
            async with asyncio.timeout(2):
                await lease.send(make_upload(size))
                return await lease.read_all(_MAX_BYTES)
        finally:
            lease.release()

    async def assert_lost(self, size: int) -> None:
        with self.assertRaises(AnswerError):
            await self.fetch(size)

    async def test_reset_during_an_upload(self) -> None:
        self.server.ends_first = False
        await self.assert_lost(_HUGE)

    async def test_end_during_an_upload(self) -> None:
        await self.assert_lost(_HUGE)

    # Guards against a part of an answer to an upload that the system of the
    # server took and its program never read.
    async def test_end_after_an_upload_that_was_not_read(self) -> None:
        await self.assert_lost(_LARGE)

    async def test_end_after_an_acknowledged_upload(self) -> None:
        self.server.receive_buffer = _LARGE * 4
        self.server.reset_delay_s = 1
        await self.assert_lost(_LARGE)

    # Guards against a reset that comes just after the end of an answer.
    async def test_late_answer_to_an_upload_that_was_not_read(self) -> None:
        self.server.receive_buffer = _LARGE * 4
        self.server.answer_delay_s = 0.05
        await self.assert_lost(_LARGE)

    # Guards against the next request behind the rest of an upload.
    async def test_early_answer_with_a_length(self) -> None:
        self.server.answer = b'HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\npart'
        self.server.reset_delay_s = 0.1
        self.server.ends_first = False
        self.assertEqual(await self.fetch(_HUGE), b'part')
        lease = await self.pool.acquire(self.target, max_idle_s=4)
        self.assertFalse(lease.is_reused)
        lease.discard()

    async def test_sound_servers_without_length(self) -> None:
        self.server.has_read = True
        self.assertEqual(await self.fetch(_SMALL), b'part')

    async def test_sound_server_after_an_upload(self) -> None:
        self.server.has_read = True
        self.server.answer_delay_s = 0.05
        self.assertEqual(await self.fetch(_LARGE), b'part')


if __name__ == '__main__':
    unittest.main()
