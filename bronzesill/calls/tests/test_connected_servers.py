"""
Choice of servers by open connections, and where it takes effect.

Load: hosts with few calls a second each, whose connections to all servers of
a service would be idle for too long.
"""

import asyncio
import unittest
from random import Random

from ...config import Route
from ...routing import LoadReport, TrafficSplit
from ..interfaces import CallRequest, RoutedCall
from ..servers import ServiceServers
from .two_versions import ignore_call_end, make_tracker

_CALLS = 40
_HOSTS = 40


class ConnectedServerTest(unittest.IsolatedAsyncioTestCase):
    """A server with an open connection comes first where speed is known."""

    def setUp(self) -> None:
        self.tracker = make_tracker()

    def firsts(self, *connected: str, host: str = 'h') -> set[str]:
        """Return the servers that come first in the orders of many calls."""
        servers = ServiceServers(
            self.tracker,
            lambda _: TrafficSplit(''),
            ignore_call_end,
            Random(1),
        )
        servers.host = host
        servers.has_connection = lambda name, _: name in connected
        return {servers.order(self.make_call())[0] for _ in range(_CALLS)}

    def make_call(self) -> RoutedCall:
        return RoutedCall(
            CallRequest('POST', '', {}, b''),
            route_name='orders',
            route=Route('/', 'shop'),
            account='',
            request_id='r',
            key='',
            deadline_at_s=asyncio.get_running_loop().time() + 1,
        )

    def tell_slowdown(self) -> None:
        now_s = asyncio.get_running_loop().time()
        self.tracker.reported('v1-0', LoadReport(0, '', now_s, 1))

    async def test_connected_server_is_first_where_speed_is_known(self) -> None:
        self.tell_slowdown()
        self.assertEqual(self.firsts('v1-2'), {'v1-2'})

    async def test_hosts_without_a_connection_spread(self) -> None:
        self.tell_slowdown()
        by_host = [self.firsts(host=f'h{number}') for number in range(_HOSTS)]
        self.assertEqual({len(firsts) for firsts in by_host}, {1})
        self.assertEqual(len(set.union(*by_host)), 6)

    async def test_order_is_as_before_where_speed_is_not_known(self) -> None:
        self.assertEqual(len(self.firsts('v1-2')), 6)

    async def test_suspected_server_is_not_first(self) -> None:
        self.tell_slowdown()
        self.tracker.suspect('v1-2', asyncio.get_running_loop().time())
        self.assertNotIn('v1-2', self.firsts('v1-2'))

    async def test_leaving_server_is_left_out(self) -> None:
        self.tell_slowdown()
        self.tracker.set_leaving('v1-2', is_leaving=True)
        self.assertNotIn('v1-2', self.firsts('v1-2'))

    async def test_brittle_service_is_ordered_as_before(self) -> None:
        self.tell_slowdown()
        self.tracker.limiter.is_brittle = (  # type: ignore[method-assign]
            lambda service: True
        )
        self.assertEqual(len(self.firsts('v1-2')), 6)
