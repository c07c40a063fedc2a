"""Tests of the detection of restarted servers."""

import unittest

from ...config import BackendServer, RegisteredServer
from ...utils import Address
from ..listing import ServerListing
from ..restarts import LastActivity
from ..use_reports import ServerRestart

_REUSE_S = 2.0
_TICK_S = 0.1
_RESTART = ServerRestart('i-1', 'i-2')


def _activity(seen_at_s: float, until_s: float) -> LastActivity:
    """Return the activity of a server, checked every ``_TICK_S`` seconds."""
    activity = LastActivity(_REUSE_S)
    tick = 0
    while tick * _TICK_S <= until_s:
        at_s = tick * _TICK_S
        if abs(at_s - seen_at_s) < _TICK_S / 2:
            activity = activity.with_activity('i-1', at_s)
        activity = activity.with_check(at_s)
        tick += 1
    return activity


class RestartDetectionTest(unittest.TestCase):
    """An instance that responds soon after the last activity is a restart."""

    def test_instance_soon_after_last_activity_is_a_restart(self) -> None:
        activity = _activity(seen_at_s=5, until_s=6.4)
        self.assertTrue(activity.may_be_restart('i-1', 6.4))
        self.assertEqual(
            activity.restart_candidates(('i-1', 'i-9'), 6.4), ('i-1',)
        )

    def test_address_may_belong_to_another_service(self) -> None:
        activity = _activity(seen_at_s=5, until_s=6.9)
        self.assertFalse(activity.may_be_restart('i-1', 6.9))
        self.assertFalse(activity.may_be_restart('i-1', 7.5))

    # Guards against a restart that is concluded from an answer which was read
    # late, or which an earlier request has got after a later one.
    def test_late_answers_prove_no_more_than_their_requests(self) -> None:
        activity = _activity(seen_at_s=5, until_s=6.4)
        activity = activity.with_activity('i-1', 4.2).with_check(6.5)
        self.assertTrue(activity.may_be_restart('i-1', 6.5))
        late = _activity(seen_at_s=9, until_s=6.4).with_activity('i-1', 4.2)
        self.assertFalse(late.with_check(6.5).may_be_restart('i-1', 6.5))

    def test_server_without_activity_has_no_restart(self) -> None:
        activity = _activity(seen_at_s=5, until_s=5.5)
        self.assertFalse(activity.may_be_restart('i-9', 5.5))

    def test_bytes_read_after_a_process_pause_are_ignored(self) -> None:
        activity = _activity(seen_at_s=5, until_s=5)
        # The process was suspended for three seconds: bytes read now may have
        # arrived during that time.
        activity = activity.with_activity('i-1', 8).with_check(8)
        self.assertFalse(activity.may_be_restart('i-1', 8.1))
        activity = (
            activity.with_check(8.1).with_activity('i-1', 8.2).with_check(8.2)
        )
        self.assertFalse(activity.may_be_restart('i-1', 8.3))

    def test_no_restart_is_detected_during_a_process_pause(self) -> None:
        activity = _activity(seen_at_s=5, until_s=5)
        self.assertFalse(activity.may_be_restart('i-1', 5.9))


class RestartedTest(unittest.TestCase):
    """A restarted server is used until its entry is overdue."""

    def setUp(self) -> None:
        server = BackendServer(Address('10.0.0.1', 80), 'a', 'v1')
        self.listing = ServerListing(
            {'i-1': RegisteredServer(server, is_leaving=True)}
        )

    def test_restarted_server_replaces_the_old_instance(self) -> None:
        updated = self.listing.with_restart(_RESTART, 10)
        self.assertEqual(set(updated.listed_by_name), {'i-2'})
        self.assertFalse(updated.listed_by_name['i-2'].is_leaving)
        self.assertIs(updated.without_expired(12), updated)

    def test_restarted_server_without_entry_is_removed(self) -> None:
        updated = self.listing.with_restart(_RESTART, 10)
        self.assertFalse(updated.without_expired(12.3).listed_by_name)

    def test_restarted_server_with_entry_is_kept(self) -> None:
        updated = self.listing.with_restart(_RESTART, 10)
        listed = updated.listed_by_name['i-2']
        confirmed = updated.with_entry('i-2', listed)
        self.assertIn('i-2', confirmed.without_expired(20).listed_by_name)

    def test_restarted_server_is_kept_during_a_store_outage(self) -> None:
        unreachable = self.listing.with_store_state(is_reached=False, now_s=9)
        updated = unreachable.with_restart(_RESTART, 10)
        self.assertIs(updated.without_expired(60), updated)
        recovered = updated.with_store_state(is_reached=True, now_s=60)
        self.assertIs(recovered.without_expired(62), recovered)
        self.assertFalse(recovered.without_expired(62.3).listed_by_name)

    def test_restart_of_unknown_server_is_ignored(self) -> None:
        other = ServerRestart('i-7', 'i-8')
        self.assertIs(self.listing.with_restart(other, 10), self.listing)
