"""Answers that end with their connection; no network is used."""

import unittest

from ..completeness import (
    TransmissionState,
    find_incompleteness,
    needs_reset_wait,
)

_WRITTEN = TransmissionState(0, 0.001)
_READ = TransmissionState(0, 0.05)
_LATER = TransmissionState(0, 0.6)
_UNSENT = TransmissionState(9, 0.001)


class DoubtTest(unittest.TestCase):
    """Each case tells a server that gave up from one that answered."""

    def test_small_requests(self) -> None:
        self.assertFalse(find_incompleteness(100, _WRITTEN, _WRITTEN))
        self.assertFalse(find_incompleteness(100, _UNSENT, _WRITTEN))
        self.assertFalse(needs_reset_wait(100))

    # Guards against a part of an answer to an upload that is still written.
    def test_unsent_request(self) -> None:
        for size in (100, 100_000):
            self.assertTrue(find_incompleteness(size, _UNSENT, _UNSENT))
            self.assertTrue(find_incompleteness(size, _READ, _UNSENT))

    # Guards against a system that acknowledges what its program never reads.
    def test_early_answer_to_an_acknowledged_upload(self) -> None:
        self.assertTrue(find_incompleteness(100_000, _WRITTEN, _WRITTEN))
        self.assertTrue(find_incompleteness(100_000, _UNSENT, _READ))

    def test_answer_to_an_upload_that_was_read(self) -> None:
        self.assertFalse(find_incompleteness(100_000, _READ, _READ))
        self.assertTrue(needs_reset_wait(100_000))

    # Guards against streams of long prompts, whose head is sent at once,
    # that are taken for broken ones at their end.
    def test_long_answer_that_began_early(self) -> None:
        self.assertFalse(find_incompleteness(100_000, _WRITTEN, _LATER))
        self.assertFalse(find_incompleteness(50_000, _WRITTEN, _WRITTEN))


if __name__ == '__main__':
    unittest.main()
