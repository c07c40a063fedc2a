"""
Which part of a prompt is blamed when servers crash.

Pattern: prompts with one part crash servers while whole failure domains die
and sound prompts with the same other parts are on the same servers.
"""

import itertools
import unittest
from random import Random

from ...store import StoredEntry, StoreRevision
from ..evidence import Crash, Evidence, EvidenceTable
from ..record import (
    BlockedSuspects,
    SuspectRecord,
    fact_of,
    record_from_entry,
    record_from_fact,
)

_HOUR_S = 3600


def _evidence(*crashes: Crash) -> Evidence:
    evidence = Evidence()
    for crash in crashes:
        evidence = evidence.with_crash(crash)
    return evidence


def _follow_up(domains: str, request: str) -> tuple[Crash, ...]:
    """Return losses under a request, 20 ms apart, by failure domain."""
    return tuple(
        Crash(
            f'{request}.{number}',
            request,
            1 + number / 50,
            began_at_s=1 + (number - 1) / 50,
            failure_domain=domain,
        )
        for number, domain in enumerate(domains)
    )


def _block(part: str, *companions: str) -> SuspectRecord:
    record = BlockedSuspects().block(part, 0, frozenset(companions))
    assert record is not None
    return record


class BlameTest(unittest.TestCase):
    """Only a part on which no answer ever begins is blamed."""

    def test_three_servers_two_requests(self) -> None:
        first = (Crash('a', 'r1', 1), Crash('b', 'r1', 2))
        self.assertFalse(_evidence(*first).is_conclusive)
        self.assertTrue(_evidence(*first).is_suspected)
        again = _evidence(*first, Crash('c', 'r1', 3))
        self.assertFalse(again.is_conclusive)
        other = _evidence(*first, Crash('c', 'r2', 3))
        self.assertTrue(other.is_conclusive)

    def test_failure_domain_dies(self) -> None:
        crashes = (
            Crash(f's{number}', f'r{number}', 1 + number / 100)
            for number in range(9)
        )
        self.assertFalse(_evidence(*crashes).is_suspected)

    # Guards against attempts of one request that follow each other within
    # milliseconds being counted as one loss.
    def test_attempts_that_follow_each_other(self) -> None:
        evidence = _evidence(*_follow_up('abc', 'r1'), *_follow_up('def', 'r2'))
        self.assertTrue(evidence.is_conclusive)
        same_domain = _evidence(
            *_follow_up('aaa', 'r1'), *_follow_up('aaa', 'r2')
        )
        self.assertFalse(same_domain.is_suspected)
        answered = Evidence().with_start(0)
        for crash in _follow_up('abc', 'r1'):
            answered = answered.with_crash(crash)
        self.assertFalse(answered.is_suspected)

    def test_reports_out_of_order(self) -> None:
        crashes = [
            Crash(f's{number}', f'r{number}', number) for number in range(3)
        ]
        for shuffled in itertools.permutations(crashes):
            self.assertTrue(_evidence(*shuffled).is_conclusive)

    def test_parts_that_all_have_are_companions(self) -> None:
        crashes = [
            Crash(f's{n}', f'r{n}', n, frozenset(('first', f'x{n}')))
            for n in range(3)
        ]
        self.assertEqual(_evidence(*crashes).companions, {'first'})
        cleared = Crash('s9', 'r9', 9)
        self.assertEqual(_evidence(*crashes, cleared).companions, frozenset())

    def test_answer_that_began_clears(self) -> None:
        evidence = _evidence(
            Crash('a', 'r1', 1),
            Crash('b', 'r2', 2),
            Crash('c', 'r3', 3),
        ).with_start(2.5)
        self.assertFalse(evidence.is_suspected)
        late = evidence.with_crash(Crash('d', 'r4', 2))
        self.assertEqual(late, evidence)

    def test_old_crashes_lapse(self) -> None:
        evidence = _evidence(
            Crash('a', 'r1', 1),
            Crash('b', 'r2', 2),
            Crash('c', 'r3', _HOUR_S),
        )
        self.assertFalse(evidence.is_suspected)

    # Domains die every 2 s and each loss is answered elsewhere a second
    # later: sound parts of any popularity stay clear.
    def test_sound_parts_on_hard_days(self) -> None:
        for seed in range(200):
            random = Random(seed)
            evidence = Evidence()
            for death in range(30):
                at_s = 2 * death
                for lost in range(random.randint(0, 6)):
                    crash = Crash(
                        f's{death}.{lost}',
                        f'r{random.randint(0, 9)}',
                        at_s + random.random() / 10,
                    )
                    evidence = evidence.with_crash(crash)
                    self.assertFalse(evidence.is_conclusive)
                evidence = evidence.with_start(at_s + 1.2)


class TableTest(unittest.TestCase):
    """Memory is bounded; the parts of one prompt are judged one by one."""

    def test_bounded(self) -> None:
        table = EvidenceTable()
        for number in range(3000):
            table = table.with_crash(str(number), Crash('s', 'r', 1))
        self.assertLessEqual(len(table.by_suspect), 1024)
        self.assertIn('2999', table.by_suspect)


class BlocklistTest(unittest.TestCase):
    """Blocks end, can be lifted and never come back by an older record."""

    def test_block_lapses_and_doubles(self) -> None:
        blocked = BlockedSuspects().with_record(_block('bad'))
        self.assertEqual(blocked.remaining_s(('x', 'bad'), 100), 500)
        self.assertEqual(blocked.remaining_s(('x',), 100), 0)
        self.assertEqual(blocked.remaining_s(('bad',), 601), 0)
        self.assertIsNone(blocked.block('bad', 100))
        record = blocked.block('bad', 700)
        assert record is not None
        again = blocked.with_record(record)
        self.assertEqual(again.remaining_s(('bad',), 700), 1200)

    # A part that came with the cause only is refused with it alone.
    def test_unknown_cause_is_refused_as_seen(self) -> None:
        blocked = BlockedSuspects().with_record(_block('first', 'bad'))
        self.assertEqual(blocked.remaining_s(('first',), 1), 0)
        self.assertGreater(blocked.remaining_s(('bad', 'first'), 1), 0)
        wider = blocked.block('first', 2, frozenset())
        assert wider is not None
        widened = blocked.with_record(wider)
        self.assertGreater(widened.remaining_s(('first',), 3), 0)

    def test_older_record_is_ignored(self) -> None:
        record = _block('bad')
        lifted = BlockedSuspects().with_record(record.lifted(1))
        self.assertIs(lifted.with_record(record), lifted)
        self.assertEqual(lifted.remaining_s(('bad',), 2), 0)

    def test_record_by_gossip_and_store(self) -> None:
        record = _block('bad', 'first')
        self.assertEqual(record_from_fact(fact_of(record)), record)
        mutation = record.to_mutation()
        revision = StoreRevision(1, 9)
        entry = StoredEntry(mutation.key, mutation.payload or b'', revision)
        self.assertEqual(record_from_entry(entry), record)
        broken = StoredEntry(mutation.key, b'{"part": 3', revision)
        self.assertIsNone(record_from_entry(broken))
