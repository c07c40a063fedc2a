"""
Data classes as sequences of their values, the form of messages.

A message of another build may have fewer or more values at its end.
"""

import dataclasses
import unittest
from typing import Any

from ..addresses import Address
from ..converter import DocumentInvalid, structure_fields, unstructure_fields

_LARGEST = 2**64 - 1


@dataclasses.dataclass(frozen=True)
class _Part:
    name: str
    count: int = 3


@dataclasses.dataclass(frozen=True)
class _Whole:
    ratio: float
    parts: tuple[_Part, ...]
    address: Address
    payload: bytes = b''
    is_last: bool = False
    nested: _Part | None = None


_WHOLE = _Whole(
    0.5, (_Part('a', 1), _Part('b')), Address('10.0.0.1', 80), b'x', True
)
_VALUES = (0.5, [('a', 1), ('b', 3)], '10.0.0.1:80', b'x', True, None)


class FieldsTest(unittest.TestCase):
    """Values are read back as they were, or rejected."""

    def check_rejected(self, position: int, *odd_values: Any) -> None:
        for odd in odd_values:
            values = list(_VALUES)
            values[position] = odd
            with self.subTest(odd=odd), self.assertRaises(DocumentInvalid):
                structure_fields(values, _Whole)

    # Guards against another form, which earlier builds could not read.
    def test_values_are_nested_sequences_in_the_order_of_fields(self) -> None:
        self.assertEqual(unstructure_fields(_WHOLE), _VALUES)
        self.assertEqual(structure_fields(_VALUES, _Whole), _WHOLE)

    def test_omitted_values_at_the_end_take_their_defaults(self) -> None:
        read = structure_fields([0.5, [['a']], '10.0.0.1:80'], _Whole)
        parts = (_Part('a'),)
        self.assertEqual(read, _Whole(0.5, parts, Address('10.0.0.1', 80)))

    def test_required_values_must_not_be_omitted(self) -> None:
        with self.assertRaises(DocumentInvalid):
            structure_fields(_VALUES[:2], _Whole)

    def test_surplus_values_at_the_end_are_ignored(self) -> None:
        parts = [['a', 1, 'new'], ['b', 3, None]]
        values = (0.5, parts, *_VALUES[2:], 'new')
        self.assertEqual(structure_fields(values, _Whole), _WHOLE)

    # Guards against numbers that no timer or counter can hold.
    def test_numbers_out_of_range_are_rejected(self) -> None:
        odd = (float('nan'), float('inf'), _LARGEST + 1, -_LARGEST - 1)
        self.check_rejected(0, *odd, True, '1')
        for count in (*odd[2:], 1.0, True, '1', None):
            self.check_rejected(1, [['a', count]])
        for count in (0, _LARGEST, -_LARGEST):
            self.assertEqual(structure_fields(['a', count], _Part).count, count)

    def test_whole_number_is_read_as_one_with_a_fraction(self) -> None:
        read = structure_fields((2, *_VALUES[1:]), _Whole)
        self.assertIsInstance(read.ratio, float)

    def test_values_of_other_types_are_rejected(self) -> None:
        self.check_rejected(1, 1, None, [1], [['a', 1], 2])
        self.check_rejected(2, b'10.0.0.1:80', 80, 'x')
        self.check_rejected(3, 'x', 4, None)
        self.check_rejected(4, 1, 'x', None)


if __name__ == '__main__':
    unittest.main()
