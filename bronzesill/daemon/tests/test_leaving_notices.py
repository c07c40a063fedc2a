"""Notices of leaving servers that daemons tell each other."""

import dataclasses
import unittest

from ...config import BackendServer
from ...membership import Fact, FactKind
from ...utils import Address
from ..leaving_notices import (
    HeardNotices,
    LeavingNotice,
    fact_of,
    notice_from_fact,
)

_SERVER = BackendServer(
    Address('127.0.0.1', 1), 'a', 'v1', service='shop', started_at_s=100.5
)
_NOTICE = LeavingNotice.from_server(_SERVER, 'shop-a')
_VALID_S = 30


class HeardNoticesTest(unittest.TestCase):
    """A notice of a peer holds for one start of a server, for some time."""

    def setUp(self) -> None:
        self.heard = HeardNotices().with_notice(_NOTICE, 0)

    def is_leaving(self, server: BackendServer = _SERVER) -> bool:
        return self.heard.is_leaving(server, 'shop-a')

    def test_server_leaves(self) -> None:
        self.assertTrue(self.is_leaving())
        self.assertFalse(self.heard.is_leaving(_SERVER, 'shop-b'))

    # Guards against a sound server that is avoided for what an earlier start
    # or another server at its address said.
    def test_other_starts_serve(self) -> None:
        restarted = dataclasses.replace(_SERVER, started_at_s=100.501)
        self.assertFalse(self.is_leaving(restarted))
        moved = dataclasses.replace(_SERVER, address=Address('127.0.0.1', 2))
        self.assertFalse(self.is_leaving(moved))

    # The entry of the later start may not have been read yet.
    def test_later_start_leaves(self) -> None:
        before = dataclasses.replace(_SERVER, started_at_s=90)
        self.assertTrue(self.is_leaving(before))

    # Guards against a sound server that is avoided for ever because a peer
    # was wrong.
    def test_notice_ends_though_it_is_told_again(self) -> None:
        again = self.heard.with_notice(_NOTICE, _VALID_S - 1)
        self.assertIs(again, self.heard)
        self.assertIs(again.without_expired(_VALID_S - 1), again)
        self.heard = again.without_expired(_VALID_S)
        self.assertFalse(self.is_leaving())

    def test_notice_of_an_earlier_start_is_ignored(self) -> None:
        earlier = dataclasses.replace(_NOTICE, started_at_ms=1)
        self.assertIs(self.heard.with_notice(earlier, 1), self.heard)

    def test_notices_are_bounded(self) -> None:
        for number in range(2000):
            notice = dataclasses.replace(_NOTICE, server=f'shop-{number}')
            self.heard = self.heard.with_notice(notice, 0)
        self.assertEqual(len(self.heard.heard_by_server), 1024)


class FactTest(unittest.TestCase):
    """Notices are told as facts, of which each address has one."""

    def test_notice_is_read_from_its_fact(self) -> None:
        self.assertEqual(notice_from_fact(fact_of(_NOTICE, 1)), _NOTICE)

    def test_starts_at_one_address_share_a_fact(self) -> None:
        later = dataclasses.replace(_NOTICE, server='x', started_at_ms=1)
        self.assertEqual(fact_of(_NOTICE, 1).name, fact_of(later, 2).name)

    def test_other_facts_are_no_notices(self) -> None:
        kind = FactKind.SERVER_SAID_LEAVING
        for text in ('', '5', 'x shop-a', '-1 shop-a', '\u00b2 shop-a', '5 '):
            with self.subTest(text=text):
                self.assertIsNone(notice_from_fact(Fact(kind, 'k', 1, text)))
        told = Fact(FactKind.SERVER_LEAVING, 'k', 1, '5 shop-a')
        self.assertIsNone(notice_from_fact(told))

    def test_known_notice_and_later_start_cover(self) -> None:
        later = dataclasses.replace(_NOTICE, started_at_ms=200_000)
        other = dataclasses.replace(_NOTICE, server='shop-b')
        self.assertTrue(_NOTICE.covers(_NOTICE))
        self.assertTrue(later.covers(_NOTICE))
        self.assertFalse(_NOTICE.covers(later))
        self.assertFalse(_NOTICE.covers(other))


if __name__ == '__main__':
    unittest.main()
