"""Decoders of the platform's documents and headers meet odd values."""

import math
import unittest
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

import orjson
from hypothesis import example, given
from hypothesis import strategies as st

from ...store import StoredEntry, StoreRevision
from ...upstream import AnswerHead, Header
from ...utils import (
    MAX_INTEGER,
    BronzesillError,
    DocumentInvalid,
    ResultCode,
)
from ...utils.tests.odd_values import FUZZ_SETTINGS, every_mutation, mutated
from ..documents import decode_document
from ..headers import PlatformDialect
from ..listen_addresses import read_listen_addresses
from ..prompts import decode_held_parts
from ..reports import decode_cache_events, decode_engine_report
from ..rollouts import decode_order, decode_status
from ..servers import decode_server
from ..settings import decode_settings
from ..store_messages import decode_changes, decode_page
from .test_decoding import _CONFIGURATION, _ENTRY, _SETTINGS
from .test_orders_and_reports import _REPORT

_DIGITS = '9' * 400
_DEEP = b'[' * 1000 + b']' * 1000
_ORDER = {'service': 'shop', 'target': 'v2', 'durationS': 12}
_STATUS = {'service': 'shop', 'target': 'v2', 'state': 'completed'}
_EVENTS = {
    'epoch': 1,
    'next': 2,
    'lost': False,
    'events': [[1, '+', '', '9c41', 12, 'm']],
}
_HELD = {'epoch': 1, 'next': 2, 'held': [['', '9c41', 12, 'm']]}
_ITEM = {'key': 'a', 'value': 'AAAA', 'revision': 4, 'compacted': False}
_PAGE = {'entries': [_ITEM], 'hasMore': False, 'atRevision': 9}
_CHANGES = {'events': [_ITEM], 'atRevision': 9}
_HEADER_TEXT = st.one_of(
    st.sampled_from(
        (
            b'',
            b'-1',
            b'9' * 16,
            b'9' * 17,
            b'9' * 5000,
            b'0' * 5000,
            b'1e9,0,1',
            b'1,2,3,4',
            b',,',
            b'\xff',
            b'+1',
            b'1_0',
            b'a:1,' * 2000,
            b'%b,%b' % (b'9' * 30, b'9' * 30),
        )
    ),
    st.binary(max_size=30),
    st.integers(0, 10**30).map(lambda number: str(number).encode()),
)


def _document(valid: Any) -> st.SearchStrategy[bytes]:
    """Return JSON of odd documents, and bytes of any kind."""
    return st.one_of(mutated(valid).map(orjson.dumps), st.binary(max_size=60))


def _entry(payload: bytes) -> StoredEntry:
    return StoredEntry('op/rollout/shop', payload, StoreRevision(1, 7))


class DocumentFuzzTest(unittest.TestCase):
    """Each decoder returns a value within bounds, or its one error."""

    @FUZZ_SETTINGS
    @given(_document(_ENTRY))
    @example(orjson.dumps({**_ENTRY, 'born': _DIGITS}))
    @example(orjson.dumps({**_ENTRY, 'address': '127.0.0.1:0'}))
    @example(_DEEP)
    def test_server(self, payload: bytes) -> None:
        self.check_server(payload)

    def check_server(self, payload: bytes) -> None:
        listed = decode_server(payload)
        if listed is None:
            return
        self.assertTrue(0 < listed.server.address.port <= 65535)
        self.assertTrue(0 < listed.server.capacity <= 65536)
        self.assertLessEqual(listed.sequence, MAX_INTEGER)
        self.assertLessEqual(0, listed.server.started_at_s)

    @FUZZ_SETTINGS
    @given(_document(_CONFIGURATION))
    @example(orjson.dumps({**_CONFIGURATION, 'version': _DIGITS}))
    @example(b'{"services":%b}' % _DEEP)
    @example(b'{"tenants":%b}' % _DEEP)
    def test_configuration(self, payload: bytes) -> None:
        self.check_configuration(payload)

    def check_configuration(self, payload: bytes) -> None:
        try:
            versioned = decode_document(payload)
        except DocumentInvalid as error:
            self.assertLess(len(str(error)), 500)
            return
        self.assertTrue(0 <= versioned.version <= MAX_INTEGER)
        for route in versioned.document.routes.values():
            self.assertTrue(0 < route.deadline_s <= 86_400)
            self.assertGreater(route.max_attempts, 0)
            self.assertTrue(0 <= route.target_latency_s <= 86_400)

    @FUZZ_SETTINGS
    @given(_document(_ORDER))
    @example(b'{"service":"s","target":%b,"durationS":1}' % _DEEP)
    def test_order(self, payload: bytes) -> None:
        self.check_order(payload)

    def check_order(self, payload: bytes) -> None:
        order = decode_order(_entry(payload), may_be_repeated=False)
        if order is not None:
            self.assertTrue(0 <= order.window_s <= 86_400)

    @FUZZ_SETTINGS
    @given(_document(_STATUS))
    def test_status(self, payload: bytes) -> None:
        self.check_status(payload)

    def check_status(self, payload: bytes) -> None:
        decode_status(payload)

    @FUZZ_SETTINGS
    @given(_document(_REPORT))
    @example(orjson.dumps({**_REPORT, 'born': _DIGITS}))
    @example(
        orjson.dumps({**_REPORT, 'runs': [['?', 1, 1, 1]]}).replace(
            b'"?"', _DEEP
        )
    )
    def test_report(self, payload: bytes) -> None:
        self.check_report(payload)

    def check_report(self, payload: bytes) -> None:
        report = decode_engine_report(payload)
        if report is not None:
            self.assertTrue(0 <= report.memory_used <= MAX_INTEGER)
            self.assertTrue(math.isfinite(report.leaves_in_s or 0))

    @FUZZ_SETTINGS
    @given(_document(_EVENTS))
    def test_cache_events(self, payload: bytes) -> None:
        self.check_cache_events(payload)

    def check_cache_events(self, payload: bytes) -> None:
        decode_cache_events(payload)

    @FUZZ_SETTINGS
    @given(_document(_HELD))
    @example(b'{"held":[["",%b,1]]}' % _DEEP)
    def test_held_parts(self, payload: bytes) -> None:
        self.check_held_parts(payload)

    def check_held_parts(self, payload: bytes) -> None:
        for part, tokens in decode_held_parts(payload).items():
            self.assertIsInstance(part, str)
            self.assertTrue(0 <= tokens <= MAX_INTEGER)

    @FUZZ_SETTINGS
    @given(_document(_SETTINGS))
    def test_settings(self, payload: bytes) -> None:
        self.check_settings(payload)

    def check_settings(self, payload: bytes) -> None:
        try:
            raw = orjson.loads(payload)
        except ValueError:
            return
        if not isinstance(raw, dict):
            return
        try:
            settings = decode_settings(raw)
        except DocumentInvalid:
            return
        self.assertTrue(0 < settings.peers.port <= 65535)
        self.assertTrue(math.isfinite(settings.bounds.grace_s))

    def test_each_value_replaced(self) -> None:
        for check, valid in (
            (self.check_server, _ENTRY),
            (self.check_configuration, _CONFIGURATION),
            (self.check_order, _ORDER),
            (self.check_status, _STATUS),
            (self.check_report, _REPORT),
            (self.check_cache_events, _EVENTS),
            (self.check_held_parts, _HELD),
            (self.check_settings, _SETTINGS),
        ):
            for document in every_mutation(valid):
                check(orjson.dumps(document))

    def test_settings_that_are_nested_too_deeply(self) -> None:
        with TemporaryDirectory() as directory:
            path = Path(directory, 'settings.json')
            path.write_bytes(b'[' * 100_000)
            self.assertEqual(read_listen_addresses(path), ())


