"""
Reports of use in a fleet of hundreds of daemons.

Pattern: 195 daemons share 59 servers.  Each change of use must cost a number
of messages that does not grow with the fleet, and daemons that choose one
after the other must not meet at the same server.
"""

import collections
import unittest
from random import Random

from ...config import BackendServer
from ...membership import FleetView, GossipUpdates, Member, choose_collectors
from ...utils import Address
from ..choose import Requirements, choose_server
from ..server_tracker import ServerTracker
from ..use_reports import (
    ServerRestart,
    ServerUse,
    SharedNews,
    SharingPeers,
    UseReport,
    choose_recipients,
    without_heard_restarts,
)

_DAEMONS = 195
_DOMAINS = ('a', 'b', 'c', 'd', 'e')
_SERVERS = 59
_SLOTS = 6
_VALID_S = 2.0


def _member(number: int) -> Member:
    return Member(
        name=f'd{number}',
        region='r',
        failure_domain=_DOMAINS[number % len(_DOMAINS)],
        peers=Address('10.0.0.1', number + 1),
        callers=Address('10.0.0.2', number + 1),
        incarnation=1,
        link_mbps=10 if number % 3 else 200,
    )


def _view(count: int) -> FleetView:
    members = tuple(_member(number) for number in range(count))
    return FleetView().merge(GossipUpdates(members)).view


def _servers() -> dict[str, BackendServer]:
    return {
        f's{number}': BackendServer(
            Address('10.0.0.3', number + 1),
            _DOMAINS[number % len(_DOMAINS)],
            'v1',
            model='m',
            capacity=_SLOTS,
        )
        for number in range(_SERVERS)
    }


def _tracker() -> ServerTracker:
    tracker = ServerTracker()
    tracker.replace_servers(_servers())
    return tracker


class RecipientsTest(unittest.TestCase):
    """Reports go to few daemons, news to all, each once."""

    def setUp(self) -> None:
        view = _view(_DAEMONS)
        self.peers = SharingPeers(
            tuple(member.peers for member in view.members_by_name.values()),
            tuple(member.peers for member in choose_collectors(view)),
        )
        self.use = UseReport('d1', 1, (ServerUse('s1', 1, 0),))
        self.failure = UseReport('d1', 2, (), failed=('s1',))

    def test_a_change_is_sent_once_a_failure_domain(self) -> None:
        recipients = choose_recipients(self.use, self.peers, SharedNews())
        self.assertEqual(len(recipients), len(_DOMAINS))

    def test_a_failure_is_sent_to_all(self) -> None:
        recipients = choose_recipients(self.failure, self.peers, SharedNews())
        self.assertEqual(len(recipients), _DAEMONS)

    def test_a_failure_that_all_know_is_not_sent_to_all(self) -> None:
        known = SharedNews(failed=frozenset(('s1', 's2')))
        recipients = choose_recipients(self.failure, self.peers, known)
        self.assertEqual(len(recipients), len(_DOMAINS))

    def test_collectors_have_fast_links_and_lie_in_all_domains(self) -> None:
        collectors = choose_collectors(_view(_DAEMONS))
        self.assertEqual(
            sorted(member.failure_domain for member in collectors),
            sorted(_DOMAINS),
        )
        self.assertTrue(all(member.link_mbps > 20 for member in collectors))

    def test_small_fleet_has_no_collectors(self) -> None:
        self.assertEqual(choose_collectors(_view(8)), ())


class RestartsTest(unittest.TestCase):
    """
    A domain of servers restarts, and one daemon finds each new name.

    Pattern: 20 servers of a domain are back under new names; all 195 daemons
    hear of them.
    """

    def test_heard_restarts_are_not_told_again(self) -> None:
        restarts = tuple(
            ServerRestart(f's{number}', f'n{number}') for number in range(20)
        )
        report = UseReport('d1', 1, (), restarts=restarts)
        told = without_heard_restarts(report, frozenset(restarts[1:]))
        self.assertEqual(told.restarts, restarts[:1])
        silent = without_heard_restarts(report, frozenset(restarts))
        self.assertTrue(silent.is_empty)


class HerdTest(unittest.TestCase):
    """Daemons that ask a collector first spread over all servers."""

    def test_streams_of_all_daemons_fill_servers_evenly(self) -> None:
        collector = _tracker()
        requirements = Requirements('m', '', is_usage_shared=True)
        streams: collections.Counter[str] = collections.Counter()
        for number in range(_DAEMONS):
            tracker = _tracker()
            own = UseReport('collector', number + 1, (), valid_s=_VALID_S)
            totals = collector.build_totals(own, f'd{number}', 0)
            tracker.apply_use_report(totals, 0)
            chosen = choose_server(
                tracker.views(0), requirements, Random(number)
            )
            assert chosen is not None
            streams[chosen.name] += 1
            use = ServerUse(chosen.name, 1, 1)
            report = UseReport(f'd{number}', 1, (use,), valid_s=_VALID_S)
            collector.apply_use_report(report, 0)
        self.assertLessEqual(max(streams.values()), _SLOTS)

    def test_totals_leave_out_the_use_of_the_requester(self) -> None:
        collector = _tracker()
        for daemon in ('d1', 'd2'):
            use = ServerUse('s1', 2, 1)
            collector.apply_use_report(UseReport(daemon, 1, (use,)), 0)
        own = UseReport('collector', 1, (ServerUse('s1', 1, 0),))
        totals = collector.build_totals(own, 'd1', 0)
        self.assertEqual(totals.uses, (ServerUse('s1', 3, 1),))

    def test_totals_contain_failures_that_others_reported(self) -> None:
        collector = _tracker()
        report = UseReport('d1', 1, (), failed=('s3',))
        collector.apply_use_report(report, 0)
        totals = collector.build_totals(UseReport('c', 1, ()), 'd2', 0.5)
        self.assertEqual(totals.failed, ('s3',))


if __name__ == '__main__':
    unittest.main()
