"""
Looks at servers that were heard just now.

Load: silent streams look at the same few servers at a time, and each look
opened a connection.
"""

import unittest
from typing import Any, cast
from unittest import mock

from ...upstream import Target
from ...utils import Address
from ..forward_client import ForwardStreamClient

_ADDRESS = Address('127.0.0.1', 1)


class ProvenServerTest(unittest.IsolatedAsyncioTestCase):
    """A server that is proven alive is not probed."""

    async def test_only_other_servers_are_probed(self) -> None:
        pool = mock.AsyncMock()
        pool.probe.return_value = True
        client = ForwardStreamClient(pool, *cast('Any', (None, None)))
        client.is_proven_alive = lambda target: target.name == 's1'
        self.assertTrue(await client.is_alive('s1', _ADDRESS))
        pool.probe.assert_not_awaited()
        self.assertTrue(await client.is_alive('s2', _ADDRESS))
        pool.probe.assert_awaited_once_with(Target('s2', _ADDRESS))
