"""Limits that backend servers name in the heads of their answers."""

import unittest

from ...upstream import AnswerHead, Header
from ..headers import PlatformDialect


class LimitHeaderTest(unittest.TestCase):
    """Only a decimal number is a limit."""

    def test_decode(self) -> None:
        expected_by_text = {
            b'2.6': 2.6,
            b'4': 4,
            b'0': 0,
            b'': None,
            b'-1': None,
            b'nan': None,
            b'1e9': None,
        }
        for text, expected in expected_by_text.items():
            head = AnswerHead(200, (Header(b'server-limit', text),), True)
            self.assertEqual(PlatformDialect().request_limit(head), expected)

    def test_decode_rejections(self) -> None:
        dialect = PlatformDialect()
        for text, expected in ((b'4', 4), (b'', None), (b'x', None)):
            head = AnswerHead(200, (Header(b'server-brittle', text),), True)
            self.assertEqual(dialect.rejection_limit(head), expected)
