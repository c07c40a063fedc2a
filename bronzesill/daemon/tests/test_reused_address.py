"""Addresses of servers that ended are given to servers of other services."""

import asyncio
import dataclasses
import unittest

from ...standins.hosted_fleet import HostedFleet, HostedPlan
from ...standins.worker import WorkerPlan, WorkerStandIn
from .hosted_caller import HostedCaller

#: Seconds for which a cut holds up the answer of a server that ended.
_HELD_UP_S = 1.6
#: Seconds after the end of the server at which its address is used again.
_REUSED_AFTER_S = 2.05
_OBSERVED_S = 0.5
_INTERVAL_S = 0.02
_HTTP_OK = 200


class LateAnswerTest(unittest.IsolatedAsyncioTestCase):
    """
    A late answer does not make another service's server a restarted one.

    The server ends as soon as it has answered; its answer is held up by a cut
    and arrives shortly before its address is used again.
    """

    async def asyncSetUp(self) -> None:
        self.shop = WorkerPlan('shop-a', 'shop')
        self.fleet = await HostedFleet(
            HostedPlan(daemons=1, workers=(self.shop,))
        ).__aenter__()
        self.caller = HostedCaller()
        self.callers = self.fleet.daemons[0].settings.callers
        self.payout: WorkerStandIn | None = None

    async def asyncTearDown(self) -> None:
        await self.caller.close()
        if self.payout is not None:
            await self.payout.stop()
        await self.fleet.__aexit__()

    async def test_no_order_is_run_by_another_service(self) -> None:
        # Guards against orders that a server of another service runs, because
        # the reading of a late answer was taken for a sign of life.
        loop = asyncio.get_running_loop()
        ended_at_s = loop.time()
        await self.receive_late_answer()
        await asyncio.sleep(ended_at_s + _REUSED_AFTER_S - loop.time())
        payout = await self.use_address_again()
        until_s = loop.time() + _OBSERVED_S
        statuses = []
        while loop.time() < until_s:
            order = await self.caller.send_request(self.callers, '/orders/2')
            statuses.append(order.status)
            await asyncio.sleep(_INTERVAL_S)
        self.assertEqual(payout.runs_by_id.total(), 0)
        self.assertNotIn(_HTTP_OK, statuses)

    async def receive_late_answer(self) -> None:
        """Send an order that is answered late, by a server that has ended."""
        shop = self.fleet.workers_by_name[self.shop.name]
        shop.is_answering.clear()
        order = asyncio.create_task(
            self.caller.send_request(self.callers, '/orders/1')
        )
        await asyncio.sleep(_HELD_UP_S)
        shop.is_answering.set()
        self.assertEqual((await order).status, _HTTP_OK)
        await shop.stop()
        # This one finds out that the server does not respond any more.
        lost = await self.caller.send_request(self.callers, '/orders/1')
        self.assertNotEqual(lost.status, _HTTP_OK)

    async def use_address_again(self) -> WorkerStandIn:
        """Start a server of another service that has no entry yet."""
        plan = dataclasses.replace(self.shop, name='payout-a', service='payout')
        shop = self.fleet.workers_by_name[self.shop.name]
        self.payout = WorkerStandIn(
            plan, shop.address, self.fleet.store.address
        )
        self.payout.is_silent = True
        await self.payout.start()
        return self.payout


if __name__ == '__main__':
    unittest.main()
