"""Tests of the order of servers, with and without a new version."""

import asyncio
import unittest
from random import Random

from ...config import Route
from ...routing import TrafficSplit
from ...upstream.open_bytes import OpenBytes
from ..interfaces import CallRequest, RoutedCall
from ..servers import ServiceServers
from .two_versions import ignore_call_end, make_tracker

_SEED_COUNT = 50
_MAX_BYTES = 250_000
_LARGE = bytes(100_000)


class ServerOrderTest(unittest.IsolatedAsyncioTestCase):
    """A server is tried at most once; a new version gets only one attempt."""

    def setUp(self) -> None:
        self.tracker = make_tracker()
        self.open_bytes = OpenBytes(_MAX_BYTES)

    def order_servers(
        self,
        split: TrafficSplit,
        seed: int,
        *,
        idempotent: bool = True,
        body: bytes = b'',
    ) -> tuple[str, ...]:
        servers = ServiceServers(
            self.tracker, lambda _: split, ignore_call_end, Random(seed)
        )
        servers.has_room = self.open_bytes.has_room
        route = Route('/', 'shop', idempotent=idempotent)
        routed = RoutedCall(
            call=CallRequest('GET', '', {}, body),
            route_name='lookups',
            route=route,
            account='huka',
            request_id=f'request-{seed}',
            key='',
            deadline_at_s=asyncio.get_running_loop().time() + 1,
        )
        return servers.order(routed)

    async def test_each_server_is_tried_once_without_new_version(self) -> None:
        for seed in range(_SEED_COUNT):
            names = self.order_servers(TrafficSplit(''), seed)
            self.assertEqual(len(set(names)), 6)
            self.assertEqual(len(names), 6)

    async def test_failed_new_version_call_is_retried_on_old_version(
        self,
    ) -> None:
        for seed in range(_SEED_COUNT):
            names = self.order_servers(TrafficSplit('v1', 'v2', 1), seed)
            versions = [name[:2] for name in names]
            self.assertEqual(versions, ['v2', 'v1', 'v1', 'v1'])

    # Guards against a server that crashes under the uploads of one host
    # while others have room.
    async def test_large_requests_skip_a_server_that_holds_enough(self) -> None:
        names = self.order_servers(TrafficSplit(''), 1, body=_LARGE)
        for _ in range(2):
            self.open_bytes.add(names[0], len(_LARGE))
        rest = self.order_servers(TrafficSplit(''), 1, body=_LARGE)
        self.assertEqual(rest, names[1:])
        small = self.order_servers(TrafficSplit(''), 1, body=b'x')
        self.assertEqual(small, names)

    async def test_all_servers_are_tried_if_none_has_room(self) -> None:
        names = self.order_servers(TrafficSplit(''), 1)
        for name in names:
            self.open_bytes.add(name, _MAX_BYTES)
        again = self.order_servers(TrafficSplit(''), 1, body=_LARGE)
        self.assertEqual(again, names)

    async def test_at_most_once_call_uses_one_version_only(
        self,
    ) -> None:
        split = TrafficSplit('v1', 'v2', 1)
        names = self.order_servers(split, 1, idempotent=False)
        self.assertEqual({name[:2] for name in names}, {'v2'})
