"""Orders that are read or written again after a return of the store."""

import dataclasses
import unittest

from ...store import StoreRevision
from ..order import MoveOrder, find_move_id
from ..record import MoveRecord, MoveState

_ORDER = MoveOrder('shop', 'v2', 12, StoreRevision(1, 54))


def _record(move_id: str, version: str, created_at_s: float) -> MoveRecord:
    return MoveRecord(
        move_id=move_id,
        subject='shop',
        old_version='v1',
        new_version=version,
        created_at_s=created_at_s,
        deadline_at_s=created_at_s + 12,
        operator='operator',
        reason='ordered',
        state=MoveState.ROLLED_BACK,
    )


class RepeatedOrderTest(unittest.TestCase):
    """
    One order stays one move, whatever revision the store gives it.

    Pattern: a version is taken back, the store forgets the order, and the
    operator writes it again; later the operator orders it anew.
    """

    def setUp(self) -> None:
        self.first = _record(_ORDER.own_move_id, 'v2', 100)
        self.other = _record('shop-60', 'v3', 120)
        self.records = (self.first, self.other)
        self.again = dataclasses.replace(
            _ORDER, revision=StoreRevision(2, 31), may_be_repeated=True
        )

    def test_order_written_again_is_the_same_move(self) -> None:
        found = find_move_id(self.again, self.records)
        self.assertEqual(found, 'shop-54')

    def test_order_given_later_is_another_move(self) -> None:
        later = dataclasses.replace(self.again, may_be_repeated=False)
        self.assertEqual(find_move_id(later, self.records), 'shop-2.31')

    def test_begun_move_of_an_order_comes_first(self) -> None:
        begun = _record('shop-2.31', 'v2', 140)
        found = find_move_id(self.again, (*self.records, begun))
        self.assertEqual(found, 'shop-2.31')

    def test_revision_given_out_again_is_another_move(self) -> None:
        other = dataclasses.replace(self.again, revision=StoreRevision(2, 54))
        unlike = dataclasses.replace(other, new_version='v9')
        self.assertEqual(find_move_id(unlike, self.records), 'shop-2.54')

    def test_other_window_is_another_order(self) -> None:
        longer = dataclasses.replace(self.again, window_s=60)
        self.assertEqual(find_move_id(longer, self.records), 'shop-2.31')


if __name__ == '__main__':
    unittest.main()
