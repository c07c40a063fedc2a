"""What a host concludes about its paths, and which peers it asks."""

import dataclasses
import unittest
from collections import Counter
from random import Random

from ...utils import Address
from ..paths import PathTable, RelayPeer

_SERVER = 'shop-a'
_DOMAINS = 3
_FLEET_SIZES = (7, 59, 195)
_ROUNDS = 200


def _peers(hosts: int, own: int = 0) -> tuple[RelayPeer, ...]:
    """Return the peers of one of several hosts in three domains."""
    return tuple(
        RelayPeer(
            f'host-{number}',
            Address('127.0.0.1', 1000 + number),
            number % _DOMAINS == own % _DOMAINS,
        )
        for number in range(hosts)
        if number != own
    )


class PathTableTest(unittest.TestCase):
    """A path is cut if a peer reaches the server and this host does not."""

    def setUp(self) -> None:
        self.paths = PathTable()

    def may_reuse(self, server: str, received_at_s: float) -> bool:
        return self.paths.may_reuse(
            server, is_relayed=False, received_at_s=received_at_s
        )

    def test_cut_and_healed(self) -> None:
        self.assertFalse(self.paths.is_cut(_SERVER))
        self.assertTrue(self.paths.mark_cut(_SERVER, 1))
        self.assertFalse(self.paths.mark_cut(_SERVER, 2))
        self.assertTrue(self.paths.is_cut(_SERVER))
        self.assertEqual(self.paths.mark_open(_SERVER, 4), 3)
        self.assertIsNone(self.paths.mark_open(_SERVER, 5))
        self.assertFalse(self.paths.is_cut(_SERVER))

    def test_server_that_no_host_reaches_is_not_behind_a_cut(self) -> None:
        self.paths.mark_cut(_SERVER, 1)
        self.paths.mark_unreachable(_SERVER, 2)
        self.assertFalse(self.paths.is_cut(_SERVER))
        self.assertFalse(self.paths.may_ask(_SERVER, 2.1))
        self.assertTrue(self.paths.may_ask(_SERVER, 3))

    def test_silent_connections_are_not_reused_beside_a_cut(self) -> None:
        self.assertTrue(self.may_reuse('shop-b', 0))
        self.paths.mark_cut(_SERVER, 1)
        self.assertFalse(self.may_reuse(_SERVER, 2))
        self.assertFalse(self.may_reuse('shop-b', 0.5))
        self.assertTrue(self.may_reuse('shop-b', 1.5))
        self.paths.mark_open(_SERVER, 4)
        self.assertTrue(self.may_reuse('shop-b', 0.5))

    def test_relayed_connections_are_not_reused_after_the_cut(self) -> None:
        self.paths.mark_cut(_SERVER, 1)
        for is_cut in (True, False):
            may_reuse = self.paths.may_reuse(
                _SERVER, is_relayed=True, received_at_s=2
            )
            self.assertEqual(may_reuse, is_cut)
            self.paths.mark_open(_SERVER, 3)

    def test_unlisted_servers_are_forgotten(self) -> None:
        self.paths.mark_cut(_SERVER, 1)
        self.paths.keep_only(('shop-b',))
        self.assertFalse(self.paths.is_cut(_SERVER))


