"""
A host reaches servers only through others, one of which stops as planned.

Pattern: orders at a host whose paths to all servers are cut, while a host that
relays its connections gets SIGTERM.
"""

import asyncio
import unittest
from collections import Counter

from ...standins.hosted_fleet import HostedFleet, HostedPlan
from ...standins.worker import WorkerPlan
from .cut_paths import CutPath
from .hosted_caller import HostedCaller

_GRACE_S = 3.0
_WORK_S = 0.6
_INTERVAL_S = 0.05
#: Time of sending before the stop, and in all; the stop ends in between.
_BEFORE_STOP_S = 1.5
_SENDING_S = 5.5


class StoppingPeerTest(unittest.IsolatedAsyncioTestCase):
    """The cut host uses another host before the stopping one has exited."""

    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)
        plan = HostedPlan(
            daemons=3,
            workers=(
                WorkerPlan('shop-a', 'shop', work_s=_WORK_S, slots=40),
                WorkerPlan('shop-b', 'shop', 'b', work_s=_WORK_S, slots=40),
            ),
            grace_s=_GRACE_S,
        )
        self.fleet = await HostedFleet(plan).__aenter__()
        self.caller = HostedCaller()
        self.statuses: Counter[int] = Counter()

    async def asyncTearDown(self) -> None:
        await self.caller.close()
        await self.fleet.__aexit__()

    async def send(self, number: int) -> None:
        answer = await self.caller.send_request(
            self.fleet.daemons[0].settings.callers, f'/orders/{number}'
        )
        self.statuses[answer.status] += 1

    async def send_orders(self) -> None:
        sends: list[asyncio.Task[None]] = []
        for number in range(int(_SENDING_S / _INTERVAL_S)):
            sends.append(asyncio.create_task(self.send(number)))
            await asyncio.sleep(_INTERVAL_S)
        await asyncio.gather(*sends)

    # Guards against orders that end with "outcome unknown" because a host
    # that stops as planned relayed their connection.
    async def test_planned_stop_of_a_relaying_host_cuts_no_order(self) -> None:
        CutPath(self.fleet.daemons[0], is_silent=False).begin(
            frozenset(
                worker.address for worker in self.fleet.workers_by_name.values()
            )
        )
        # Some connections are relayed already when the signal comes.
        await asyncio.gather(*(self.send(number) for number in range(8)))
        self.statuses.clear()
        orders = asyncio.create_task(self.send_orders())
        await asyncio.sleep(_BEFORE_STOP_S)
        self.fleet.daemons[1].begin_stop()
        await orders
        self.assertEqual(set(self.statuses), {200}, self.statuses)


if __name__ == '__main__':
    unittest.main()
