"""
Conditional writes across a return of the store from an older copy.

Pattern: the store gives out revisions and leases again; a write that rests on
what was read before is sent, or executed, after it.
"""

import unittest

from ...platform.store import PlatformStore
from ...standins.store import StoreStandIn
from ...utils import Address, BronzesillError, ResultCode
from ..guarded import GuardedStore
from ..interfaces import Lease, Mutation
from ..revision import StoreRevision

_KEY = '/record'


class GuardedStoreTest(unittest.IsolatedAsyncioTestCase):
    """What rests on an earlier era is not written in a later one."""

    async def asyncSetUp(self) -> None:
        self.standin = StoreStandIn(Address('127.0.0.1', 0))
        await self.standin.start()
        self.stores = [self.open_store() for _ in range(2)]

    async def asyncTearDown(self) -> None:
        for store in self.stores:
            store.close()
        await self.standin.stop()

    def open_store(self) -> GuardedStore:
        return GuardedStore(PlatformStore(self.standin.address))

    async def write(
        self, writer: int, expected: StoreRevision | None, payload: bytes
    ) -> StoreRevision | None:
        mutations = (Mutation(_KEY, payload),)
        return await self.stores[writer].compare_and_swap(
            _KEY, expected, mutations
        )

    async def lose_a_write(self) -> StoreRevision:
        """Return the revision of a write that is lost and given out again."""
        await self.write(0, None, b'first')
        copy = self.standin.state.copy()
        entry = await self.stores[0].get(_KEY)
        assert entry is not None
        read = await self.write(0, entry.revision, b'lost')
        assert read is not None
        await self.standin.restore(copy)
        stored = await self.stores[1].get(_KEY)
        assert stored is not None
        self.standin.state.revision = read.number - 1
        again = await self.write(1, stored.revision, b'other')
        assert again is not None
        self.assertEqual(again.number, read.number)
        return read

    # Guards against a write that replaces what it has never seen, as the
    # store has given out its revision again.
    async def test_revision_given_out_again_is_no_condition(self) -> None:
        read = await self.lose_a_write()
        self.assertIsNone(await self.write(0, read, b'overwritten'))
        entry = await self.stores[0].get(_KEY)
        assert entry is not None
        self.assertEqual(entry.payload, b'other')

    # Guards against a write that is taken for done although the store executed
    # it in an era in which others may replace it.
    async def test_write_executed_in_a_later_era_is_not_taken_for_done(
        self,
    ) -> None:
        first = await self.write(0, None, b'first')
        await self.standin.restore(self.standin.state.copy())
        with self.assertRaises(BronzesillError) as caught:
            await self.write(0, first, b'late')
        self.assertIs(caught.exception.code, ResultCode.STORE_ANSWER_LOST)

    # Guards against a lease of somebody else that is renewed or revoked, as
    # the store has given out its number again.
    async def test_lease_given_out_again_is_not_touched(self) -> None:
        await self.stores[0].get(_KEY)
        copy = self.standin.state.copy()
        lost = await self.stores[0].grant_lease(5)
        await self.standin.restore(copy)
        other = await self.stores[1].grant_lease(5)
        self.assertEqual(other, Lease(lost.lease_id, lost.era + 1))
        mutation = Mutation('/others', b'x', other)
        await self.stores[1].compare_and_swap('/others', None, (mutation,))
        self.assertFalse(await self.stores[0].renew_lease(lost))
        await self.stores[0].revoke_lease(lost)
        self.assertIsNotNone(await self.stores[1].get('/others'))
        bound = Mutation('/mine', b'x', lost)
        self.assertIsNone(
            await self.stores[0].compare_and_swap('/mine', None, (bound,))
        )

    async def test_writes_go_on_in_the_new_era(self) -> None:
        await self.lose_a_write()
        entry = await self.stores[0].get(_KEY)
        assert entry is not None
        written = await self.write(0, entry.revision, b'next')
        assert written is not None
        self.assertEqual(written.era, self.standin.state.era)


if __name__ == '__main__':
    unittest.main()
