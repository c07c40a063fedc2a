"""The table of result codes in the docs is complete."""

import unittest
from pathlib import Path

from ..codes import HTTP_STATUS_BY_CODE, ResultCode

_TABLE = Path(__file__).parents[3] / 'docs' / 'result_codes.rst'


class ResultCodesTest(unittest.TestCase):
    """Codes, their numbers and their table."""

    def test_each_code_stands_in_the_table(self) -> None:
        rows = [line.split() for line in _TABLE.read_text().splitlines()]
        listed = {
            (row[0], row[1])
            for row in rows
            if len(row) > 3 and row[0].isdecimal()
        }
        expected = {(str(int(code)), code.name.lower()) for code in ResultCode}
        self.assertEqual(listed, expected)

    def test_refusals_do_not_look_like_success(self) -> None:
        self.assertTrue(
            all(status >= 400 for status in HTTP_STATUS_BY_CODE.values())
        )