class PeerChoiceTest(unittest.TestCase):
    """Few peers are asked, and the load is spread over them."""

    def test_peers_of_the_own_domain_come_first(self) -> None:
        for hosts in _FLEET_SIZES:
            peers = _peers(hosts)
            near = sum(peer.is_near for peer in peers)
            for seed in range(_ROUNDS):
                chosen = PathTable().choose(_SERVER, peers, Random(seed), 1)
                self.assertEqual(len(chosen), 3)
                self.assertEqual(len(set(chosen)), 3)
                is_near = [peer.is_near for peer in chosen]
                self.assertEqual(is_near, sorted(is_near, reverse=True))
                self.assertEqual(sum(is_near), min(near, 3))

    def test_peer_that_refused_is_not_asked_for_a_second(self) -> None:
        paths = PathTable()
        peers = _peers(3)
        paths.mark_refused('host-1', _SERVER, 1)
        for now_s, count in ((1.5, 1), (2.1, 2)):
            chosen = paths.choose(_SERVER, peers, Random(1), now_s)
            self.assertEqual(len(chosen), count)
        self.assertEqual(len(paths.choose('shop-b', peers, Random(1), 1.5)), 2)

    def test_silent_peer_is_asked_last(self) -> None:
        paths = PathTable()
        peers = _peers(4)
        paths.mark_slow('host-3', 1)
        for seed in range(_ROUNDS):
            chosen = paths.choose(_SERVER, peers, Random(seed), 1.5)
            self.assertEqual(chosen[-1].name, 'host-3')

    def test_peer_that_another_one_names_is_asked_first(self) -> None:
        paths = PathTable()
        peers = _peers(59)
        paths.mark_failed('host-3', 1, told='host-17')
        for seed in range(_ROUNDS):
            chosen = paths.choose(_SERVER, peers, Random(seed), 1.5)
            self.assertEqual(chosen[0].name, 'host-17')

    # Guards against the search in a domain that is cut as a whole.
    def test_other_domains_are_asked_after_a_peer_that_is_cut(self) -> None:
        paths = PathTable()
        peers = _peers(59)
        paths.mark_failed('host-3', 1, told='')
        paths.mark_refused('host-3', _SERVER, 1)
        far = [
            not peer.is_near
            for seed in range(_ROUNDS)
            for peer in paths.choose(_SERVER, peers, Random(seed), 1.5)
        ]
        self.assertGreater(sum(far), len(far) / 2)

    def test_full_peer_says_nothing_of_its_domain(self) -> None:
        paths = PathTable()
        paths.mark_refused('host-3', _SERVER, 1)
        chosen = paths.choose(_SERVER, _peers(59), Random(1), 1.5)
        self.assertTrue(all(peer.is_near for peer in chosen))

    # Guards against a flood of the hosts that still reach the servers.
    def test_hosts_that_reach_servers_are_asked_evenly(self) -> None:
        """A whole domain is cut; each host in it asks once."""
        for hosts in _FLEET_SIZES:
            asked: Counter[str] = Counter()
            cut = range(0, hosts, _DOMAINS)
            for number in cut:
                asked.update(_ask(hosts, number, frozenset(cut)))
            reaching = hosts - len(cut)
            mean = len(cut) / reaching
            self.assertEqual(asked.total(), len(cut))
            self.assertLessEqual(max(asked.values()), mean + 4 * mean**0.5 + 3)

    # Guards against one peer that carries all requests of a cut host.
    def test_lone_cut_host_uses_all_near_peers(self) -> None:
        paths = PathTable()
        peers = _peers(59)
        random = Random(1)
        used: Counter[str] = Counter()
        for request in range(_ROUNDS):
            now_s = 1 + request * 0.1
            chosen = paths.choose(_SERVER, peers, random, now_s)[0]
            paths.mark_opened(chosen.name, now_s)
            used[chosen.name] += 1
        near = sum(peer.is_near for peer in peers)
        self.assertLessEqual(max(used.values()), 3 * _ROUNDS / near)

    # Guards against hosts that carry more than their narrow links bear.
    def test_wide_links_carry_more(self) -> None:
        """Known relays with links of 5 and 100 Mbit/s share the requests."""
        peers = tuple(
            dataclasses.replace(peer, link_mbps=(5, 100)[number % 2])
            for number, peer in enumerate(_peers(9))
        )
        paths = PathTable()
        for peer in peers:
            paths.mark_opened(peer.name, 1)
        near = [peer for peer in peers if peer.is_near]
        narrow = sum(
            paths.choose(_SERVER, peers, Random(seed), 1)[0].link_mbps < 100
            for seed in range(_ROUNDS)
        )
        even = sum(peer.link_mbps < 100 for peer in near) / len(near)
        self.assertGreater(even, 0.3)
        self.assertLess(narrow, _ROUNDS * even / 2)

    # Guards against asks that grow with the fleet if nobody can help.
    def test_asks_are_bounded_if_few_or_none_reach_servers(self) -> None:
        for hosts in _FLEET_SIZES:
            for reaching in (0, 1):
                cut = frozenset(range(reaching, hosts))
                # Three asks for each of the 20 requests.
                self.assertLessEqual(_count_asks(hosts, cut), 60)


def _count_asks(hosts: int, cut: frozenset[int]) -> int:
    """Return the asks of one host for 20 requests within a second."""
    paths = PathTable()
    random = Random(hosts)
    peers = _peers(hosts, hosts - 1)
    asks = 0
    for request in range(20):
        now_s = request * 0.05
        for peer in paths.choose(_SERVER, peers, random, now_s):
            asks += 1
            if int(peer.name.split('-')[1]) in cut:
                paths.mark_refused(peer.name, _SERVER, now_s)
    return asks


def _ask(hosts: int, own: int, cut: frozenset[int]) -> list[str]:
    """Return the peer that relays for a host; it asks until one agrees."""
    paths = PathTable()
    random = Random(own)
    for _ in range(hosts):
        for peer in paths.choose(_SERVER, _peers(hosts, own), random, 1):
            if int(peer.name.split('-')[1]) not in cut:
                return [peer.name]
            paths.mark_refused(peer.name, _SERVER, 1)
    return []


if __name__ == '__main__':
    unittest.main()
