"""Tests of header forwarding, system headers and header decoding."""

import unittest

from ...upstream import (
    AnswerHead,
    CallerFields,
    ForwardRequest,
    Header,
    KvCacheCopy,
    ReportedLoad,
    SendPlan,
)
from ...utils import Address, BronzesillError, ResultCode
from ..headers import PlatformDialect


def _headers(*lines: bytes) -> tuple[Header, ...]:
    pairs = (line.split(b': ', 1) for line in lines)
    return tuple(Header(name.lower(), text) for name, text in pairs)


def _request(**changes: object) -> ForwardRequest:
    fields: dict[str, object] = {
        'request_id': '9c41d07be2a35f68',
        'method': 'POST',
        'target': b'/lohu930//2f%2F?a=1&&b=%zz',
        'headers': _headers(b'Host: ficu95.example', b'X-Model: m'),
        'body': b'abc',
        'account': 'huka270',
        'deadline_at_s': 10.0,
    }
    return ForwardRequest(**{**fields, **changes})  # type: ignore[arg-type]


class ForwardedRequestTest(unittest.TestCase):
    """Requests as they are sent to a backend server."""

    def setUp(self) -> None:
        self.dialect = PlatformDialect()

    def test_target_and_body_are_sent_unchanged(self) -> None:
        sent = self.dialect.encode(_request(), SendPlan('i-1', 1.5))
        head, _, body = sent.partition(b'\r\n\r\n')
        self.assertTrue(
            head.startswith(b'POST /lohu930//2f%2F?a=1&&b=%zz HTTP/1.1\r\n')
        )
        self.assertEqual(body, b'abc')
        self.assertIn(b'\r\ncontent-length: 3', head)

    def test_account_server_and_remaining_time_are_set(self) -> None:
        sent = self.dialect.encode(_request(), SendPlan('i-1', 1.5))
        self.assertIn(b'x-tenant: huka270\r\n', sent)
        self.assertIn(b'x-target-instance: i-1\r\n', sent)
        self.assertIn(b'x-deadline-ms: 1500\r\n', sent)

    def test_resume_sends_last_event_id_and_copy(self) -> None:
        copy = KvCacheCopy(Address('10.0.0.1', 80), '9c41')
        plan = SendPlan(
            'i-2', 1, 12, copy_to=Address('10.0.0.2', 80), copy_from=copy
        )
        sent = self.dialect.encode(_request(), plan)
        self.assertIn(b'last-event-id: 12\r\n', sent)
        self.assertIn(b'kv-from: 10.0.0.1:80/9c41\r\n', sent)
        self.assertIn(b'x-kv-backup: 10.0.0.2:80\r\n', sent)

    def test_system_headers_of_callers_are_dropped(self) -> None:
        spoofed = _headers(
            b'X-Tenant: other',
            b'X-Target-Instance: i-9',
            b'X-Deadline-Ms: 99',
            b'X-Kv-Backup: 10.0.0.9:1',
            b'Kv-From: 10.0.0.9:1/x',
            b'X-Cache-Retention: 1',
            b'X-Pin-Ms: 5',
            b'X-Request-Priority: 0',
            b'Authorization: Bearer secret',
            b'X-Attempt-Id: 9c41',
        )
        forwarded = self.dialect.forwarded_request_headers(spoofed)
        self.assertEqual(forwarded, (Header(b'x-attempt-id', b'9c41'),))

    def test_hop_by_hop_headers_are_dropped(self) -> None:
        forwarded = self.dialect.forwarded_request_headers(
            _headers(
                b'Connection: keep-alive, X-Hop',
                b'X-Hop: 1',
                b'Keep-Alive: timeout=5',
                b'Transfer-Encoding: chunked',
                b'TE: trailers',
                b'X-Stays: 1',
            )
        )
        self.assertEqual(forwarded, (Header(b'x-stays', b'1'),))

    def test_request_id_cannot_be_removed_as_connection_option(self) -> None:
        forwarded = self.dialect.forwarded_request_headers(
            _headers(b'Connection: X-Attempt-Id', b'X-Attempt-Id: 1')
        )
        self.assertEqual(forwarded, (Header(b'x-attempt-id', b'1'),))


