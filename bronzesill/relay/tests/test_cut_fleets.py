"""
How soon cut hosts find a peer that reaches a server, by the decisions alone.

Pattern: a whole failure domain, or most hosts of a fleet, lose their links to
a server at the same moment; each of them sends a request every 0.1 s.
"""

import dataclasses
import itertools
import unittest
from random import Random

from ...utils import Address
from ..connections import CUT, UNREACHABLE
from ..paths import PathTable, RelayPeer

_SERVER = 'shop-a'
_CALL_INTERVAL_S = 0.1
_CALLS = 30
#: Cut hosts serve like the others from then on.
_LEARNING_S = 1.0
_MIN_SERVED = 0.9
#: Asks of one host in a second, however many peers it has.
_MAX_ASKS = 60
#: Sizes of the failure domains.
_FLEETS = ((3, 2, 2), (18, 21, 20), (39, 39, 39, 39, 39))
_OPENED = 'opened'
_WHOLE_DOMAIN = 0.0
_ALL_BUT_ONE = 1.0
_CUTS = (_WHOLE_DOMAIN, 0.3, 0.6, 0.75, 0.9, _ALL_BUT_ONE)


@dataclasses.dataclass
class _Host:
    name: str
    domain: int
    paths: PathTable
    random: Random


class _Fleet:
    """Hosts of which some are cut; peers that are cut refuse at once."""

    def __init__(self, domains: tuple[int, ...], cut: float, seed: int) -> None:
        random = Random(seed)
        self.hosts = tuple(
            _Host(
                f'host-{domain}-{number}',
                domain,
                PathTable(),
                Random(f'{seed} {domain} {number}'),
            )
            for domain, size in enumerate(domains)
            for number in range(size)
        )
        self.by_name = {host.name: host for host in self.hosts}
        self.cut = frozenset(self._draw_cut(cut, random))
        #: Calls since the cut was to be known: all, and those that were sent.
        self.calls = 0
        self.served = 0
        #: Asks by host and second.
        self.asks: dict[tuple[str, int], int] = {}

    def run(self) -> None:
        """Let each host that is cut send its calls."""
        for number in range(_CALLS):
            now_s = number * _CALL_INTERVAL_S
            served = [
                self._call(host, now_s)
                for host in self.hosts
                if host.name in self.cut
            ]
            if now_s >= _LEARNING_S:
                self.calls += len(served)
                self.served += sum(served)

    def _draw_cut(self, cut: float, random: Random) -> list[str]:
        names = [host.name for host in self.hosts]
        if cut == _WHOLE_DOMAIN:
            return [host.name for host in self.hosts if not host.domain]
        count = min(round(cut * len(names)), len(names) - 1)
        return random.sample(names, count)

    def _call(self, host: _Host, now_s: float) -> bool:
        peers = tuple(
            RelayPeer(
                other.name, Address('127.0.0.1', 1), other.domain == host.domain
            )
            for other in self.hosts
            if other is not host
        )
        if not host.paths.may_ask(_SERVER, now_s):
            return False
        reasons: list[str] = []
        is_searching = True
        while is_searching:
            chosen = host.paths.choose(_SERVER, peers, host.random, now_s)
            reasons += [self._ask(host, peer, now_s) for peer in chosen]
            if _OPENED in reasons:
                return True
            is_cut = CUT in reasons
            is_searching = bool(chosen) and host.paths.may_search_on(
                chosen, is_cut=is_cut, now_s=now_s
            )
        if not is_cut:
            host.paths.mark_unreachable(_SERVER, now_s)
        return False

    def _ask(self, host: _Host, peer: RelayPeer, now_s: float) -> str:
        """Ask a peer and return its answer."""
        key = (host.name, int(now_s))
        self.asks[key] = self.asks.get(key, 0) + 1
        if peer.name not in self.cut:
            host.paths.mark_opened(peer.name, now_s)
            host.paths.mark_cut(_SERVER, now_s)
            return _OPENED
        asked = self.by_name[peer.name]
        told = asked.paths.find_relay(host.random, now_s)
        host.paths.mark_refused(peer.name, _SERVER, now_s)
        host.paths.mark_failed(peer.name, now_s, told)
        return CUT if asked.paths.is_cut(_SERVER) else UNREACHABLE


class CutFleetTest(unittest.TestCase):
    """Cut hosts find the peers that reach a server, whichever these are."""

    # Guards against hosts of a cut domain that ask only each other.
    def test_first_tries_are_served(self) -> None:
        for domains, cut in itertools.product(_FLEETS, _CUTS):
            for seed in range(4 if sum(domains) < 100 else 1):
                fleet = _Fleet(domains, cut, seed)
                fleet.run()
                with self.subTest(domains=domains, cut=cut, seed=seed):
                    self.assertGreaterEqual(
                        fleet.served, _MIN_SERVED * fleet.calls
                    )

    # Guards against asks that grow with the fleet.
    def test_asks_of_a_host_are_bounded(self) -> None:
        for domains, cut in itertools.product(_FLEETS, _CUTS):
            fleet = _Fleet(domains, cut, 1)
            fleet.run()
            with self.subTest(domains=domains, cut=cut):
                self.assertLessEqual(max(fleet.asks.values()), _MAX_ASKS)


class EndedServerTest(unittest.TestCase):
    """A server that has ended refuses all hosts, none of which is cut."""

    # Guards against a search of the whole fleet whenever a server ends.
    def test_few_peers_are_asked(self) -> None:
        for domains in _FLEETS:
            fleet = _Fleet(domains, _ALL_BUT_ONE, 1)
            fleet.cut = frozenset(fleet.by_name)
            fleet.run()
            with self.subTest(domains=domains):
                # Two choices of three for each of four calls.
                self.assertLessEqual(max(fleet.asks.values()), 24)


if __name__ == '__main__':
    unittest.main()
