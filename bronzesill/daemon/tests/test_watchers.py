"""Few daemons of a failure domain watch the store; the others hear of it."""

import asyncio
import unittest

from ...standins.hosted_fleet import (
    HostedFleet,
    HostedPlan,
    configuration,
)
from ...standins.worker import WorkerPlan
from ..hosted import HostedDaemon
from .hosted_caller import HostedCaller

#: The users' bound for a configuration to be in force.
_APPLY_S = 2.0
_DAEMONS = 5
_WATCHERS = 2
_RENEWED_S = 5.0


class WatcherTest(unittest.IsolatedAsyncioTestCase):
    """What watchers hear is in force on all hosts."""

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

    async def until_watchers(self, count: int) -> None:
        async with asyncio.timeout(8):
            while len(self.watchers()) != count:
                await asyncio.sleep(0.05)

    async def drop_orders(self) -> None:
        changed = configuration()
        changed['routes'] = changed['routes'][:1]
        await self.fleet.configure(changed)

    async def statuses(self, daemons: list[HostedDaemon]) -> set[int]:
        answers = [
            await self.caller.ask(daemon.settings.callers, '/orders/1')
            for daemon in daemons
        ]
        return {answer.status for answer in answers}

    async def test_only_watchers_call_the_store(self) -> None:
        await self.until_watchers(_WATCHERS)
        # Until the others have ended the leases of their entries.
        await asyncio.sleep(_RENEWED_S)
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
        await self.until_watchers(_WATCHERS)
        self.assertEqual(await self.statuses(self.fleet.daemons), {200})
        await self.drop_orders()
        await asyncio.sleep(_APPLY_S)
        self.assertEqual(await self.statuses(self.fleet.daemons), {404})

    async def test_configuration_reaches_the_others_when_watchers_die(
        self,
    ) -> None:
        await self.until_watchers(_WATCHERS)
        killed = self.watchers()
        for daemon in killed:
            await self.fleet.kill(daemon)
        await self.drop_orders()
        # Daemons out of touch until 3 s after the deaths.
        await asyncio.sleep(3 + _APPLY_S)
        alive = [
            daemon for daemon in self.fleet.daemons if daemon not in killed
        ]
        self.assertEqual(await self.statuses(alive), {404})
