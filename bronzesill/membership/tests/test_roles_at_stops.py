"""Roles of hosts while some stop: a fleet at rest, no callers, no load."""

import unittest

from ...utils import Address
from ..facts import Fact, FactKind
from ..members import Member
from ..messages import GossipUpdates
from ..roles import (
    FleetRoles,
    choose_collectors,
    choose_replicas,
    choose_watchers,
)
from ..view import FleetView

_DOMAINS = 4
_SLOW_MBPS = 5.0
_FAST_MBPS = 100.0


def _member(number: int, link_mbps: float = _FAST_MBPS) -> Member:
    address = Address('127.0.0.1', 1000 + number)
    return Member(
        name=f'host-{number}',
        region='region',
        failure_domain=f'domain-{number % _DOMAINS}',
        peers=address,
        callers=address,
        incarnation=1,
        link_mbps=link_mbps,
    )


def _view(members: tuple[Member, ...]) -> FleetView:
    return FleetView().merge(GossipUpdates(members)).view


def _announce(view: FleetView, leaving: tuple[Member, ...]) -> FleetView:
    facts = tuple(
        Fact(FactKind.HOST_LEAVING, member.name, member.incarnation)
        for member in leaving
    )
    return view.merge(GossipUpdates(facts=facts)).view


def _names(members: tuple[Member, ...]) -> set[str]:
    return {member.name for member in members}


class WatcherTest(unittest.TestCase):
    """Hosts that stay watch the store."""

    def setUp(self) -> None:
        self.members = tuple(_member(number) for number in range(24))
        self.view = _view(self.members)
        self.domain = tuple(
            member
            for member in self.members
            if member.failure_domain == 'domain-0'
        )

    # Guards against roles that are kept although a host has announced a stop.
    def test_kept_roles_end_with_an_announcement(self) -> None:
        roles = FleetRoles(self.view, self.domain[0])
        self.assertTrue(roles.are_of(self.view))
        announced = _announce(self.view, self.domain[1:2])
        self.assertFalse(roles.are_of(announced))

    # Guards against a failure domain whose hosts follow hosts that are about
    # to exit, so that changes reach it late.
    def test_leaving_hosts_do_not_watch(self) -> None:
        before = choose_watchers(self.view, 'domain-0')
        after = _announce(self.view, before)
        watchers = choose_watchers(after, 'domain-0')
        self.assertEqual(len(watchers), len(before))
        self.assertFalse(_names(watchers) & _names(before))

    # Guards against a change of all watchers at each stop of one of them.
    def test_other_watcher_stays(self) -> None:
        first, second = choose_watchers(self.view, 'domain-0')
        watchers = choose_watchers(_announce(self.view, (first,)), 'domain-0')
        self.assertIn(second.name, _names(watchers))

    # Guards against a domain without a watcher while its hosts stop.
    def test_leaving_hosts_watch_if_all_leave(self) -> None:
        after = _announce(self.view, self.domain)
        self.assertEqual(
            choose_watchers(after, 'domain-0'),
            choose_watchers(self.view, 'domain-0'),
        )

    def test_leaving_host_fills_up_the_watchers(self) -> None:
        staying, *leaving = self.domain
        after = _announce(self.view, tuple(leaving))
        watchers = choose_watchers(after, 'domain-0')
        self.assertEqual(len(watchers), 2)
        self.assertEqual(watchers[0].name, staying.name)

    # Guards against fast hosts that leave in place of a slow one that stays.
    def test_slow_host_that_stays_watches(self) -> None:
        slow = _member(0, _SLOW_MBPS)
        view = _view((slow, *self.members[1:]))
        after = _announce(view, self.domain[1:])
        self.assertIn(slow.name, _names(choose_watchers(after, 'domain-0')))


class CollectorTest(unittest.TestCase):
    """Hosts that stay collect the reports of use."""

    def setUp(self) -> None:
        self.members = tuple(_member(number) for number in range(24))
        self.view = _view(self.members)

    # Guards against reports of use that are lost with a host that exits.
    def test_leaving_hosts_do_not_collect(self) -> None:
        before = choose_collectors(self.view)
        after = choose_collectors(_announce(self.view, before))
        self.assertEqual(len(after), _DOMAINS)
        self.assertFalse(_names(after) & _names(before))

    # Guards against an error, or a domain without a collector, while all
    # hosts of a domain stop.
    def test_leaving_host_collects_if_all_leave(self) -> None:
        after = choose_collectors(_announce(self.view, self.members))
        self.assertEqual(after, choose_collectors(self.view))


class ReplicaTest(unittest.TestCase):
    """Replicas of records stay where they are until a host is gone."""

    # Guards against a record that hosts look for at its new replicas, which
    # have not got it, while the old ones still serve.
    def test_replicas_stay_during_a_stop(self) -> None:
        view = _view(tuple(_member(number) for number in range(24)))
        for number in range(50):
            key = f'request-{number}'
            before = choose_replicas(view, key)
            after = choose_replicas(_announce(view, before), key)
            self.assertEqual(after, before)
