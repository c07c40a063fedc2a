"""Membership protocol on a simulated network with a seeded generator."""

import dataclasses
import unittest
from collections import deque
from random import Random

from ...utils import Address
from ..events import (
    FactPublished,
    MessageArrived,
    Send,
    Tick,
    ViewFetched,
    ViewUpdated,
)
from ..facts import Fact, FactKind
from ..gossip import step
from ..members import Liveness, Member, supersedes
from ..messages import GossipUpdates
from ..roles import choose_entries, choose_replicas, is_watcher
from ..state import GossipPolicy, GossipState
from ..view import FleetView

_TICK_INTERVAL_S = 0.2


def _member(number: int, **changes: object) -> Member:
    address = Address('127.0.0.1', 1000 + number)
    member = Member(
        name=f'entry-{number}',
        region=f'region-{number % 2}',
        failure_domain=f'domain-{number % 4}',
        peers=address,
        callers=address,
        incarnation=1,
    )
    return dataclasses.replace(member, **changes)  # type: ignore[arg-type]


class Network:
    """Simulated network that delivers datagrams immediately or loses them."""

    def __init__(self, count: int, seed: int, loss: float = 0) -> None:
        self.random = Random(seed)
        self.loss = loss
        self.now_s = 0.0
        members = [_member(number) for number in range(count)]
        self.states = {
            member.peers: GossipState.from_member(member, GossipPolicy(), 0)
            for member in members
        }
        self.paused: set[Address] = set()
        self.partitioned: set[Address] = set()
        self.datagrams = 0
        for address in self.states:
            self.deliver(address, ViewFetched(GossipUpdates(tuple(members))))

    def deliver(self, address: Address, event: object) -> None:
        queue = deque([(address, event)])
        while queue:
            target, current = queue.popleft()
            result = step(
                self.states[target],
                current,  # type: ignore[arg-type]
                self.now_s,
                self.random,
            )
            self.states[target] = result.state
            for action in result.actions:
                if isinstance(action, Send) and self.is_delivered(
                    target, action
                ):
                    arrived = MessageArrived(target, action.message)
                    queue.append((action.address, arrived))

    def is_delivered(self, sender: Address, action: Send) -> bool:
        self.datagrams += 1
        target = action.address
        crosses_partition = (sender in self.partitioned) != (
            target in self.partitioned
        )
        return (
            target in self.states
            and target not in self.paused
            and not crosses_partition
            and self.random.random() >= self.loss
        )

    def run(self, seconds: float) -> None:
        ends_s = self.now_s + seconds
        while self.now_s < ends_s:
            self.now_s += _TICK_INTERVAL_S
            for address in list(self.states):
                if address not in self.paused:
                    self.deliver(address, Tick())

    def observed_liveness(self, name: str) -> set[int]:
        return {
            state.view.members_by_name[name].liveness
            for address, state in self.states.items()
            if address not in self.paused and state.own.name != name
        }


class LivenessTest(unittest.TestCase):
    """Stopped, paused, partitioned and restarted daemons."""

    def test_dead_daemon_is_gone_everywhere(self) -> None:
        network = Network(12, seed=1)
        network.run(5)
        network.states.pop(Address('127.0.0.1', 1003))
        network.run(16)
        self.assertEqual(network.observed_liveness('entry-3'), {Liveness.GONE})

    def test_daemon_paused_for_five_seconds_is_never_gone(self) -> None:
        for loss in (0, 0.05, 0.2):
            network = Network(12, seed=2, loss=loss)
            network.run(5)
            address = Address('127.0.0.1', 1005)
            network.paused.add(address)
            network.run(5)
            self.assertNotIn(
                Liveness.GONE, network.observed_liveness('entry-5')
            )
            network.paused.discard(address)
            network.run(6)
            self.assertEqual(
                network.observed_liveness('entry-5'), {Liveness.ALIVE}
            )

    def test_paused_daemon_does_not_suspect_others(self) -> None:
        network = Network(12, seed=3)
        network.run(5)
        address = Address('127.0.0.1', 1000)
        network.paused.add(address)
        network.run(30)
        network.paused.discard(address)
        network.run(3)
        view = network.states[address].view
        self.assertTrue(
            all(member.is_alive for member in view.members_by_name.values())
        )

    def test_partitioned_halves_rejoin(self) -> None:
        network = Network(16, seed=4)
        network.run(5)
        network.partitioned = {Address('127.0.0.1', 1000 + n) for n in range(8)}
        network.run(30)
        self.assertEqual(
            network.states[Address('127.0.0.1', 1015)]
            .view.members_by_name['entry-0']
            .liveness,
            Liveness.GONE,
        )
        network.partitioned = set()
        network.run(60)
        for number in range(16):
            observed_liveness = network.observed_liveness(f'entry-{number}')
            self.assertEqual(observed_liveness, {Liveness.ALIVE})

    def test_lost_failure_domain_is_detected(self) -> None:
        network = Network(16, seed=5)
        network.run(5)
        for number in range(0, 16, 4):
            network.states.pop(Address('127.0.0.1', 1000 + number))
        network.run(20)
        for number in range(16):
            expected = Liveness.ALIVE if number % 4 else Liveness.GONE
            observed_liveness = network.observed_liveness(f'entry-{number}')
            self.assertEqual(observed_liveness, {expected})

    def test_newer_incarnation_supersedes_any_liveness(self) -> None:
        gone = _member(1, liveness=Liveness.GONE)
        restarted = _member(1, incarnation=2)
        self.assertTrue(supersedes(restarted, gone))
        self.assertFalse(supersedes(gone, restarted))