class StoreFuzzTest(unittest.TestCase):
    """Answers of the store."""

    @FUZZ_SETTINGS
    @given(mutated(_PAGE))
    def test_page(self, raw: Any) -> None:
        self.check_page(raw)

    def check_page(self, raw: Any) -> None:
        try:
            page = decode_page(raw, 1)
        except BronzesillError as error:
            self.assertIs(error.code, ResultCode.STORE_UNAVAILABLE)
            return
        self.assertTrue(0 <= page.revision.number <= MAX_INTEGER)
        self.assertTrue(page.entries or not page.has_more)

    @FUZZ_SETTINGS
    @given(mutated(_CHANGES))
    def test_changes(self, raw: Any) -> None:
        self.check_changes(raw)

    def check_changes(self, raw: Any) -> None:
        try:
            changes = decode_changes(raw, 1)
        except BronzesillError as error:
            self.assertIs(error.code, ResultCode.STORE_UNAVAILABLE)
            return
        for entry in changes.entries:
            self.assertIsInstance(entry.key, str)
            self.assertTrue(0 <= entry.revision.number <= MAX_INTEGER)

    def test_each_value_replaced(self) -> None:
        for document in every_mutation(_PAGE):
            self.check_page(document)
        for document in every_mutation(_CHANGES):
            self.check_changes(document)


class HeaderFuzzTest(unittest.TestCase):
    """Headers of callers and servers."""

    def setUp(self) -> None:
        self.dialect = PlatformDialect()

    @FUZZ_SETTINGS
    @given(
        st.lists(
            st.builds(
                Header,
                st.sampled_from(
                    (
                        b'x-attempt-id',
                        b'x-deadline-ms',
                        b'x-token-usage',
                        b'x-prefix-hash',
                        b'last-event-id',
                        b'authorization',
                        b'connection',
                    )
                ),
                _HEADER_TEXT,
            ),
            max_size=6,
        )
    )
    def test_headers_of_callers(self, headers: list[Header]) -> None:
        try:
            caller = self.dialect.parse_caller_fields(tuple(headers))
        except BronzesillError as error:
            self.assertIs(error.code, ResultCode.FIELD_INVALID)
            return
        self.assertTrue(0 <= (caller.timeout_s or 0) <= MAX_INTEGER)
        self.assertTrue(0 <= caller.events_received <= MAX_INTEGER)
        self.assertTrue(0 <= caller.prompt_tokens <= 2**31)
        self.assertTrue(0 <= caller.max_output_tokens <= 2**31)
        self.assertLessEqual(len(caller.shared_prompt_parts), 256)
        self.dialect.forwarded_request_headers(tuple(headers))

    @FUZZ_SETTINGS
    @given(_HEADER_TEXT, _HEADER_TEXT, _HEADER_TEXT)
    @example(b'9' * 5000, b'', b'9' * 5000)
    @example(b'a b', b'1,2,0', b'1.5')
    def test_headers_of_servers(
        self, load: bytes, name: bytes, limit: bytes
    ) -> None:
        head = AnswerHead(
            200,
            (
                Header(b'x-instance-load', load),
                Header(b'x-instance-id', name),
                Header(b'server-limit', limit),
            ),
            has_length=True,
        )
        reported = self.dialect.load(head)
        if reported is not None:
            self.assertTrue(0 <= reported.running <= 1_000_000)
            self.assertTrue(0 <= reported.waiting <= 1_000_000)
        self.assertLessEqual(len(self.dialect.server(head)), 256)
        limit_per_s = self.dialect.request_limit(head)
        self.assertTrue(0 <= (limit_per_s or 0) < 10**9)
