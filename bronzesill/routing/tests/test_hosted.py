"""Listed servers, domains that fail together, use told by other daemons."""

import unittest
from random import Random

from ...config import BackendServer, ListedServer
from ...utils import Address
from ..book import ServerBook
from ..choose import (
    Requirements,
    choose_copy_holder,
    choose_server,
)
from ..domains import DomainSuspicion
from ..listing import Listing
from ..use import ServerUse, UseReport
from ..views import ServerView


def _server(port: int, domain: str = 'a', start_s: float = 0) -> BackendServer:
    return BackendServer(
        Address('10.0.0.1', port),
        domain,
        'v1',
        model='m',
        started_at_s=start_s,
    )


def _listed(port: int) -> ListedServer:
    return ListedServer(_server(port))


class ListingTest(unittest.TestCase):
    """A missing server is gone, unless the store was away."""

    def setUp(self) -> None:
        self.listing = Listing().written('s1', _listed(1))

    def names(self, listing: Listing) -> list[str]:
        return sorted(listing.listed_by_name)

    def test_missing_server_is_gone_at_once(self) -> None:
        self.assertEqual(self.names(self.listing.removed('s1', 5)), [])

    def test_entry_that_names_no_server_takes_it_away(self) -> None:
        self.assertEqual(self.names(self.listing.written('s1', None)), [])

    def test_entries_that_lapsed_with_the_store_are_kept_for_a_while(
        self,
    ) -> None:
        listing = self.listing.reached(is_reached=False, now_s=10)
        listing = listing.removed('s1', 11)
        listing = listing.reached(is_reached=True, now_s=20)
        self.assertEqual(self.names(listing.settled(21.9)), ['s1'])
        self.assertEqual(self.names(listing.settled(22.3)), [])

    def test_server_that_is_back_in_time_stays(self) -> None:
        listing = self.listing.reached(is_reached=False, now_s=10)
        listing = listing.reached(is_reached=True, now_s=20)
        listing = listing.removed('s1', 20.1).written('s1', _listed(1))
        self.assertEqual(self.names(listing.settled(30)), ['s1'])

    def test_new_start_at_the_same_address_ends_the_older_one(self) -> None:
        listing = self.listing.written('s2', _listed(1))
        self.assertEqual(self.names(listing), ['s2'])


class DomainTest(unittest.TestCase):
    """Engines of one failure domain die at once, every seven seconds."""

    def test_two_failures_together_speak_against_the_domain(self) -> None:
        seen = DomainSuspicion().failed('m/a', 's1', 10)
        self.assertFalse(seen.is_suspected('m/a', 10.1))
        seen = seen.failed('m/a', 's2', 10.2)
        self.assertTrue(seen.is_suspected('m/a', 10.3))
        self.assertFalse(seen.is_suspected('m/b', 10.3))
        self.assertFalse(seen.is_suspected('m/a', 11.7))

    def test_one_server_that_fails_again_speaks_for_itself(self) -> None:
        seen = DomainSuspicion()
        for at_s in (10, 10.1, 10.2):
            seen = seen.failed('m/a', 's1', at_s)
        self.assertFalse(seen.is_suspected('m/a', 10.3))

    def test_book_avoids_servers_that_did_not_fail_yet(self) -> None:
        book = ServerBook()
        book.replace_servers(
            {f's{port}': _server(port) for port in range(3)}
            | {'other': _server(9, 'b')}
        )
        book.suspect('s0', 10)
        book.suspect('s1', 10.1)
        suspected = {
            view.name for view in book.views(10.2) if view.is_suspected
        }
        self.assertEqual(suspected, {'s0', 's1', 's2'})


class UseTest(unittest.TestCase):
    """Many daemons do not run together onto one engine."""

    def setUp(self) -> None:
        self.book = ServerBook()
        self.book.replace_servers({'s1': _server(1), 's2': _server(2)})

    def chosen(self, now_s: float) -> str:
        view = choose_server(
            self.book.views(now_s),
            Requirements('m', '', is_use_told=True),
            Random(1),
        )
        assert view is not None
        return view.name

    def report(self, sequence: int, running: int) -> UseReport:
        use = ServerUse('s1', running, running)
        return UseReport('other', sequence, (use,))

    def test_engine_that_others_use_is_not_chosen(self) -> None:
        self.book.heard_use(self.report(2, 3), 10)
        self.assertEqual(self.chosen(10.1), 's2')

    def test_older_report_changes_nothing(self) -> None:
        self.book.heard_use(self.report(2, 3), 10)
        self.book.heard_use(self.report(1, 0), 10)
        self.assertEqual(self.chosen(10.1), 's2')

    def test_report_holds_as_long_as_it_says(self) -> None:
        use = ServerUse('s1', 3, 3)
        self.book.heard_use(UseReport('other', 2, (use,), valid_s=5), 10)
        self.assertEqual(self.chosen(14.9), 's2')
        fills = [view.fill for view in self.book.views(15.1)]
        self.assertEqual(fills, [0, 0])

    def test_daemon_that_fell_silent_is_forgotten(self) -> None:
        self.book.heard_use(self.report(2, 3), 10)
        fills = [view.fill for view in self.book.views(13)]
        self.assertEqual(fills, [0, 0])

    def test_failure_told_by_another_daemon_is_believed_once(self) -> None:
        told = UseReport('other', 2, (), ('s1',))
        self.book.heard_use(told, 10)
        self.assertEqual(self.chosen(10.1), 's2')
        again = UseReport('other', 3, (), ('s1',))
        self.book.heard_use(again, 10.9)
        suspected = [view.is_suspected for view in self.book.views(13.5)]
        self.assertEqual(suspected, [False, False])

    def test_own_use_counts_prompts_that_are_read(self) -> None:
        self.book.opened('s1')
        self.book.opened('s1')
        self.book.begun('s1')
        told = self.book.report_use('own', 1, 10, 2)
        self.assertEqual(told.uses, (ServerUse('s1', 2, 1, 0),))
        self.book.closed('s1', has_begun=True)
        self.book.closed('s1')
        self.assertEqual(self.book.report_use('own', 2, 10, 2).uses, ())


class CopyTest(unittest.TestCase):
    """A copy is no use where it dies with the run."""

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
        runner = self.view('r', 'a')
        holder = choose_copy_holder(
            (runner, *views),
            Requirements('m', '', is_use_told=True),
            runner,
            Random(1),
        )
        return holder.name if holder else ''

    def test_copy_stands_in_another_domain(self) -> None:
        self.assertEqual(self.choose(self.view('same', 'a')), '')
        busy = self.view('far', 'b', own_running=5)
        self.assertEqual(self.choose(self.view('same', 'a'), busy), 'far')

    def test_domain_that_started_last_is_taken_to_fail_last(self) -> None:
        old = self.view('old', 'b', domain_started_at_s=100)
        new = self.view('new', 'c', domain_started_at_s=140)
        self.assertEqual(self.choose(old, new), 'new')

    def test_holder_of_the_copy_is_chosen_however_full_it_is(self) -> None:
        full = self.view('full', 'b', tokens=99_000, memory_tokens=88_000)
        needs = Requirements('m', '', is_resume=True, copy_at='full')
        chosen = choose_server((full, self.view('r', 'a')), needs, Random(1))
        assert chosen is not None
        self.assertEqual(chosen.name, 'full')

    def test_full_memory_takes_no_copy(self) -> None:
        full = self.view('full', 'b', tokens=99_000, memory_tokens=88_000)
        self.assertEqual(self.choose(full), '')
