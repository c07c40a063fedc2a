"""Tests of the order of servers, with and without a new version."""

import asyncio
import unittest
from random import Random

from ...config import Route
from ...routing import TrafficSplit
from ..interfaces import CallRequest, RoutedCall
from ..servers import ServiceServers
from .two_versions import ignore_call_end, make_tracker

_SEED_COUNT = 50


class ServerOrderTest(unittest.IsolatedAsyncioTestCase):
    """A server is tried at most once; a new version gets only one attempt."""

    def setUp(self) -> None:
        self.tracker = make_tracker()

    def order_servers(
        self, split: TrafficSplit, seed: int, *, idempotent: bool = True
    ) -> tuple[str, ...]:
        servers = ServiceServers(
            self.tracker, lambda _: split, ignore_call_end, Random(seed)
        )
        route = Route('/', 'shop', idempotent=idempotent)
        routed = RoutedCall(
            call=CallRequest('GET', '', {}, b''),
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

    async def test_at_most_once_call_uses_one_version_only(
        self,
    ) -> None:
        split = TrafficSplit('v1', 'v2', 1)
        names = self.order_servers(split, 1, idempotent=False)
        self.assertEqual({name[:2] for name in names}, {'v2'})
