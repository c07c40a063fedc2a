"""Order of servers for a call, with and without a version under trial."""

import asyncio
import unittest
from random import Random

from ...config import BackendServer, Route
from ...routing import ServerBook, TrafficSplit
from ...utils import Address
from ..interfaces import RoutedCall
from ..pass_through import CallRequest
from ..servers import ServiceServers

_SEEDS = 50


def _ignore(*ended: object, **how: object) -> None:
    """Take no notice of how a call ended."""


class OrderTest(unittest.IsolatedAsyncioTestCase):
    """No server is tried twice; a trial gets a request once."""

    def setUp(self) -> None:
        self.book = ServerBook()
        self.book.replace_servers(
            {
                f'{version}-{number}': BackendServer(
                    Address('10.0.0.1', number), 'a', version, service='shop'
                )
                for version in ('v1', 'v2')
                for number in range(3)
            }
        )

    def order(
        self, split: TrafficSplit, seed: int, *, idempotent: bool = True
    ) -> tuple[str, ...]:
        servers = ServiceServers(
            self.book, lambda _: split, _ignore, Random(seed)
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

    async def test_each_server_once_without_a_trial(self) -> None:
        for seed in range(_SEEDS):
            names = self.order(TrafficSplit(''), seed)
            self.assertEqual(len(set(names)), 6)
            self.assertEqual(len(names), 6)

    async def test_what_a_trial_loses_goes_to_the_old_version(self) -> None:
        for seed in range(_SEEDS):
            names = self.order(TrafficSplit('v1', 'v2', 1), seed)
            versions = [name[:2] for name in names]
            self.assertEqual(versions, ['v2', 'v1', 'v1', 'v1'])

    async def test_call_that_may_not_be_repeated_stays_with_a_version(
        self,
    ) -> None:
        split = TrafficSplit('v1', 'v2', 1)
        names = self.order(split, 1, idempotent=False)
        self.assertEqual({name[:2] for name in names}, {'v2'})
