"""
Counts of new connections by purpose.

Load: one customer pays for each connection, and the total alone does not tell
which part of the program opens them.
"""

import asyncio
import unittest
from collections import Counter

from ...utils import Address
from ..connectors import Target
from ..pool import ConnectionPool
from ..purposes import Purpose


class PurposeTest(unittest.IsolatedAsyncioTestCase):
    """Each attempt counts for what it was made for, also if it fails."""

    async def asyncSetUp(self) -> None:
        self.pool = ConnectionPool()
        self.told: list[Purpose] = []
        self.pool.direct.counts.on_attempt = self.tell
        self.server = await asyncio.start_server(
            lambda reader, writer: None, '127.0.0.1', 0
        )
        port = self.server.sockets[0].getsockname()[1]
        self.target = Target('s', Address('127.0.0.1', port))

    def tell(self, purpose: Purpose, server: str) -> None:
        self.assertEqual(server, 's')
        self.told.append(purpose)

    async def asyncTearDown(self) -> None:
        self.pool.close()
        self.server.close()

    async def test_attempts_are_counted_by_purpose(self) -> None:
        for purpose in (Purpose.CALL, Purpose.STREAM, Purpose.HEALTH):
            lease = await self.pool.acquire(
                self.target, max_idle_s=4, purpose=purpose
            )
            lease.discard()
        await self.pool.probe(self.target)
        (await self.pool.acquire_direct(self.target)).discard()
        expected = (
            Purpose.CALL,
            Purpose.STREAM,
            Purpose.HEALTH,
            Purpose.PROBE,
            Purpose.HEALTH,
        )
        self.assertEqual(tuple(self.told), expected)
        self.assertEqual(self.pool.opened, len(expected))
        self.assertEqual(self.pool.direct.counts.by_purpose, Counter(expected))

    async def test_idle_connection_of_a_probe_serves_a_stream(self) -> None:
        await self.pool.probe(self.target)
        lease = await self.pool.acquire(
            self.target, max_idle_s=4, purpose=Purpose.STREAM
        )
        lease.discard()
        self.assertEqual(self.told, [Purpose.PROBE])

    async def test_failed_attempt_is_counted(self) -> None:
        self.server.close()
        await self.server.wait_closed()
        self.assertFalse(await self.pool.probe(self.target))
        self.assertEqual(self.told, [Purpose.PROBE])
