"""Tests of decoding orders, statuses, reports and cache events."""

import unittest

import orjson

from ...moves import MoveOrder, OrderStatus
from ...store import StoredEntry, StoreRevision
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

_REVISION = StoreRevision(1, 7)


def _entry(payload: bytes, *, is_removed: bool = False) -> StoredEntry:
    return StoredEntry(f'{ORDER_PREFIX}shop', payload, _REVISION, is_removed)


class OrderTest(unittest.TestCase):
    """Orders of operators and their published status."""

    def test_order_is_decoded(self) -> None:
        payload = b'{"service":"shop","target":"v2","durationS":12}'
        order = decode_order(_entry(payload), may_be_repeated=False)
        self.assertEqual(order, MoveOrder('shop', 'v2', 12, _REVISION))
        self.assertIsNone(
            decode_order(
                _entry(payload, is_removed=True), may_be_repeated=False
            )
        )

    def test_malformed_order_is_ignored(self) -> None:
        for payload in (b'', b'[]', b'{}', b'\xff', b'{"service":"shop"}'):
            self.assertIsNone(
                decode_order(_entry(payload), may_be_repeated=False)
            )

    def test_status_round_trip(self) -> None:
        for status in (
            OrderStatus('shop', 'v2'),
            OrderStatus('shop', 'v2', is_done=True),
            OrderStatus('shop', 'v2', is_taken_back=True),
        ):
            mutation = status_mutation(status)
            self.assertEqual(mutation.key, status_key('shop'))
            self.assertEqual(decode_status(mutation.payload or b''), status)

    def test_status_of_completed_order(self) -> None:
        done = status_mutation(OrderStatus('shop', 'v2', is_done=True))
        document = orjson.loads(done.payload or b'')
        self.assertEqual(document['state'], 'completed')
        self.assertEqual(document['target'], 'v2')


class ReportTest(unittest.TestCase):
    """Engine reports and prompt cache events."""

    def test_report_is_decoded(self) -> None:
        report = decode_engine_report(orjson.dumps(_REPORT))
        assert report is not None
        self.assertEqual((report.running, report.waiting), (12, 1))
        self.assertEqual(report.memory_used, 41000)
        self.assertEqual(report.leaves_in_s, 1.5)
        self.assertEqual(report.runs[0].run_id, '9c41')
        self.assertEqual(report.runs[0].events, 12)

    def test_malformed_report_is_ignored(self) -> None:
        for payload in (b'', b'[]', b'{}', b'{"active":"many"}'):
            self.assertIsNone(decode_engine_report(payload))

    def test_cache_events_are_decoded(self) -> None:
        raw = {
            'epoch': 3,
            'next': 9,
            'lost': True,
            'events': [
                [7, '+', '', '5c1e07a2', 800, 'm'],
                [8, '-', '', '91bd3f06', 0, 'm'],
            ],
        }
        decoded = decode_cache_events(orjson.dumps(raw))
        assert decoded is not None
        self.assertTrue(decoded.has_gap)
        self.assertEqual((decoded.epoch, decoded.next_number), (3, 9))
        added, removed = decoded.events
        self.assertTrue(added.is_cached)
        self.assertFalse(removed.is_cached)
        self.assertEqual(added.part, '5c1e07a2')

    def test_malformed_cache_events_are_ignored(self) -> None:
        for payload in (
            b'',
            b'{}',
            b'{"epoch":1,"next":1,"lost":0,"events":[1]}',
        ):
            self.assertIsNone(decode_cache_events(payload))
