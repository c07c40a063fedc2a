"""Tests of orders: steps of the writer, load slots, execution on a fleet."""

import asyncio
import unittest

from ...daemon.tests.caller import send_request
from ...standins.fleet import Fleet, FleetPlan
from ...utils import Address
from ..decisions import ObservedServer, Step, WriterState, next_step
from ..load_slots import LoadSlot, LoadSlots
from ..record import OrderKind, OrderRecord, OrderState

_TAKEOVER_DELAY_S = 10.0


def _record(state: OrderState = OrderState.PENDING) -> OrderRecord:
    return OrderRecord(
        'e1', OrderKind.LOAD_VERSION, 'v2', 'nino', 'why', 0, state, 5
    )


class NextStepTest(unittest.TestCase):
    """Steps of a writer, and the slots that limit its loads."""

    def step(
        self,
        *,
        checks_fencing: bool,
        writer_since_s: float = 0,
        now_s: float = 100,
        sent_at_s: float = 0,
        has_slot: bool = True,
        is_in_effect: bool = False,
        state: OrderState = OrderState.PENDING,
    ) -> Step:
        return next_step(
            _record(state),
            ObservedServer(checks_fencing, is_in_effect),
            WriterState(writer_since_s, has_slot, sent_at_s),
            _TAKEOVER_DELAY_S,
            now_s,
        )

    def test_new_writer_waits_if_the_server_does_not_check_fencing(
        self,
    ) -> None:
        self.assertIs(
            self.step(checks_fencing=False, writer_since_s=95), Step.WAIT
        )
        self.assertIs(
            self.step(checks_fencing=False, writer_since_s=85), Step.SEND
        )
        self.assertIs(
            self.step(checks_fencing=True, writer_since_s=95), Step.SEND
        )

    def test_order_is_not_sent_without_a_slot(self) -> None:
        self.assertIs(
            self.step(checks_fencing=True, has_slot=False), Step.ACQUIRE_SLOT
        )

    def test_sent_order_finishes_when_its_effect_is_read_back(self) -> None:
        sent = OrderState.SENT
        self.assertIs(
            self.step(checks_fencing=True, state=sent, sent_at_s=99), Step.WAIT
        )
        self.assertIs(
            self.step(checks_fencing=True, state=sent, is_in_effect=True),
            Step.FINISH,
        )
        for ended in (OrderState.DONE, OrderState.REFUSED):
            self.assertIs(
                self.step(checks_fencing=True, state=ended), Step.NOTHING
            )

    def test_slots_are_limited_and_expire(self) -> None:
        slots = LoadSlots()
        for number in range(2):
            slot = LoadSlot(f'e{number}', 1, 50)
            acquired = slots.acquire(slot, 2, 0)
            assert acquired is not None
            slots = acquired
        third = LoadSlot('e3', 1, 90)
        self.assertIsNone(slots.acquire(third, 2, 10))
        self.assertIsNotNone(slots.acquire(third, 2, 60))
        self.assertIsNotNone(slots.release('e0', 10).acquire(third, 2, 10))


class OrderExecutionTest(unittest.IsolatedAsyncioTestCase):
    """
    An order is executed once on a small fleet.

    Guards against a second order while one is open, and against an outdated
    fencing number.
    """

    async def state(self, address: Address) -> str:
        _, reply, _ = await send_request(address, '/admin/orders')
        state: str = reply['orders'][0]['state']
        return state

    async def test_order_is_executed_by_one_writer(self) -> None:
        async with Fleet(FleetPlan(daemons=3, engines=2)) as fleet:
            document = fleet.base_document()
            document['servers']['engine-0']['checks_fencing'] = True
            revision = await fleet.apply(document)
            async with asyncio.timeout(8):
                while any(
                    daemon.status().revision < revision
                    for daemon in fleet.daemons
                ):
                    await asyncio.sleep(0.05)
            body = {
                'server': 'engine-0',
                'kind': 'load_version',
                'argument': 'v2',
                'reason': 'test',
            }
            address = fleet.daemons[0].address
            status, _, _ = await send_request(
                address, '/admin/orders', 'POST', json=body
            )
            self.assertEqual(status, 200)
            status, reply, _ = await send_request(
                address, '/admin/orders', 'POST', json=body
            )
            self.assertEqual((status, reply['error']['code']), (409, '5001'))
            async with asyncio.timeout(15):
                while await self.state(address) != 'done':
                    await asyncio.sleep(0.1)
            engine = fleet.engines_by_name['engine-0']
            self.assertEqual(engine.profile.version, 'v2')
            self.assertEqual(len(engine.orders), 1)
            stale = {'kind': 'load_version', 'version': 'v0', 'fencing': 1}
            status, _, _ = await send_request(
                engine.address, '/v1/orders', 'POST', json=stale
            )
            self.assertEqual(status, 409)
            self.assertEqual(engine.profile.version, 'v2')