class StopTest(unittest.TestCase):
    """A planned stop that was published holds until the daemon has ended."""

    def setUp(self) -> None:
        self.network = Network(8, seed=5)
        self.network.run(3)
        self.stopping = _member(0)
        fact = Fact(FactKind.HOST_LEAVING, self.stopping.name, 1)
        self.network.deliver(self.stopping.peers, FactPublished(fact))
        self.network.run(3)

    def count_leaving(self) -> int:
        return sum(
            state.view.is_leaving(
                state.view.members_by_name[self.stopping.name]
            )
            for state in self.network.states.values()
        )

    # Guards against callers that are sent to a stopping host again, because
    # it refuted that it was gone while it was too busy to answer probes.
    def test_stop_outlasts_a_refuted_suspicion(self) -> None:
        self.assertEqual(self.count_leaving(), 8)
        suspected = dataclasses.replace(
            self.stopping, liveness=Liveness.SUSPECT
        )
        self.network.deliver(
            _member(1).peers, ViewFetched(GossipUpdates((suspected,)))
        )
        self.network.run(10)
        state = self.network.states[self.stopping.peers]
        self.assertGreater(state.own.incarnation, 1)
        self.assertEqual(self.count_leaving(), 8)

    # Guards against a stop that nobody respects, as the host refuted its end
    # just before it was published.
    def test_stop_after_a_refuted_suspicion(self) -> None:
        network = Network(2, seed=5)
        own = _member(0)
        suspected = dataclasses.replace(own, liveness=Liveness.SUSPECT)
        network.deliver(own.peers, ViewFetched(GossipUpdates((suspected,))))
        fact = Fact(FactKind.HOST_LEAVING, own.name, own.incarnation)
        network.deliver(own.peers, FactPublished(fact))
        for state in network.states.values():
            known = state.view.members_by_name[own.name]
            self.assertGreater(known.incarnation, own.incarnation)
            self.assertTrue(state.view.is_leaving(known))

    def test_restarted_daemon_does_not_stop(self) -> None:
        restarted = dataclasses.replace(self.stopping, incarnation=0)
        self.network.states[restarted.peers] = GossipState.from_member(
            restarted, GossipPolicy(), self.network.now_s
        )
        self.network.deliver(
            restarted.peers,
            ViewFetched(
                self.network.states[_member(1).peers].view.all_entries()
            ),
        )
        self.network.run(10)
        state = self.network.states[restarted.peers]
        self.assertGreater(state.own.incarnation, 1)
        self.assertEqual(self.count_leaving(), 0)


