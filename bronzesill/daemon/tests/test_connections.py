"""
New connections of a host to the servers of a plain service.

Load: few calls a second to several servers, which a host sent to each of them
in turn.
"""

import asyncio
import dataclasses
import re
import unittest
from unittest import mock

import aiohttp

from ...standins.hosted_fleet import HostedFleet, HostedPlan
from ...standins.worker import WorkerPlan
from .. import restart_detector
from .hosted_caller import HostedCaller

_CALLS = 15
_PAUSE_S = 0.05
#: Longer than an order may leave a connection idle of which nothing is stated.
_LONG_PAUSE_S = 1.2
_NAMES = ('shop-a', 'shop-b', 'shop-c', 'shop-d')
_OPENED = re.compile(r'^bronzesill_connections_call_total (\S+)$', re.MULTILINE)


class FewServersTest(unittest.IsolatedAsyncioTestCase):
    """A host keeps to few servers where they tell their slowdown."""

    async def asyncSetUp(self) -> None:
        # Health checks of this host would use the same connections.
        patch = mock.patch.object(restart_detector, '_ASKING_HOSTS', 0)
        patch.start()
        self.addCleanup(patch.stop)
        workers = tuple(WorkerPlan(name, 'shop') for name in _NAMES)
        plan = HostedPlan(daemons=1, workers=workers)
        self.fleet = await HostedFleet(plan).__aenter__()
        self.caller = HostedCaller()

    async def asyncTearDown(self) -> None:
        await self.caller.close()
        await self.fleet.__aexit__()

    async def send_calls(
        self, count: int = _CALLS, pause_s: float = _PAUSE_S
    ) -> set[str]:
        """Send calls one after the other; return the servers that ran them."""
        settings = self.fleet.daemons[0].settings
        used = set()
        for number in range(count):
            answer = await self.caller.send_request(
                settings.callers, f'/orders/{number}'
            )
            used.add(answer.body.split()[0].decode())
            await asyncio.sleep(pause_s)
        return used

    async def opened(self) -> float:
        settings = self.fleet.daemons[0].settings
        async with (
            aiohttp.ClientSession() as session,
            session.get(f'{settings.metrics.url}/metrics') as response,
        ):
            found = _OPENED.search(await response.text())
        return float(found.group(1)) if found else 0

    async def test_calls_keep_to_one_server_and_connection(self) -> None:
        for worker in self.fleet.workers_by_name.values():
            worker.plan = dataclasses.replace(worker.plan, slowdown_percent=100)
        await self.send_calls()
        opened = await self.opened()
        self.assertEqual(len(await self.send_calls()), 1)
        self.assertEqual(await self.opened(), opened)

    async def test_order_uses_a_connection_for_as_long_as_stated(self) -> None:
        for worker in self.fleet.workers_by_name.values():
            worker.plan = dataclasses.replace(worker.plan, slowdown_percent=100)
            worker.keep_alive = 'timeout=5'
        await self.send_calls()
        opened = await self.opened()
        await self.send_calls(3, _LONG_PAUSE_S)
        self.assertEqual(await self.opened(), opened)

    async def test_order_uses_a_connection_for_a_second_otherwise(self) -> None:
        for worker in self.fleet.workers_by_name.values():
            worker.plan = dataclasses.replace(worker.plan, slowdown_percent=100)
        await self.send_calls()
        opened = await self.opened()
        await self.send_calls(3, _LONG_PAUSE_S)
        self.assertGreater(await self.opened(), opened)

    async def test_calls_use_all_servers_that_tell_no_slowdown(self) -> None:
        """Earlier deployments are served as before."""
        self.assertGreater(len(await self.send_calls()), 1)
