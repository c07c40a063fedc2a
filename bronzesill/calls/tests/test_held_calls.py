"""
Where calls go that may crash servers.

Pattern: a call, repeated under new ids, crashes one server of three after the
other, beside calls that were on the same servers.
"""

import asyncio
import unittest
from random import Random

from ...config import Route
from ...routing import TrafficSplit
from ...upstream import ForwardRequest
from ...utils import BronzesillError, ResultCode
from ..interfaces import CallRequest, RoutedCall
from ..servers import ServiceServers
from .two_versions import ignore_call_end, make_tracker

_SEED_COUNT = 50
_BLOCKED_S = 600.0


class _FixedQuarantine:
    """Quarantine that holds calls, or blocks those with a body."""

    def __init__(self, blocked_body: bytes | None = None) -> None:
        self._blocked_body = blocked_body

    def blocked_s(self, forward: ForwardRequest) -> float:
        return _BLOCKED_S if forward.body == self._blocked_body else 0

    def is_held(self, forward: ForwardRequest) -> bool:
        return self._blocked_body is None

    def identity(self, forward: ForwardRequest) -> str:
        return forward.body.decode()


def _route_call(body: bytes, seed: int = 0) -> RoutedCall:
    forward = ForwardRequest(
        f'request-{seed}', 'POST', b'/lookups', (), body, 'huka', 9
    )
    return RoutedCall(
        call=CallRequest('POST', '/lookups', {}, body),
        route_name='lookups',
        route=Route('/', 'shop', idempotent=True),
        account='huka',
        request_id=forward.request_id,
        key='',
        deadline_at_s=asyncio.get_running_loop().time() + 1,
        forward=forward,
    )


class HeldCallTest(unittest.IsolatedAsyncioTestCase):
    """Such a call risks one server, and never the last one."""

    def setUp(self) -> None:
        self.tracker = make_tracker()

    def make_servers(
        self,
        quarantine: _FixedQuarantine,
        seed: int = 0,
        split: TrafficSplit | None = None,
    ) -> ServiceServers:
        return ServiceServers(
            self.tracker,
            lambda _: split or TrafficSplit('v1'),
            ignore_call_end,
            Random(seed),
            quarantine,
        )

    def suspect(self, *names: str) -> None:
        for name in names:
            self.tracker.suspect(name, asyncio.get_running_loop().time())

    async def test_all_hosts_choose_the_same_server(self) -> None:
        names = {
            self.make_servers(_FixedQuarantine(), seed).order(
                _route_call(b'slot 13', seed)
            )
            for seed in range(_SEED_COUNT)
        }
        self.assertEqual(len(names), 1)
        self.assertEqual([len(order) for order in names], [1])

    # Guards against sound calls staying on the servers of a crashing one.
    async def test_calls_that_were_lost_together_come_apart(self) -> None:
        servers = self.make_servers(_FixedQuarantine())
        chosen = {
            servers.order(_route_call(b'slot %d' % number))[0]
            for number in range(_SEED_COUNT)
        }
        self.assertEqual(chosen, {'v1-0', 'v1-1', 'v1-2'})

    # Guards against a service whose servers have all crashed on one call.
    async def test_last_server_is_not_risked(self) -> None:
        servers = self.make_servers(_FixedQuarantine())
        self.suspect('v1-0', 'v1-1')
        with self.assertRaises(BronzesillError) as raised:
            servers.order(_route_call(b'slot 13'))
        self.assertEqual(raised.exception.code, ResultCode.REQUEST_BLOCKED)
        self.assertGreater(raised.exception.retry_after_s or 0, 0)
        self.assertFalse(servers.may_retry(_route_call(b'slot 13'), 1))

    async def test_version_under_trial_is_not_risked(self) -> None:
        split = TrafficSplit('v1', 'v2', 1)
        for seed in range(_SEED_COUNT):
            servers = self.make_servers(_FixedQuarantine(), seed, split)
            name = servers.order(_route_call(b'slot %d' % seed, seed))[0]
            self.assertTrue(name.startswith('v1'))

    async def test_blocked_call_is_refused_and_not_retried(self) -> None:
        servers = self.make_servers(_FixedQuarantine(b'slot 13'))
        with self.assertRaises(BronzesillError) as raised:
            servers.order(_route_call(b'slot 13'))
        self.assertEqual(raised.exception.code, ResultCode.REQUEST_BLOCKED)
        self.assertEqual(raised.exception.retry_after_s, _BLOCKED_S)
        self.assertFalse(servers.may_retry(_route_call(b'slot 13'), 0))
        self.assertTrue(servers.may_retry(_route_call(b'slot 14'), 1))

    async def test_call_that_lost_two_servers_spares_the_last(self) -> None:
        servers = self.make_servers(_FixedQuarantine(b''))
        self.suspect('v1-0')
        self.assertTrue(servers.may_retry(_route_call(b'slot 14'), 2))
        self.suspect('v1-1')
        self.assertTrue(servers.may_retry(_route_call(b'slot 14'), 1))
        self.assertFalse(servers.may_retry(_route_call(b'slot 14'), 2))
