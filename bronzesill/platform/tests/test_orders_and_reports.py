"""Orders, statuses, reports and events, good and bad."""

import unittest

import orjson

from ...moves import MoveOrder, OrderStatus
from ...store import StoredEntry
from ..reports import decode_cache_events, decode_engine_report
from ..rollouts import (
    ORDER_PREFIX,
    decode_order,
    decode_status,
    status_key,
    status_mutation,
)

_REPORT = {
    'phase': 'prefill_decode',
    'models': [{'name': 'm', 'version': 1, 'adapters': []}],
    'busy': False,
    'sequence': 2,
    'queued': 1,
    'active': 12,
    'kvUsed': 41000,
    'kvTotal': 90000,
    'cacheHandles': 0,
    'born': 1700000000123,
    'leaves_ms': 1500,
    'runs': [['9c41', 1460, 12, 5]],
}


def _entry(payload: bytes, *, is_removed: bool = False) -> StoredEntry:
    return StoredEntry(f'{ORDER_PREFIX}shop', payload, 7, is_removed)


class OrderTest(unittest.TestCase):
    """Orders are read once into a type; others name no order."""

    def test_order(self) -> None:
        payload = b'{"service":"shop","target":"v2","durationS":12}'
        order = decode_order(_entry(payload))
        self.assertEqual(order, MoveOrder('shop', 'v2', 12, 7))
        self.assertIsNone(decode_order(_entry(payload, is_removed=True)))

    def test_unreadable_order(self) -> None:
        for payload in (b'', b'[]', b'{}', b'\xff', b'{"service":"shop"}'):
            self.assertIsNone(decode_order(_entry(payload)))

    def test_status_is_read_as_it_was_written(self) -> None:
        for status in (
            OrderStatus('shop', 'v2'),
            OrderStatus('shop', 'v2', is_done=True),
            OrderStatus('shop', 'v2', is_taken_back=True),
        ):
            mutation = status_mutation(status)
            self.assertEqual(mutation.key, status_key('shop'))
            self.assertEqual(decode_status(mutation.payload or b''), status)

    def test_words_that_operators_wait_for(self) -> None:
        done = status_mutation(OrderStatus('shop', 'v2', is_done=True))
        told = orjson.loads(done.payload or b'')
        self.assertEqual(told['state'], 'completed')
        self.assertEqual(told['target'], 'v2')


class ReportTest(unittest.TestCase):
    """Reports of engines and events of their caches."""

    def test_report(self) -> None:
        report = decode_engine_report(orjson.dumps(_REPORT))
        assert report is not None
        self.assertEqual((report.running, report.waiting), (12, 1))
        self.assertEqual(report.memory_used, 41000)
        self.assertEqual(report.leaves_in_s, 1.5)
        self.assertEqual(report.runs[0].run_id, '9c41')
        self.assertEqual(report.runs[0].events, 12)

    def test_unreadable_report(self) -> None:
        for payload in (b'', b'[]', b'{}', b'{"active":"many"}'):
            self.assertIsNone(decode_engine_report(payload))

    def test_cache_events(self) -> None:
        raw = {
            'epoch': 3,
            'next': 9,
            'lost': True,
            'events': [
                [7, '+', '', '5c1e07a2', 800, 'm'],
                [8, '-', '', '91bd3f06', 0, 'm'],
            ],
        }
        found = decode_cache_events(orjson.dumps(raw))
        assert found is not None
        self.assertTrue(found.is_gap)
        self.assertEqual((found.epoch, found.next_number), (3, 9))
        kept, dropped = found.events
        self.assertTrue(kept.is_kept)
        self.assertFalse(dropped.is_kept)
        self.assertEqual(kept.part, '5c1e07a2')

    def test_unreadable_cache_events(self) -> None:
        for payload in (
            b'',
            b'{}',
            b'{"epoch":1,"next":1,"lost":0,"events":[1]}',
        ):
            self.assertIsNone(decode_cache_events(payload))
