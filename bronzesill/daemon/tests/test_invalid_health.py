"""Health checks that servers answer with a status that is no answer."""

import asyncio
import unittest
from unittest import mock

from ...config import BackendServer, RegisteredServer
from ...routing import ServerListing, ServerTracker
from ...upstream import ConnectionPool
from ...utils import Address
from ..restart_detector import RestartDetector

_SERVER = 'i-1'
_CHECK = b'GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n'


class InvalidHealthTest(unittest.IsolatedAsyncioTestCase):
    """They don't count as good health."""

    async def ask(self, status: str) -> bool:
        """Return whether a server counts as running after a check."""

        async def answer(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b'\r\n\r\n')
            head = f'HTTP/1.1 {status} X\r\ncontent-length: 0\r\n\r\n'
            writer.write(head.encode())
            await reader.read()
            writer.close()

        listener = await asyncio.start_server(answer, '127.0.0.1', 0)
        self.addCleanup(listener.close)
        port = listener.sockets[0].getsockname()[1]
        server = BackendServer(Address('127.0.0.1', port), 'shop', 'v1')
        store_state = mock.Mock()
        store_state.listing = ServerListing({_SERVER: RegisteredServer(server)})
        dialect = mock.Mock()
        dialect.encode_health_check.return_value = _CHECK
        dialect.server.return_value = _SERVER
        pool = ConnectionPool(1)
        self.addCleanup(pool.close)
        detector = RestartDetector(
            store_state, ServerTracker(), pool, dialect, 2, lambda _: 0
        )
        await detector._ask(_SERVER)
        return _SERVER not in detector._unanswered_at_s

    # Guards against a server that counts as running by a 600.
    async def test_invalid_statuses(self) -> None:
        for status in ('000', '099', '600', '999'):
            self.assertFalse(await self.ask(status), status)

    async def test_refusal_is_a_sign_of_life(self) -> None:
        self.assertTrue(await self.ask('503'))


if __name__ == '__main__':
    unittest.main()
