"""Orders reach a server once and in order; loads keep to the budget."""

import asyncio
import unittest

from ...daemon.tests.caller import ask
from ...standins.fleet import Fleet, FleetPlan
from ...utils import Address
from ..budget import LoadSlot, LoadSlots
from ..decisions import ServerSight, Step, WriterState, next_step
from ..record import OrderKind, OrderRecord, OrderState

_QUIET_S = 10.0


def _record(state: OrderState = OrderState.PENDING) -> OrderRecord:
    return OrderRecord(
        'e1', OrderKind.LOAD_VERSION, 'v2', 'nino', 'why', 0, state, 5
    )


class DecisionTest(unittest.TestCase):
    """Next steps of a writer."""

    def step(
        self,
        *,
        checks: bool,
        since_s: float = 0,
        now_s: float = 100,
        sent_at_s: float = 0,
        has_slot: bool = True,
        is_in_effect: bool = False,
        state: OrderState = OrderState.PENDING,
    ) -> Step:
        return next_step(
            _record(state),
            ServerSight(checks, is_in_effect),
            WriterState(since_s, has_slot, sent_at_s),
            _QUIET_S,
            now_s,
        )

    def test_new_writer_stays_quiet_if_the_server_checks_nothing(self) -> None:
        self.assertIs(self.step(checks=False, since_s=95), Step.WAIT)
        self.assertIs(self.step(checks=False, since_s=85), Step.SEND)
        self.assertIs(self.step(checks=True, since_s=95), Step.SEND)

    def test_no_load_without_a_slot(self) -> None:
        self.assertIs(self.step(checks=True, has_slot=False), Step.TAKE_SLOT)

    def test_done_only_once_read_back_after_sending(self) -> None:
        sent = OrderState.SENT
        self.assertIs(
            self.step(checks=True, state=sent, sent_at_s=99), Step.WAIT
        )
        self.assertIs(
            self.step(checks=True, state=sent, is_in_effect=True), Step.FINISH
        )
        for ended in (OrderState.DONE, OrderState.REFUSED):
            self.assertIs(self.step(checks=True, state=ended), Step.NOTHING)

    def test_budget_is_shared_and_runs_out(self) -> None:
        slots = LoadSlots()
        for number in range(2):
            wanted = LoadSlot(f'e{number}', 1, 50)
            taken = slots.take(wanted, 2, 0)
            assert taken is not None
            slots = taken
        third = LoadSlot('e3', 1, 90)
        self.assertIsNone(slots.take(third, 2, 10))
        self.assertIsNotNone(slots.take(third, 2, 60))
        self.assertIsNotNone(slots.give_back('e0', 10).take(third, 2, 10))


class OrderTest(unittest.IsolatedAsyncioTestCase):
    """An order on a small fleet."""

    async def state(self, address: Address) -> str:
        _, reply, _ = await ask(address, '/admin/orders')
        state: str = reply['orders'][0]['state']
        return state

    async def test_order_is_carried_out_by_one_writer(self) -> None:
        async with Fleet(FleetPlan(daemons=3, engines=2)) as fleet:
            document = fleet.document()
            document['servers']['engine-0']['checks_fencing'] = True
            number = await fleet.apply(document)
            async with asyncio.timeout(8):
                while any(
                    each.status().revision < number for each in fleet.daemons
                ):
                    await asyncio.sleep(0.05)
            body = {
                'server': 'engine-0',
                'kind': 'load_version',
                'argument': 'v2',
                'reason': 'test',
            }
            address = fleet.daemons[0].address
            status, _, _ = await ask(
                address, '/admin/orders', 'POST', json=body
            )
            self.assertEqual(status, 200)
            status, reply, _ = await ask(
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
            status, _, _ = await ask(
                engine.address, '/v1/orders', 'POST', json=stale
            )
            self.assertEqual(status, 409)
            self.assertEqual(engine.profile.version, 'v2')
