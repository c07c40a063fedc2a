"""
Checks for restarted servers on a busy host.

Pattern: the event loop of a busy host is late by a fifth of a second; that is
no pause of the process, so what was read before still counts.
"""

import dataclasses
import unittest
from collections.abc import Callable
from unittest import mock

from ...config import BackendServer, RegisteredServer
from ...membership import Member
from ...routing import LastActivity, ServerListing, ServerTracker
from ...upstream import RequestNotSent
from ...utils import Address, rank_by_rendezvous
from ..restart_detector import (
    _MAX_RANKS,
    CHECK_INTERVAL_S,
    AskingRanks,
    RestartDetector,
)

_REUSE_S = 2.0
_LATE_S = 0.2
_SERVER = 'i-1'
_SERVERS = tuple(f'i-{number}' for number in range(30))


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

    # Guards against questions to servers that other hosts ask.
    async def test_server_of_another_host_is_not_asked(self) -> None:
        self.detector._rank = lambda _: 1
        self.assertEqual(self.detector._servers_to_ask(), ())
        self.store_state.listing = dataclasses.replace(
            self.store_state.listing, is_store_unreachable=True
        )
        self.assertEqual(self.detector._servers_to_ask(), (_SERVER,))


class AskingRanksTest(unittest.TestCase):
    """All hosts agree on who asks a server, also after hosts have gone."""

    def setUp(self) -> None:
        self.hosts = tuple(_host(f'host-{number}') for number in range(12))
        self.ranks_by_host = {
            host.name: AskingRanks(host.name, self.peers_of(host))
            for host in self.hosts
        }

    def peers_of(self, own: Member) -> Callable[[], tuple[Member, ...]]:
        return lambda: tuple(host for host in self.hosts if host != own)

    def check(self) -> None:
        names = tuple(host.name for host in self.hosts)
        for server in _SERVERS:
            ranked = rank_by_rendezvous(server, names)
            for rank, name in enumerate(ranked):
                self.assertEqual(self.ranks_by_host[name].rank(server), rank)

    # Guards against a server that nobody asks, as each host takes another
    # one for the first.
    def test_ranks_follow_the_live_hosts(self) -> None:
        everyone = self.hosts
        for live in (everyone, everyone[3:], everyone[:7], everyone):
            self.hosts = live
            self.check()

    # Guards against memory that grows with each restart of a server.
    def test_number_of_kept_ranks_is_bounded(self) -> None:
        ranks = self.ranks_by_host['host-0']
        for number in range(_MAX_RANKS + len(_SERVERS)):
            ranks.rank(f'i-{number}')
        self.assertLessEqual(len(ranks._rank_by_server), _MAX_RANKS)
        self.check()


def _host(name: str) -> Member:
    address = Address('10.0.0.2', 80)
    return Member(name, 'r', 'a', address, address, 1)


if __name__ == '__main__':
    unittest.main()