class DecodingTest(unittest.TestCase):
    """Headers of callers and backend servers."""

    def setUp(self) -> None:
        self.dialect = PlatformDialect()

    def test_caller_headers_are_decoded(self) -> None:
        caller = self.dialect.parse_caller_fields(
            _headers(
                b'X-Attempt-Id: 9c41',
                b'X-Deadline-Ms: 600',
                b'Last-Event-Id: 12',
                b'X-Token-Usage: 1460,80',
                b'Authorization: Bearer k1',
            )
        )
        self.assertEqual(caller, CallerFields('9c41', 0.6, 12, 1460, 80, 'k1'))

    def test_request_id_is_read_despite_malformed_headers(self) -> None:
        headers = _headers(b'X-Attempt-Id: 9c41', b'X-Deadline-Ms: soon')
        self.assertEqual(self.dialect.request_id(headers), '9c41')
        self.assertEqual(self.dialect.request_id(()), '')

    def test_malformed_number_is_rejected(self) -> None:
        with self.assertRaises(BronzesillError) as caught:
            self.dialect.parse_caller_fields(_headers(b'X-Deadline-Ms: soon'))
        self.assertIs(caught.exception.code, ResultCode.FIELD_INVALID)

    def test_response_must_echo_the_request_id(self) -> None:
        matching = AnswerHead(
            200, _headers(b'X-Attempt-Id: 9c41d07be2a35f68'), True
        )
        other = AnswerHead(200, _headers(b'X-Attempt-Id: other'), True)
        missing = AnswerHead(200, (), True)
        request = _request()
        self.assertTrue(self.dialect.is_answer_to(matching, request))
        self.assertFalse(self.dialect.is_answer_to(other, request))
        self.assertFalse(self.dialect.is_answer_to(missing, request))

    def test_only_explicit_statements_count_as_not_run(self) -> None:
        not_executed = AnswerHead(503, _headers(b'X-Not-Executed: 1'), True)
        misdirected = AnswerHead(421, (), True)
        failed = AnswerHead(503, (), True)
        self.assertTrue(self.dialect.is_not_executed(not_executed))
        self.assertTrue(self.dialect.is_not_executed(misdirected))
        self.assertFalse(self.dialect.is_not_executed(failed))

    def test_load_is_decoded(self) -> None:
        reported = AnswerHead(200, _headers(b'X-Instance-Load: 3,1,8'), True)
        load = self.dialect.load(reported)
        assert load is not None
        self.assertEqual((load.running, load.waiting, load.slots), (3, 1, 8))
        malformed = AnswerHead(200, _headers(b'X-Instance-Load: 3,x'), True)
        self.assertIsNone(self.dialect.load(malformed))


class LoadTest(unittest.TestCase):
    """Load of a server, as told in the head of an answer."""

    def test_three_numbers_tell_no_slowdown(self) -> None:
        self.assertEqual(self._load(b'3,0,8'), ReportedLoad(3, 0, 8))

    def test_fourth_number_is_the_slowdown(self) -> None:
        """A load of four numbers was dropped, so that no load was known."""
        self.assertEqual(
            self._load(b'3, 1, 8, 250'), ReportedLoad(3, 1, 8, 2.5)
        )

    def test_malformed_slowdown_leaves_the_load_known(self) -> None:
        for text in (b'3,0,8,', b'3,0,8,x', b'3,0,8,-1', b'3,0,8,0'):
            with self.subTest(text):
                self.assertEqual(self._load(text), ReportedLoad(3, 0, 8))

    def test_slowdown_is_bounded(self) -> None:
        self.assertEqual(self._load(b'3,0,8,999999'), ReportedLoad(3, 0, 8, 20))
        self.assertEqual(self._load(b'3,0,8,1'), ReportedLoad(3, 0, 8, 0.1))

    def test_further_numbers_are_ignored(self) -> None:
        self.assertEqual(self._load(b'3,0,8,100,7'), ReportedLoad(3, 0, 8, 1))

    def _load(self, text: bytes) -> ReportedLoad | None:
        head = AnswerHead(200, (Header(b'x-instance-load', text),), True, 0)
        return PlatformDialect().load(head)
