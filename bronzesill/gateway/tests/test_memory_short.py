"""Uploads at a host that is short of memory; no network is used."""

import unittest
from typing import Any
from unittest import mock

from falcon import asgi
from falcon.testing import create_scope

from ...upstream import AnswerMemory, MemoryUse
from ...utils import BronzesillError, ResultCode
from ..disconnect import ReceiveBufferMiddleware
from ..exchange import Exchange
from ..filters import ReadBody

_MAX_BYTES = 1000
_CHUNK = bytes(300)


class MemoryShortTest(unittest.IsolatedAsyncioTestCase):
    """They are refused as not run, and what was held counts no longer."""

    async def asyncSetUp(self) -> None:
        self.memory = AnswerMemory(_MAX_BYTES)
        self.received = 0
        self.held = 0
        self.document = mock.Mock()
        self.document.limits.max_body_bytes = _MAX_BYTES
        self.document.limits.body_timeout_s = 1

    async def upload(self, headers: dict[str, str]) -> None:
        """Send a request with two chunks."""
        scope = create_scope(method='POST', headers=headers)
        middleware = ReceiveBufferMiddleware(self.serve)
        await middleware(scope, self.receive, mock.AsyncMock())

    async def serve(self, scope: Any, receive: Any, send: Any) -> None:
        exchange = Exchange(asgi.Request(scope, receive), self.document)
        await ReadBody(self.memory).apply(exchange)
        self.held = self.memory.held_for(MemoryUse.UPLOADS)

    async def receive(self) -> dict[str, Any]:
        self.received += 1
        return {
            'type': 'http.request',
            'body': _CHUNK,
            'more_body': self.received == 1,
        }

    async def assert_refused(self, headers: dict[str, str]) -> None:
        with self.assertRaises(BronzesillError) as raised:
            await self.upload(headers)
        self.assertIs(raised.exception.code, ResultCode.MEMORY_SHORT)
        self.assertGreater(raised.exception.retry_after_s or 0, 0)

    # Guards against bodies that are read only to be refused.
    async def test_refused_before_it_is_read(self) -> None:
        self.memory.try_hold_upload(450)
        await self.assert_refused({'Content-Length': '600'})
        self.assertEqual(self.received, 0)
        self.assertEqual(self.memory.held_bytes, 450)

    # Guards against bodies in chunks, which state no length.
    async def test_body_without_length(self) -> None:
        self.memory.try_hold_upload(150)
        await self.assert_refused({})
        self.assertEqual(self.memory.held_bytes, 150)

    async def test_body_counts_until_the_answer_ends(self) -> None:
        await self.upload({'Content-Length': '600'})
        self.assertEqual(self.held, 600)
        self.assertEqual(self.memory.held_bytes, 0)


if __name__ == '__main__':
    unittest.main()
