"""
Announcements of leaving hosts and servers in the view, without a network.

Load: hosts that stop and restart one after another, and 3,000 servers that
leave, each at an address of its own.
"""

import dataclasses
import unittest
from random import Random

from ...utils import Address
from ..dissemination import select_updates
from ..events import FactPublished, ViewFetched
from ..facts import MAX_ANNOUNCEMENTS, Fact, FactKind
from ..gossip import step
from ..members import Liveness, Member
from ..messages import GossipUpdates
from ..state import GossipPolicy, GossipState
from ..view import FleetView

_HOSTS = 100
_SERVERS = 3_000
_SEEDS = 50
_ADDRESS = Address('127.0.0.1', 1000)


def _member(
    name: str, incarnation: int, liveness: Liveness = Liveness.ALIVE
) -> Member:
    return Member(
        name, 'region', 'domain', _ADDRESS, _ADDRESS, incarnation, liveness
    )


def _stop_of(member: Member) -> Fact:
    return Fact(FactKind.HOST_LEAVING, member.name, member.incarnation)


def _server_leaves(number: int) -> Fact:
    return Fact(
        FactKind.SERVER_SAID_LEAVING, f'10.0.0.1:{number}', number, '1 shop'
    )


def _merge(view: FleetView, *entries: Member | Fact) -> FleetView:
    for entry in entries:
        updates = (
            GossipUpdates((entry,))
            if isinstance(entry, Member)
            else GossipUpdates(facts=(entry,))
        )
        view = view.merge(updates).view
    return view


class RestartTest(unittest.TestCase):
    """A host announces its stop, ends and starts again under its name."""

    def setUp(self) -> None:
        self.first = _member('host', 1000)
        self.restarted = _member('host', 2000)
        self.gone = dataclasses.replace(self.first, liveness=Liveness.GONE)
        self.stopping = _merge(FleetView(), self.first, _stop_of(self.first))

    # Guards against a restarted host that is shunned for the stop before.
    def test_restarted_host_is_not_leaving(self) -> None:
        self.assertTrue(self.stopping.is_leaving(self.first))
        for way in ((self.restarted,), (self.gone, self.restarted)):
            view = _merge(self.stopping, *way)
            member = view.members_by_name['host']
            self.assertEqual(member, self.restarted)
            self.assertFalse(view.is_leaving(member))
            self.assertEqual(view.facts_by_name, {})

    # Guards against views that differ for ever, as one dropped what another
    # never had or offers again.
    def test_void_announcement_is_not_taken_again(self) -> None:
        fresh = _merge(FleetView(), self.restarted)
        view = _merge(self.stopping, self.restarted)
        self.assertEqual(view.hashes, fresh.hashes)
        for known in (view, fresh):
            offered = GossipUpdates(facts=(_stop_of(self.first),))
            change = known.merge(offered)
            self.assertIs(change.view, known)
            self.assertEqual(change.applied, GossipUpdates())

    def test_stop_of_the_restarted_host_counts(self) -> None:
        view = _merge(self.stopping, self.restarted, _stop_of(self.restarted))
        self.assertTrue(view.is_leaving(self.restarted))
        # It may be heard before the record of the restarted host.
        early = _merge(self.stopping, _stop_of(self.restarted), self.restarted)
        self.assertEqual(early.hashes, view.hashes)
        self.assertTrue(early.is_leaving(self.restarted))

    # Guards against new requests for a stopping host that was taken for gone.
    def test_stop_outlasts_a_refuted_end(self) -> None:
        refuted = _member('host', 1001)
        view = _merge(self.stopping, self.gone, refuted, _stop_of(refuted))
        self.assertTrue(view.is_leaving(refuted))

    # Guards against a host that fails when it passes on what it has dropped.
    def test_dropped_announcement_is_not_passed_on(self) -> None:
        state = GossipState.from_member(
            _member('other', 1), GossipPolicy(), now_s=0
        )
        for event in (
            ViewFetched(GossipUpdates((self.first,))),
            FactPublished(_stop_of(self.first)),
            ViewFetched(GossipUpdates((self.restarted,))),
        ):
            state = step(state, event, 0, Random(1)).state
        self.assertEqual(select_updates(state, 'host').updates.facts, ())


class GrowthTest(unittest.TestCase):
    """Announcements do not pile up."""

    # Guards against views that grow with each host that ever stopped.
    def test_hosts_that_ended_leave_nothing(self) -> None:
        view = FleetView()
        for number in range(_HOSTS):
            member = _member(f'host-{number}', 1)
            gone = dataclasses.replace(member, liveness=Liveness.GONE)
            view = _merge(view, member, _stop_of(member), gone)
        self.assertEqual(view.facts_by_name, {})

    # Guards against views that grow with each address of a server.
    def test_newest_notices_of_servers_remain(self) -> None:
        facts = [_server_leaves(number) for number in range(_SERVERS)]
        newest = {fact.name for fact in facts[-MAX_ANNOUNCEMENTS:]}
        Random(1).shuffle(facts)
        views = [
            FleetView().merge(GossipUpdates(facts=tuple(offered))).view
            for offered in (facts, facts[::2], facts[1::2])
        ]
        merged = views[1].merge(views[2].all_entries()).view
        for view in (views[0], merged):
            self.assertEqual(set(view.facts_by_name), newest)
            self.assertEqual(view.hashes, views[0].hashes)

    def test_other_facts_are_kept(self) -> None:
        revision = Fact(FactKind.CONFIG_REVISION, 'hosted', 1)
        facts = tuple(_server_leaves(number) for number in range(_SERVERS))
        view = _merge(FleetView(), revision)
        view = view.merge(GossipUpdates(facts=facts)).view
        self.assertIn(revision.name, view.facts_by_name)


class OrderTest(unittest.TestCase):
    """Views that have got the same entries are equal."""

    # Guards against hosts that exchange the same entries again and again.
    def test_order_does_not_matter(self) -> None:
        records = [
            _member('host', incarnation, liveness)
            for incarnation in range(1, 4)
            for liveness in Liveness
        ]
        for seed in range(_SEEDS):
            random = Random(seed)
            members = random.sample(records, 4)
            entries: list[Member | Fact] = [
                *members,
                *map(_stop_of, random.sample(records, 3)),
            ]
            one = _merge(FleetView(), *entries)
            random.shuffle(entries)
            with self.subTest(seed=seed):
                other = _merge(FleetView(), *entries)
                self.assertEqual(other.facts_by_name, one.facts_by_name)
                self.assertEqual(other.hashes, one.hashes)


if __name__ == '__main__':
    unittest.main()
