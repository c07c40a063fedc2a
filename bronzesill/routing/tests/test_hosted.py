"""Tests of server listing, domain failures, use reports and copies."""

import dataclasses
import unittest
from random import Random

from ...config import BackendServer, RegisteredServer
from ...utils import Address
from ..choose import (
    Requirements,
    choose_copy_holder,
    choose_server,
)
from ..domains import DomainFailures
from ..listing import ServerListing
from ..server_tracker import ServerTracker
from ..use_reports import ServerUse, UseReport
from ..views import ServerView


def _server(port: int, domain: str = 'a', start_s: float = 0) -> BackendServer:
    return BackendServer(
        Address('10.0.0.1', port),
        domain,
        'v1',
        model='m',
        started_at_s=start_s,
    )


def _listed(
    port: int, born_s: float = 0, sequence: int = 0
) -> RegisteredServer:
    server = dataclasses.replace(_server(port), started_at_s=born_s)
    return RegisteredServer(server, sequence=sequence)


class ListingTest(unittest.TestCase):
    """
    Servers without an entry are removed.

    They are retained during a store outage and shortly after it, since the
    outage causes their entries to expire.
    """

    def setUp(self) -> None:
        self.listing = ServerListing().with_entry('s1', _listed(1))

    def names(self, listing: ServerListing) -> list[str]:
        return sorted(listing.listed_by_name)

    def test_missing_server_is_removed_immediately(self) -> None:
        self.assertEqual(self.names(self.listing.without_entry('s1', 5)), [])

    def test_entry_without_server_removes_it(self) -> None:
        self.assertEqual(self.names(self.listing.with_entry('s1', None)), [])

    def test_expired_entries_are_retained_after_store_outage(self) -> None:
        listing = self.listing.with_store_state(is_reached=False, now_s=10)
        listing = listing.without_entry('s1', 11)
        listing = listing.with_store_state(is_reached=True, now_s=20)
        self.assertEqual(self.names(listing.without_expired(21.9)), ['s1'])
        self.assertEqual(self.names(listing.without_expired(22.3)), [])

    def test_server_that_registers_again_in_time_is_kept(self) -> None:
        listing = self.listing.with_store_state(is_reached=False, now_s=10)
        listing = listing.with_store_state(is_reached=True, now_s=20)
        listing = listing.without_entry('s1', 20.1).with_entry('s1', _listed(1))
        self.assertEqual(self.names(listing.without_expired(30)), ['s1'])

    def test_new_instance_at_same_address_replaces_the_old_one(self) -> None:
        listing = self.listing.with_entry('s2', _listed(1))
        self.assertEqual(self.names(listing), ['s2'])


class ReturnedStoreTest(unittest.TestCase):
    """
    The store comes back from an older copy.

    Pattern: servers that left, ended, or were replaced since the copy was
    made; servers write again what they wrote, some seconds later.
    """

    def setUp(self) -> None:
        self.ready = _listed(1, born_s=100, sequence=1)
        self.leaving = dataclasses.replace(
            self.ready, is_leaving=True, sequence=9
        )
        self.listing = (
            ServerListing()
            .with_entry('s1', self.leaving)
            .with_entry('s2', _listed(2))
            .with_store_returned(20)
        )

    # Guards against new requests to a server that leaves, as the older copy
    # shows it ready.
    def test_leaving_server_stays_so(self) -> None:
        listing = self.listing.with_returned_entry('s1', self.ready, 20)
        self.assertTrue(listing.listed_by_name['s1'].is_leaving)

    # Guards against requests to a server that ended after the copy was made.
    def test_ended_server_stays_so_until_its_lease_has_ended(self) -> None:
        ended = self.listing.with_entry('s1', None)
        listing = ended.with_returned_entry('s1', self.leaving, 20)
        self.assertNotIn('s1', listing.listed_by_name)
        self.assertEqual(listing.released_names(24), ())
        expired = listing.without_entry('s1', 24)
        self.assertEqual(expired.released_names(30), ())
        self.assertEqual(listing.released_names(30), ('s1',))

    def test_later_state_is_taken(self) -> None:
        later = dataclasses.replace(self.ready, sequence=10)
        listing = self.listing.with_returned_entry('s1', later, 20)
        self.assertFalse(listing.listed_by_name['s1'].is_leaving)
        restarted = _listed(1, born_s=101, sequence=1)
        ended = self.listing.with_entry('s1', None)
        listing = ended.with_returned_entry('s1', restarted, 20)
        self.assertIn('s1', listing.listed_by_name)

    # Guards against servers that are taken for gone as the copy lacks them.
    def test_server_that_the_copy_lacks_may_write_again(self) -> None:
        listing = self.listing.without_entry('s2', 20)
        self.assertIn('s2', listing.without_expired(22).listed_by_name)
        self.assertNotIn('s2', listing.without_expired(22.3).listed_by_name)

    # Guards against an old server that takes the place of the one which has
    # its address now.
    def test_new_server_at_an_old_address_is_kept(self) -> None:
        renewed = self.listing.with_entry('s3', _listed(1, born_s=110))
        listing = renewed.without_entry('s3', 20)
        listing = listing.with_returned_entry('s1', self.ready, 20)
        self.assertIn('s3', listing.listed_by_name)
        self.assertNotIn('s1', listing.listed_by_name)


