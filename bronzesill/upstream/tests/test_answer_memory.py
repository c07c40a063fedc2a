"""
Bytes of answers that a host counts as kept, and when it counts no longer.

Pattern: health checks read short answers and close the connection, for weeks.
"""

import asyncio
import unittest

from ...utils import Address
from ..answer import AnswerError
from ..connectors import Target
from ..memory import AnswerMemory
from ..open_bytes import OpenBytes
from ..pool import ConnectionPool

_BODY_BYTES = 1_000
_ANSWER = b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b' % (
    _BODY_BYTES,
    b'x' * _BODY_BYTES,
)
_REQUEST = b'GET / HTTP/1.1\r\nhost: x\r\n\r\n'
_MAX_BYTES = 5_000
_CHECKS = 20
_MAX_UPLOAD = 100_000


async def _answer(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    await reader.readuntil(b'\r\n\r\n')
    writer.write(_ANSWER)
    await writer.drain()
    writer.close()


class _Keeper:
    """Owner of an answer, which notes when it is given up."""

    def __init__(self) -> None:
        self.is_given_up = False

    def fail(self, error: AnswerError) -> None:
        self.is_given_up = True


class AnswerMemoryTest(unittest.IsolatedAsyncioTestCase):
    """Only answers that are kept count."""

    # Guards against sound answers that are given up because of the answers of
    # earlier health checks, which counted for good.
    async def test_discarded_answers_count_no_longer(self) -> None:
        server = await asyncio.start_server(_answer, '127.0.0.1', 0)
        self.addCleanup(server.close)
        target = Target('s', Address(*server.sockets[0].getsockname()))
        pool = ConnectionPool()
        pool.memory = AnswerMemory(_MAX_BYTES)
        sound = _Keeper()
        pool.memory.grow(sound, _MAX_BYTES // 2)
        for _ in range(_CHECKS):
            lease = await pool.acquire_direct(target)
            await lease.send(_REQUEST)
            await lease.read_all(_MAX_BYTES)
            lease.discard()
        self.assertFalse(sound.is_given_up)

    # Guards against servers that count as full of requests that have ended.
    async def test_ended_requests_are_not_open(self) -> None:
        server = await asyncio.start_server(_answer, '127.0.0.1', 0)
        self.addCleanup(server.close)
        target = Target('s', Address(*server.sockets[0].getsockname()))
        pool = ConnectionPool()
        pool.open_bytes = OpenBytes(_MAX_UPLOAD)
        lease = await pool.acquire_direct(target)
        await lease.send(_REQUEST + bytes(_MAX_UPLOAD))
        self.assertFalse(pool.open_bytes.has_room('s', _MAX_UPLOAD))
        lease.discard()
        lease.release()
        self.assertTrue(pool.open_bytes.has_room('s', _MAX_UPLOAD))


if __name__ == '__main__':
    unittest.main()
