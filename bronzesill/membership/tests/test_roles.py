"""
Roles that a daemon keeps while the members of its view are the same.

Pattern: members join, become silent and return, one at a time, in an order
drawn from a seed; the roles are read after each change.
"""

import unittest
from random import Random

from ...utils import Address
from ..facts import Fact, FactKind
from ..members import Liveness, Member
from ..messages import GossipUpdates
from ..roles import FleetRoles, choose_collectors, choose_watchers
from ..view import FleetView

_MEMBERS = 40
_CHANGES = 400
_DOMAINS = ('a', 'b', 'c')
_LINKS_MBPS = (0, 10, 200)


def _member(
    number: int, incarnation: int = 1, liveness: int = Liveness.ALIVE
) -> Member:
    address = Address('10.0.0.1', 1000 + number)
    return Member(
        f'host-{number}',
        'r',
        _DOMAINS[number % len(_DOMAINS)],
        address,
        address,
        incarnation,
        liveness,
        _LINKS_MBPS[number % 2 + number % 3 // 2],
    )


class FleetRolesTest(unittest.TestCase):
    """Roles that are kept are those of the current members."""

    def setUp(self) -> None:
        self.own = _member(0)
        self.view = FleetView().merge(GossipUpdates((self.own,))).view
        self.roles = FleetRoles(self.view, self.own)

    def change(self, *members: Member) -> None:
        self.view = self.view.merge(GossipUpdates(members)).view
        if not self.roles.are_of(self.view):
            self.roles = FleetRoles(self.view, self.own)

    def check(self) -> None:
        """Compare with what is chosen from the view at once."""
        live = [
            member
            for member in self.view.members_by_name.values()
            if member.is_alive
        ]
        names = {member.name for member in live} - {self.own.name}
        peers = self.roles.peers
        self.assertEqual({member.name for member in peers}, names)
        watchers = choose_watchers(self.view, self.own.failure_domain)
        is_watcher = self.own.name in {member.name for member in watchers}
        expected = () if is_watcher else watchers
        self.assertEqual(self.roles.other_watchers, expected)
        collectors = choose_collectors(self.view)
        self.assertCountEqual(self.roles.collectors, collectors)
        domains = [member.failure_domain for member in self.roles.collectors]
        self.assertIn(self.own.failure_domain, domains[:1] or _DOMAINS)

    # Guards against a host that sends to, or waits for, one that has gone.
    def test_roles_follow_each_change_of_a_member(self) -> None:
        random = Random(1)
        for incarnation in range(2, _CHANGES):
            number = random.randrange(1, _MEMBERS)
            liveness = random.choice(tuple(Liveness))
            self.change(_member(number, incarnation, liveness))
            self.check()

    # Guards against a list of a view in which a member was forgotten.
    def test_forgotten_member_is_no_peer(self) -> None:
        self.change(_member(1), _member(2))
        self.check()
        forgotten = self.view.without_members(frozenset(('host-1',)))
        self.assertFalse(self.roles.are_of(forgotten))

    # Guards against lists that are made again for each request.
    def test_lists_are_kept_while_the_members_are_the_same(self) -> None:
        self.change(_member(1), _member(2))
        peers = self.roles.peers
        self.change(_member(1), _member(2))
        self.assertIs(self.roles.peers, peers)

    # Guards against roles that hosts keep which have announced their stop.
    def test_roles_follow_announcements(self) -> None:
        self.change(_member(1), _member(2))
        fact = Fact(FactKind.HOST_LEAVING, 'host-1', 1)
        self.view = self.view.merge(GossipUpdates((), (fact,))).view
        self.change()
        self.check()


if __name__ == '__main__':
    unittest.main()
