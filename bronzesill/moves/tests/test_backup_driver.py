"""
What the second daemon that drives a move does, without network.

Pattern: reports of evidence that reached the first daemon did not reach the
second one, so that it knows too few answers of a good version.
"""

import asyncio
import time
import unittest
from typing import Any, cast

from ..driver import MoveDriver
from ..evidence import bucket_of_s
from ..exposure import ExposureLimit
from ..move_table import KnownMove, MoveTable
from ..record import MoveRecord
from ..reports import EvidenceEntry, MoveReport
from ..repository import StoredMove

_WINDOW_S = 8.0
#: Time since the order at which a commit is due or never comes.
_LAST_STAGE_S = 5.2
_ANSWERS = 20
_ANSWER_S = 0.02
_STEPS = 5


class _NoRepository:
    """Repository that counts attempts to change a move."""

    def __init__(self) -> None:
        self.reads = 0

    async def read(self, move_id: str) -> StoredMove:
        self.reads += 1
        raise OSError('no store in this test')


def _make_move(age_s: float) -> KnownMove:
    created_at_s = time.time() - age_s
    return KnownMove(
        MoveRecord(
            'm',
            'shop',
            'v1',
            'v2',
            created_at_s,
            created_at_s + _WINDOW_S,
            'nino',
            'newer',
            share=0.45,
            changed_at_s=created_at_s + 1,
        )
    )


def _make_entry(
    version: str, requests: int, failures: int = 0, server: str = 'c'
) -> EvidenceEntry:
    first_token = (bucket_of_s(_ANSWER_S), requests)
    return EvidenceEntry(
        'lookups', server, version, requests, failures, first_token
    )


class BackupDriverTest(unittest.TestCase):
    """It rolls back what is rejected or too late, and doubts nothing."""

    def drive(
        self, *entries: EvidenceEntry, is_primary: bool, age_s: float
    ) -> int:
        """Return how often a driver begins to change a move."""
        repository = _NoRepository()
        driver = MoveDriver(
            'h1',
            cast('Any', repository),
            MoveTable(),
            lambda _: None,
            ExposureLimit(),
        )

        async def drive() -> None:
            for _ in range(_STEPS):
                driver.add_report(MoveReport('m', 'h2', entries))
                await driver.drive(_make_move(age_s), is_primary=is_primary)

        try:
            asyncio.run(drive())
        except OSError:
            self.assertEqual(repository.reads, 1)
        return repository.reads

    # Guards against a good version that is rolled back by a daemon that has
    # missed reports, while the driver of the move would commit it.
    def test_backup_does_not_judge_a_lack_of_answers(self) -> None:
        old = _make_entry('v1', _ANSWERS)
        age_s = _LAST_STAGE_S
        self.assertEqual(self.drive(old, is_primary=True, age_s=age_s), 1)
        self.assertEqual(self.drive(old, is_primary=False, age_s=age_s), 0)

    def test_backup_rolls_back_a_failing_version(self) -> None:
        entries = (
            _make_entry('v1', _ANSWERS),
            _make_entry('v2', _ANSWERS, _ANSWERS, server='a'),
            _make_entry('v2', _ANSWERS, _ANSWERS, server='b'),
        )
        began = self.drive(*entries, is_primary=False, age_s=_LAST_STAGE_S)
        self.assertEqual(began, 1)

    def test_backup_rolls_back_at_the_deadline(self) -> None:
        began = self.drive(is_primary=False, age_s=_WINDOW_S + 1)
        self.assertEqual(began, 1)
