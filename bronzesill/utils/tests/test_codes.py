"""Tests of the result codes and their documentation."""

import unittest
from pathlib import Path

from ..errors import HTTP_STATUS_BY_CODE, ResultCode

_TABLE = Path(__file__).parents[3] / 'docs' / 'result_codes.rst'


class ResultCodesTest(unittest.TestCase):
    """The documented table matches the enumeration."""

    def test_table_lists_each_code(self) -> None:
        rows = [line.split() for line in _TABLE.read_text().splitlines()]
        listed = {
            (row[0], row[1])
            for row in rows
            if len(row) > 3 and row[0].isdecimal()
        }
        expected = {(str(int(code)), code.name.lower()) for code in ResultCode}
        self.assertEqual(listed, expected)

    def test_error_codes_have_error_statuses(self) -> None:
        self.assertTrue(
            all(status >= 400 for status in HTTP_STATUS_BY_CODE.values())
        )
