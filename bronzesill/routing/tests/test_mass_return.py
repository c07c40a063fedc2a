"""
Streams that come back together after a kill of all hosts.

Pattern: restarted daemons know nothing of each other's streams; the callers
of all of them reconnect within a tenth of a second.
"""

import collections
import unittest
from random import Random

from ...config import BackendServer
from ...utils import Address
from ..choose import Requirements, choose_server
from ..server_tracker import ServerTracker

_DAEMONS = 7
_STREAMS_PER_DAEMON = 5
_DOMAINS = ('a', 'b', 'c')
_SERVERS_PER_DOMAIN = 6
_SEEDS = 20
#: Streams whose prompts one server can process within the target latency.
_MAX_STREAMS_PER_SERVER = 6


def _servers() -> dict[str, BackendServer]:
    return {
        f's{domain}{number}': BackendServer(
            Address('10.0.0.1', 1000 * index + number + 1),
            domain,
            'v1',
            model='m',
            capacity=32,
            started_at_s=100.0 * index,
        )
        for index, domain in enumerate(_DOMAINS)
        for number in range(_SERVERS_PER_DOMAIN)
    }


def _place_streams(
    seed: int, *, is_usage_shared: bool
) -> collections.Counter[str]:
    """Return the streams by server if each daemon sees only its own."""
    streams: collections.Counter[str] = collections.Counter()
    requirements = Requirements('m', '', is_usage_shared=is_usage_shared)
    for daemon in range(_DAEMONS):
        tracker = ServerTracker()
        tracker.replace_servers(_servers())
        random = Random(f'{seed} {daemon}')
        for _ in range(_STREAMS_PER_DAEMON):
            chosen = choose_server(tracker.views(0), requirements, random)
            assert chosen is not None
            tracker.opened(chosen.name)
            streams[chosen.name] += 1
    return streams


class MassReturnTest(unittest.TestCase):
    """Daemons that know only their own streams spread them."""

    def test_streams_are_spread_while_the_use_of_peers_is_unknown(
        self,
    ) -> None:
        for seed in range(_SEEDS):
            with self.subTest(seed=seed):
                streams = _place_streams(seed, is_usage_shared=False)
                self.assertLessEqual(
                    max(streams.values()), _MAX_STREAMS_PER_SERVER
                )

    def test_daemons_that_trust_missing_reports_meet_at_few_servers(
        self,
    ) -> None:
        used = [
            len(_place_streams(seed, is_usage_shared=True))
            for seed in range(_SEEDS)
        ]
        spread = [
            len(_place_streams(seed, is_usage_shared=False))
            for seed in range(_SEEDS)
        ]
        self.assertLess(sum(used), sum(spread))


if __name__ == '__main__':
    unittest.main()
