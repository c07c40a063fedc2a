"""
A host that follows another one applies configurations beside its freeze.

Pattern: of three hosts of a failure domain two watch the store; the one that
the third follows is frozen just before a change of the configuration.
"""

import asyncio
import unittest

from ...replica import FetchReplica
from ...standins.hosted_fleet import (
    HostedFleet,
    HostedPlan,
    make_configuration,
)
from ..hosted import HostedDaemon

#: Time in which a configuration has to be in force on all hosts.
_APPLY_S = 2.0
_POLL_S = 0.02
_ROUNDS = 4
#: Longest time until one of the hosts follows another one.
_SETTLED_S = 10.0


async def _hang(request: object) -> None:
    await asyncio.sleep(60)


def _is_follower(daemon: HostedDaemon) -> bool:
    follows = daemon._peer_replication._watcher is not None
    return follows and not daemon.is_watching


class SilentWatcherTest(unittest.IsolatedAsyncioTestCase):
    """The time in which a version comes into force holds all the same."""

    async def asyncSetUp(self) -> None:
        self.fleet = await HostedFleet(
            HostedPlan(daemons=3, domains=('a',))
        ).__aenter__()
        self.version = 1

    async def asyncTearDown(self) -> None:
        await self.fleet.__aexit__()

    # Guards against a host that waits for a frozen one while callers get the
    # answers of an older configuration.
    async def test_follower_asks_another_host(self) -> None:
        await asyncio.sleep(1)
        for _ in range(_ROUNDS):
            follower, watcher = await self.find_follower()
            handlers = watcher._peers.handlers_by_type
            answer_fetch = handlers[FetchReplica]
            handlers[FetchReplica] = _hang
            await self.check_change(follower)
            handlers[FetchReplica] = answer_fetch
            await asyncio.sleep(1)

    async def check_change(self, follower: HostedDaemon) -> None:
        self.version += 1
        document = {**make_configuration(), 'version': self.version}
        await self.fleet.configure(document)
        async with asyncio.timeout(_APPLY_S):
            while self.version_of(follower) < self.version:
                await asyncio.sleep(_POLL_S)

    def version_of(self, daemon: HostedDaemon) -> int:
        return daemon._store_state.configuration_version

    async def find_follower(self) -> tuple[HostedDaemon, HostedDaemon]:
        """Return the host that follows another one, and that one."""
        by_name = {
            daemon.settings.name: daemon for daemon in self.fleet.daemons
        }
        async with asyncio.timeout(_SETTLED_S):
            followers: list[HostedDaemon] = []
            while not followers:
                await asyncio.sleep(_POLL_S)
                followers = list(filter(_is_follower, self.fleet.daemons))
            # Its next poll has just been sent, so it is answered the latest.
            confirmed_at_s = followers[0]._peer_replication._confirmed_at_s
            while (
                followers[0]._peer_replication._confirmed_at_s == confirmed_at_s
            ):
                await asyncio.sleep(_POLL_S / 4)
        followed = followers[0]._peer_replication._watcher
        assert followed is not None
        return followers[0], by_name[followed.name]


if __name__ == '__main__':
    unittest.main()
