"""Splitting of event streams meets bytes of any kind."""

import unittest

from hypothesis import example, given
from hypothesis import strategies as st

from ...utils import MAX_INTEGER
from ...utils.tests.odd_values import FUZZ_SETTINGS
from ..event_stream import EventSplitter

_PIECES = st.sampled_from(
    (
        b'id: 1\n',
        b'id: -1\n',
        b'id: 99999999999999999999\n',
        b'id:\n',
        b'id: 1\r\n',
        b'data: x\n',
        b'\n',
        b'\n\n',
        b'\xff\x00',
        b'HTTP/1.1 500 x\r\n\r\n',
    )
)


class EventFuzzTest(unittest.TestCase):
    """No byte of a complete event is lost, and numbers are bounded."""

    @FUZZ_SETTINGS
    @given(st.lists(st.one_of(_PIECES, st.binary(max_size=20)), max_size=9))
    @example([b'id: %b\n\n' % (b'9' * 5000)])
    def test_any_bytes(self, pieces: list[bytes]) -> None:
        splitter = EventSplitter()
        events = [event for piece in pieces for event in splitter.feed(piece)]
        joined = ''.join(event.text for event in events).encode('latin-1')
        self.assertTrue(b''.join(pieces).startswith(joined))
        for event in events:
            self.assertTrue(0 <= (event.number or 0) <= MAX_INTEGER)
