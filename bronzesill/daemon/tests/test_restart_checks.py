"""
Checks for restarted servers on a busy host.

Pattern: the event loop of a busy host is late by a fifth of a second; that is
no pause of the process, so what was read before still counts.
"""

import dataclasses
import unittest
from unittest import mock

from ...config import BackendServer, RegisteredServer
from ...routing import LastActivity, ServerListing, ServerTracker
from ...upstream import RequestNotSent
from ...utils import Address
from ..restart_detector import CHECK_INTERVAL_S, RestartDetector

_REUSE_S = 2.0
_LATE_S = 0.2
_SERVER = 'i-1'


class LateCheckTest(unittest.TestCase):
    """A late check does not discard the activity of servers."""

    def test_server_counts_as_active_after_a_late_check(self) -> None:
        activity = LastActivity(_REUSE_S).with_check(10).with_check(10.1)
        # A pause is assumed at the first check; activity counts after it.
        activity = activity.with_check(10.4).with_check(10.6)
        activity = activity.with_activity('s', 10.7)
        late_s = 10.6 + CHECK_INTERVAL_S + _LATE_S
        activity = activity.with_check(late_s)
        self.assertTrue(activity.may_be_restart('s', late_s))


class QuestionTest(unittest.IsolatedAsyncioTestCase):
    """Servers are asked only in a way that they take for a health check."""

    def setUp(self) -> None:
        server = BackendServer(Address('10.0.0.1', 80), 'engines', 'v1')
        self.store_state = mock.Mock()
        self.store_state.listing = ServerListing(
            {_SERVER: RegisteredServer(server)}
        )
        self.store_state.health_path.return_value = '/healthz'
        self.pool = mock.AsyncMock()
        self.pool.acquire.side_effect = RequestNotSent('closed')
        self.detector = RestartDetector(
            self.store_state,
            ServerTracker(),
            self.pool,
            mock.Mock(),
            _REUSE_S,
            lambda _: 0,
        )

    async def test_silent_server_is_asked(self) -> None:
        self.assertEqual(self.detector._servers_to_ask(), (_SERVER,))
        await self.detector._ask(_SERVER)
        self.pool.acquire.assert_awaited()
        # It is probed at its address now, and not asked again.
        self.assertEqual(self.detector._servers_to_ask(), ())

    # Guards against a check without a path, which a server takes for a
    # request that no caller has sent.
    async def test_service_without_a_health_check_is_not_asked(self) -> None:
        self.store_state.health_path.return_value = ''
        await self.detector._ask(_SERVER)
        await self.detector._probe(_SERVER)
        self.assertEqual(self.pool.method_calls, [])

    # Guards against a task that ends with an error, and the host with it.
    async def test_server_that_has_gone_meanwhile_is_not_asked(self) -> None:
        self.store_state.listing = ServerListing()
        await self.detector._ask(_SERVER)
        self.assertEqual(self.pool.method_calls, [])

    async def test_leaving_server_is_not_asked(self) -> None:
        listed = self.store_state.listing.listed_by_name[_SERVER]
        leaving = dataclasses.replace(listed, is_leaving=True)
        self.store_state.listing = ServerListing({_SERVER: leaving})
        self.assertEqual(self.detector._servers_to_ask(), ())


if __name__ == '__main__':
    unittest.main()