class DisseminationTest(unittest.TestCase):
    """Facts reach all daemons despite datagram loss; the highest rank wins."""

    def test_fact_reaches_all_within_seconds(self) -> None:
        for loss in (0, 0.05, 0.2):
            network = Network(30, seed=6, loss=loss)
            network.run(5)
            fact = Fact(FactKind.VERSION_TAKEN_BACK, 'm1', 1, 'bad')
            network.deliver(Address('127.0.0.1', 1000), FactPublished(fact))
            network.run(3)
            for state in network.states.values():
                self.assertIn(fact.name, state.view.facts_by_name)

    def test_burst_of_facts_is_synchronized(self) -> None:
        network = Network(30, seed=8, loss=0.2)
        network.run(5)
        for number in range(60):
            fact = Fact(FactKind.VERSION_TAKEN_BACK, f'm{number}', 1)
            network.deliver(Address('127.0.0.1', 1000), FactPublished(fact))
        network.run(8)
        for state in network.states.values():
            self.assertEqual(len(state.view.facts_by_name), 60)

    def test_older_fact_never_replaces_a_newer_one(self) -> None:
        view = FleetView()
        new = Fact(FactKind.CONFIG_REVISION, 'c', 7)
        old = Fact(FactKind.CONFIG_REVISION, 'c', 6)
        view = view.merge(GossipUpdates(facts=(new,))).view
        change = view.merge(GossipUpdates(facts=(old,)))
        self.assertEqual(change.view.facts_by_name[new.name].rank, 7)
        self.assertEqual(change.applied, GossipUpdates())

    def test_datagram_rate_is_bounded_in_a_burst(self) -> None:
        network = Network(12, seed=7)
        network.run(15)
        before = network.datagrams
        for number in range(500):
            fact = Fact(FactKind.SERVER_LEAVING, f's{number}', 1)
            network.deliver(Address('127.0.0.1', 1000), FactPublished(fact))
        network.run(10)
        per_daemon = (network.datagrams - before) / 12 / 10
        self.assertLess(per_daemon, 30)

    def test_views_with_equal_content_have_equal_hashes(self) -> None:
        members = tuple(_member(number) for number in range(9))
        one = FleetView().merge(GossipUpdates(members)).view
        other = FleetView()
        for member in reversed(members):
            other = other.merge(GossipUpdates((member,))).view
        self.assertEqual(one.view_hash, other.view_hash)
        gone = dataclasses.replace(members[0], liveness=Liveness.GONE)
        changed = one.merge(GossipUpdates((gone,))).view
        self.assertNotEqual(changed.view_hash, one.view_hash)
        applied = one.merge(GossipUpdates((gone,))).applied
        self.assertEqual(ViewUpdated(applied, None).updates.members, (gone,))


class RoleTest(unittest.TestCase):
    """Selection of entry hosts, replicas and watchers."""

    def setUp(self) -> None:
        self.members = tuple(_member(number) for number in range(24))
        self.view = FleetView().merge(GossipUpdates(self.members)).view

    def test_entries_are_local_and_in_two_domains(self) -> None:
        own = self.members[0]
        for number in range(50):
            chosen = choose_entries(self.view, own, f'caller-{number}', 3)
            self.assertTrue(
                all(member.region == own.region for member in chosen[:2])
            )
            domains = {member.failure_domain for member in chosen[:2]}
            self.assertEqual(len(domains), 2)

    def test_entries_spread_evenly_and_stay_when_another_leaves(self) -> None:
        own = self.members[0]
        first_choices = [
            choose_entries(self.view, own, f'caller-{number}', 3)[0].name
            for number in range(600)
        ]
        share = (
            max(first_choices.count(name) for name in set(first_choices)) / 600
        )
        self.assertLess(share, 2.0 / 12)
        leaving = Fact(FactKind.HOST_LEAVING, 'entry-2', 1)
        after = self.view.merge(GossipUpdates(facts=(leaving,))).view
        reassigned = 0
        for number, first in enumerate(first_choices):
            chosen = choose_entries(after, own, f'caller-{number}', 3)[0].name
            self.assertNotEqual(chosen, 'entry-2')
            reassigned += chosen != first and first != 'entry-2'
        self.assertEqual(reassigned, 0)

    def test_replicas_are_in_two_domains(self) -> None:
        for number in range(50):
            replicas = choose_replicas(self.view, f'request-{number}')
            domains = {member.failure_domain for member in replicas}
            self.assertEqual(len(domains), 2)

    def test_two_watchers_per_failure_domain(self) -> None:
        watchers = [
            member for member in self.members if is_watcher(self.view, member)
        ]
        self.assertEqual(len(watchers), 8)

    def test_hosts_with_slow_links_do_not_watch(self) -> None:
        members = tuple(
            dataclasses.replace(member, link_mbps=5 if number < 12 else 100)
            for number, member in enumerate(self.members)
        )
        view = FleetView().merge(GossipUpdates(members)).view
        watchers = [member for member in members if is_watcher(view, member)]
        self.assertEqual(len(watchers), 8)
        self.assertEqual({member.link_mbps for member in watchers}, {100})

    def test_slow_hosts_watch_if_there_are_no_others(self) -> None:
        members = tuple(
            dataclasses.replace(member, link_mbps=5) for member in self.members
        )
        view = FleetView().merge(GossipUpdates(members)).view
        watchers = [member for member in members if is_watcher(view, member)]
        self.assertEqual(len(watchers), 8)

    def test_watcher_count_scales_with_the_fleet(self) -> None:
        members = tuple(_member(number) for number in range(360))
        view = FleetView().merge(GossipUpdates(members)).view
        watchers = [member for member in members if is_watcher(view, member)]
        self.assertEqual(len(watchers), 4 * 6)