class DomainTest(unittest.TestCase):
    """
    Correlated failures of a failure domain.

    Guards against continued routing to a failing domain: all model engines of
    one domain fail at once, every seven seconds.
    """

    def test_two_concurrent_failures_suspect_the_domain(self) -> None:
        failures = DomainFailures().with_failure('m/a', 's1', 10)
        self.assertFalse(failures.is_suspected('m/a', 10.1))
        failures = failures.with_failure('m/a', 's2', 10.2)
        self.assertTrue(failures.is_suspected('m/a', 10.3))
        self.assertFalse(failures.is_suspected('m/b', 10.3))
        self.assertFalse(failures.is_suspected('m/a', 11.7))

    def test_repeated_failure_of_one_server_does_not_suspect_domain(
        self,
    ) -> None:
        failures = DomainFailures()
        for at_s in (10, 10.1, 10.2):
            failures = failures.with_failure('m/a', 's1', at_s)
        self.assertFalse(failures.is_suspected('m/a', 10.3))

    def test_servers_of_suspected_domain_are_avoided_before_failing(
        self,
    ) -> None:
        tracker = ServerTracker()
        tracker.replace_servers(
            {f's{port}': _server(port) for port in range(3)}
            | {'other': _server(9, 'b')}
        )
        tracker.suspect('s0', 10)
        tracker.suspect('s1', 10.1)
        suspected = {
            view.name for view in tracker.views(10.2) if view.is_suspected
        }
        self.assertEqual(suspected, {'s0', 's1', 's2'})


class UseTest(unittest.TestCase):
    """Use reports keep daemons from selecting the same model engine."""

    def setUp(self) -> None:
        self.tracker = ServerTracker()
        self.tracker.replace_servers({'s1': _server(1), 's2': _server(2)})

    def chosen(self, now_s: float) -> str:
        view = choose_server(
            self.tracker.views(now_s),
            Requirements('m', '', is_usage_shared=True),
            Random(1),
        )
        assert view is not None
        return view.name

    def report(self, sequence: int, running: int) -> UseReport:
        use = ServerUse('s1', running, running)
        return UseReport('other', sequence, (use,))

    def test_engine_used_by_other_daemons_is_not_chosen(self) -> None:
        self.tracker.apply_use_report(self.report(2, 3), 10)
        self.assertEqual(self.chosen(10.1), 's2')

    def test_older_report_is_ignored(self) -> None:
        self.tracker.apply_use_report(self.report(2, 3), 10)
        self.tracker.apply_use_report(self.report(1, 0), 10)
        self.assertEqual(self.chosen(10.1), 's2')

    def test_report_expires_after_its_validity(self) -> None:
        use = ServerUse('s1', 3, 3)
        self.tracker.apply_use_report(
            UseReport('other', 2, (use,), valid_s=5), 10
        )
        self.assertEqual(self.chosen(14.9), 's2')
        fills = [view.fill for view in self.tracker.views(15.1)]
        self.assertEqual(fills, [0, 0])

    def test_use_of_silent_daemon_expires(self) -> None:
        self.tracker.apply_use_report(self.report(2, 3), 10)
        fills = [view.fill for view in self.tracker.views(13)]
        self.assertEqual(fills, [0, 0])

    def test_reported_failure_is_applied_once(self) -> None:
        first = UseReport('other', 2, (), ('s1',))
        self.tracker.apply_use_report(first, 10)
        self.assertEqual(self.chosen(10.1), 's2')
        again = UseReport('other', 3, (), ('s1',))
        self.tracker.apply_use_report(again, 10.9)
        suspected = [view.is_suspected for view in self.tracker.views(13.5)]
        self.assertEqual(suspected, [False, False])

    def test_own_use_report_counts_streams_in_prefill(self) -> None:
        self.tracker.opened('s1')
        self.tracker.opened('s1')
        self.tracker.response_started('s1')
        report = self.tracker.build_use_report('own', 1, 10, 2)
        self.assertEqual(report.uses, (ServerUse('s1', 2, 1, 0),))
        self.tracker.closed('s1', has_response_started=True)
        self.tracker.closed('s1')
        self.assertEqual(
            self.tracker.build_use_report('own', 2, 10, 2).uses, ()
        )


class CopyTest(unittest.TestCase):
    """Copies are placed where they survive a failure of the run's domain."""

    def view(self, name: str, domain: str, **changes: float) -> ServerView:
        return ServerView(
            name,
            domain,
            'm',
            'v1',
            12,
            **changes,  # type: ignore[arg-type]
        )

    def choose(self, *views: ServerView) -> str:
        primary = self.view('r', 'a')
        holder = choose_copy_holder(
            (primary, *views),
            Requirements('m', '', is_usage_shared=True),
            primary,
            Random(1),
        )
        return holder.name if holder else ''

    def test_copy_is_placed_in_another_domain(self) -> None:
        self.assertEqual(self.choose(self.view('same', 'a')), '')
        busy = self.view('far', 'b', own_running=5)
        self.assertEqual(self.choose(self.view('same', 'a'), busy), 'far')

    def test_most_recently_started_domain_is_preferred(self) -> None:
        old = self.view('old', 'b', domain_started_at_s=100)
        new = self.view('new', 'c', domain_started_at_s=140)
        self.assertEqual(self.choose(old, new), 'new')

    def test_holder_of_the_copy_is_chosen_despite_full_memory(self) -> None:
        full = self.view('full', 'b', tokens=99_000, memory_tokens=88_000)
        requirements = Requirements('m', '', is_resume=True, copy_holder='full')
        chosen = choose_server(
            (full, self.view('r', 'a')), requirements, Random(1)
        )
        assert chosen is not None
        self.assertEqual(chosen.name, 'full')

    def test_server_with_full_memory_gets_no_copy(self) -> None:
        full = self.view('full', 'b', tokens=99_000, memory_tokens=88_000)
        self.assertEqual(self.choose(full), '')
