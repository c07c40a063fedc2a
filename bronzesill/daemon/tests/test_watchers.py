"""Few daemons of a failure domain watch the store and inform the others."""

import asyncio
import unittest

from ...standins.hosted_fleet import (
    HostedFleet,
    HostedPlan,
    make_configuration,
)
from ...standins.worker import WorkerPlan
from ..hosted import HostedDaemon
from .hosted_caller import HostedCaller

#: Required upper bound on the time until a configuration is in force.
_APPLY_S = 2.0
_DAEMONS = 5
_WATCHERS = 2
_LEASE_END_S = 5.0


class WatcherTest(unittest.IsolatedAsyncioTestCase):
    """Changes received by watchers are applied on all hosts."""

    async def asyncSetUp(self) -> None:
        plan = HostedPlan(
            daemons=_DAEMONS,
            workers=(WorkerPlan('shop-a', 'shop', 'a'),),
            domains=('a',),
        )
        self.fleet = await HostedFleet(plan).__aenter__()
        self.caller = HostedCaller()

    async def asyncTearDown(self) -> None:
        await self.caller.close()
        await self.fleet.__aexit__()

    def watchers(self) -> list[HostedDaemon]:
        return [daemon for daemon in self.fleet.daemons if daemon.is_watching]

    async def wait_for_watchers(self, count: int) -> None:
        async with asyncio.timeout(8):
            while len(self.watchers()) != count:
                await asyncio.sleep(0.05)

    async def remove_order_route(self) -> None:
        changed = make_configuration()
        changed['routes'] = changed['routes'][:1]
        await self.fleet.configure(changed)

    async def statuses(self, daemons: list[HostedDaemon]) -> set[int]:
        answers = [
            await self.caller.send_request(daemon.settings.callers, '/orders/1')
            for daemon in daemons
        ]
        return {answer.status for answer in answers}

    async def test_only_watchers_call_the_store(self) -> None:
        await self.wait_for_watchers(_WATCHERS)
        # Waits until the others have revoked the leases of their entries.
        await asyncio.sleep(_LEASE_END_S)
        others = [
            daemon for daemon in self.fleet.daemons if not daemon.is_watching
        ]
        before = [daemon.store_calls for daemon in others]
        watched = [daemon.store_calls for daemon in self.watchers()]
        await asyncio.sleep(2)
        self.assertEqual([daemon.store_calls for daemon in others], before)
        for daemon, calls in zip(self.watchers(), watched, strict=True):
            self.assertGreater(daemon.store_calls, calls)

    async def test_configuration_reaches_all(self) -> None:
        await self.wait_for_watchers(_WATCHERS)
        self.assertEqual(await self.statuses(self.fleet.daemons), {200})
        await self.remove_order_route()
        await asyncio.sleep(_APPLY_S)
        self.assertEqual(await self.statuses(self.fleet.daemons), {404})

    async def test_configuration_reaches_others_after_watcher_failure(
        self,
    ) -> None:
        await self.wait_for_watchers(_WATCHERS)
        killed_daemons = self.watchers()
        for daemon in killed_daemons:
            await self.fleet.kill(daemon)
        await self.remove_order_route()
        # The other daemons may miss changes for 3 s after the failures.
        await asyncio.sleep(3 + _APPLY_S)
        alive = [
            daemon
            for daemon in self.fleet.daemons
            if daemon not in killed_daemons
        ]
        self.assertEqual(await self.statuses(alive), {404})
