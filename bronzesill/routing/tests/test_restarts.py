"""Next starts of servers are found, other services are left alone."""

import unittest

from ...config import BackendServer, ListedServer
from ...utils import Address
from ..listing import Listing
from ..restarts import LastSigns
from ..use import ServerRestart

_REUSE_S = 2.0
_TICK_S = 0.1
_RESTART = ServerRestart('i-1', 'i-2')


def _signs(seen_at_s: float, until_s: float) -> LastSigns:
    """Return signs of a server, checked many times a second."""
    signs = LastSigns(_REUSE_S)
    tick = 0
    while tick * _TICK_S <= until_s:
        at_s = tick * _TICK_S
        if abs(at_s - seen_at_s) < _TICK_S / 2:
            signs = signs.seen('i-1', at_s)
        signs = signs.checked(at_s)
        tick += 1
    return signs


class LastSignsTest(unittest.TestCase):
    """Who answers soon after the last sign is the next start."""

    def test_soon_after_the_last_sign(self) -> None:
        signs = _signs(seen_at_s=5, until_s=6.4)
        self.assertTrue(signs.may_follow('i-1', 6.4))
        self.assertEqual(signs.due(('i-1', 'i-9'), 6.4), ('i-1',))

    def test_address_may_have_gone_to_another_service(self) -> None:
        signs = _signs(seen_at_s=5, until_s=6.9)
        self.assertFalse(signs.may_follow('i-1', 6.9))
        self.assertFalse(signs.may_follow('i-1', 7.5))

    def test_server_that_was_never_seen(self) -> None:
        signs = _signs(seen_at_s=5, until_s=5.5)
        self.assertFalse(signs.may_follow('i-9', 5.5))

    def test_bytes_that_waited_while_this_process_stood_still(self) -> None:
        signs = _signs(seen_at_s=5, until_s=5)
        # Suspended for three seconds; what is read now may be old.
        signs = signs.seen('i-1', 8).checked(8)
        self.assertFalse(signs.may_follow('i-1', 8.1))
        signs = signs.checked(8.1).seen('i-1', 8.2).checked(8.2)
        self.assertFalse(signs.may_follow('i-1', 8.3))

    def test_while_this_process_stands_still(self) -> None:
        signs = _signs(seen_at_s=5, until_s=5)
        self.assertFalse(signs.may_follow('i-1', 5.9))


class RestartedTest(unittest.TestCase):
    """A server that started anew is used until its entry is overdue."""

    def setUp(self) -> None:
        server = BackendServer(Address('10.0.0.1', 80), 'a', 'v1')
        self.listing = Listing({'i-1': ListedServer(server, is_leaving=True)})

    def test_takes_the_place_of_the_one_before(self) -> None:
        renewed = self.listing.restarted(_RESTART, 10)
        self.assertEqual(set(renewed.listed_by_name), {'i-2'})
        self.assertFalse(renewed.listed_by_name['i-2'].is_leaving)
        self.assertIs(renewed.settled(12), renewed)

    def test_is_dropped_without_an_entry(self) -> None:
        renewed = self.listing.restarted(_RESTART, 10)
        self.assertFalse(renewed.settled(12.3).listed_by_name)

    def test_stays_with_an_entry(self) -> None:
        renewed = self.listing.restarted(_RESTART, 10)
        listed = renewed.listed_by_name['i-2']
        confirmed = renewed.written('i-2', listed)
        self.assertIn('i-2', confirmed.settled(20).listed_by_name)

    def test_stays_while_the_store_is_away(self) -> None:
        away = self.listing.reached(is_reached=False, now_s=9)
        renewed = away.restarted(_RESTART, 10)
        self.assertIs(renewed.settled(60), renewed)
        back = renewed.reached(is_reached=True, now_s=60)
        self.assertIs(back.settled(62), back)
        self.assertFalse(back.settled(62.3).listed_by_name)

    def test_of_a_server_that_is_not_known(self) -> None:
        other = ServerRestart('i-7', 'i-8')
        self.assertIs(self.listing.restarted(other, 10), self.listing)
