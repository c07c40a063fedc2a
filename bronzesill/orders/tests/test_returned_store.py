"""Orders around a return of the store from an older copy."""

import unittest

from ...platform.store import PlatformStore
from ...standins.store import StoreStandIn
from ...store import GuardedStore
from ...utils import Address
from ..decisions import ObservedServer, Step, WriterState, next_step
from ..record import OrderKind, OrderRecord
from ..repository import OrderRepository


class ReturnedStoreTest(unittest.IsolatedAsyncioTestCase):
    """
    Fencing numbers only grow.

    Pattern: orders are created, the store comes back from a copy without
    them, gives out its revisions again, and operators order anew.
    """

    async def asyncSetUp(self) -> None:
        self.standin = StoreStandIn(Address('127.0.0.1', 0))
        await self.standin.start()
        self.store = GuardedStore(PlatformStore(self.standin.address))
        self.repository = OrderRepository(self.store)

    async def asyncTearDown(self) -> None:
        self.store.close()
        await self.standin.stop()

    async def create(self, version: str) -> OrderRecord:
        record = OrderRecord(
            'e1', OrderKind.LOAD_VERSION, version, 'nino', 'why', 0
        )
        return await self.repository.create(record)

    # Guards against a new order that a server refuses, or takes for an older
    # one, as the store has given out its fencing number before.
    async def test_fencing_number_is_not_given_out_again(self) -> None:
        await self.store.list('/')
        copy = self.standin.state.copy()
        self.standin.state.revision += 100
        lost = await self.create('v2')
        await self.standin.restore(copy)
        ordered = await self.create('v3')
        self.assertGreater(ordered.fencing, lost.fencing)
        stored = (await self.repository.list())[0]
        self.assertEqual(stored.record.fencing, ordered.fencing)


class OlderOrderTest(unittest.TestCase):
    """An order that the older copy shows as not sent."""

    # Guards against an order that goes out a second time though its effect can
    # be read back.
    def test_order_in_effect_is_not_sent_again(self) -> None:
        record = OrderRecord(
            'e1', OrderKind.LOAD_VERSION, 'v2', 'nino', 'why', 100
        )
        observed = ObservedServer(checks_fencing=True, is_in_effect=True)
        writer = WriterState(0, has_slot=True)
        for returned_at_s, expected in ((99, Step.SEND), (101, Step.FINISH)):
            step = next_step(
                record.as_known_after(returned_at_s), observed, writer, 10, 120
            )
            self.assertIs(step, expected)


if __name__ == '__main__':
    unittest.main()
