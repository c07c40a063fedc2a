"""
A version that is bad on a rare route only.

Pattern: hundreds of hosts, 15 requests a second to one service in a window
of 16 s, of which a rare route has 2; more than half of that route's requests
fail on the new version.  Too few of them are answered to tell in time.
"""

import random
import unittest

from ..evidence import Evidence, ServerEvidence, bucket_of_s
from ..exposure import Exposure, ExposureLimit, RouteCounts
from ..policy import MoveAction, MoveProgress, decide
from ..record import MoveRecord

_WINDOW_S = 16.0
_TICK_S = 0.5
_PER_S_BY_ROUTE = {'guide': 2.0, 'lookbook': 13.3}
_BAD_ROUTE = 'guide'
_FAILURE_RATIO = 0.59
_SERVERS = 40
#: Ticks from the first token of a stream to its end.
_STREAM_TICKS = 12
_SEEDS = 100
_LIMIT = ExposureLimit(ratio=0.1, slack=50)


class _Traffic:
    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self.new_requests = 0
        self.requests = 0

        self._ends: list[dict[str, Evidence]] = []
        for _ in range(_STREAM_TICKS):
            self.tick(0)
        self.requests = 0

    def tick(self, share: float) -> dict[str, Evidence]:
        """Return the first tokens and failures of now, and earlier ends."""
        self._ends.append({route: Evidence() for route in _PER_S_BY_ROUTE})
        evidence = {
            route: self._route_evidence(route, per_s * _TICK_S, share)
            for route, per_s in _PER_S_BY_ROUTE.items()
        }
        if len(self._ends) <= _STREAM_TICKS:
            return evidence
        ended = self._ends.pop(0)
        return {
            route: counts.plus(ended[route])
            for route, counts in evidence.items()
        }

    def _route_evidence(
        self, route: str, count: float, share: float
    ) -> Evidence:
        evidence = Evidence()
        whole = int(count) + (self._random.random() < count - int(count))
        for _ in range(whole):
            evidence = evidence.plus(self._request(route, share))
        return evidence

    def _request(self, route: str, share: float) -> Evidence:
        is_new = self._random.random() < share
        self.requests += 1
        self.new_requests += is_new
        is_bad = is_new and route == _BAD_ROUTE
        is_failed = is_bad and self._random.random() < _FAILURE_RATIO
        counts = list(ServerEvidence('').first_token)
        if not is_failed:
            counts[bucket_of_s(self._random.uniform(1, 2))] = 1
        version = 'v2' if is_new else 'v1'
        server = f'{version}-{self._random.randrange(_SERVERS)}'
        if not is_failed:
            ended = Evidence({server: ServerEvidence(version, 1)})
            self._ends[-1][route] = self._ends[-1][route].plus(ended)
        return Evidence(
            {
                server: ServerEvidence(
                    version, int(is_failed), int(is_failed), tuple(counts)
                )
            }
        )


def _play(seed: int) -> _Traffic:
    """Play a move until its deadline and return the traffic."""
    traffic = _Traffic(seed)
    record = MoveRecord('m', 's', 'v1', 'v2', 0, _WINDOW_S, 'nino', 'newer')
    progress = MoveProgress.from_record(record, _LIMIT)
    share: float = 0
    for tick in range(1, int(_WINDOW_S / _TICK_S) + 1):
        now_s = tick * _TICK_S
        decision = decide(record, progress, traffic.tick(share), now_s)
        progress = decision.progress
        if decision.action is MoveAction.COMMIT:
            share = 1
            _finish(traffic, tick)
            return traffic
        if decision.action is MoveAction.ROLL_BACK:
            return traffic
        if decision.action is MoveAction.INCREASE_SHARE:
            share = decision.share
            record = record.changed(now_s=now_s, by='d', note='', share=share)
    return traffic


def _finish(traffic: _Traffic, tick: int) -> None:
    for _ in range(tick, int(_WINDOW_S / _TICK_S)):
        traffic.tick(1)


class RareRouteTest(unittest.TestCase):
    """Such a version never gets more requests than allowed."""

    def test_bad_version_stays_within_its_limit(self) -> None:
        all_requests = sum(_PER_S_BY_ROUTE.values()) * _WINDOW_S
        allowed = _LIMIT.ratio * all_requests + _LIMIT.slack
        exceeded = [
            seed for seed in range(_SEEDS) if _play(seed).new_requests > allowed
        ]
        self.assertEqual(exceeded, [])


class ExposureTest(unittest.TestCase):
    """Whether a commit risks too many requests."""

    def test_little_traffic_cannot_exceed_the_slack(self) -> None:
        exposure = Exposure({'r': RouteCounts(30, 2)})
        self.assertEqual(exposure.routes_without_verdict(), ('r',))
        self.assertFalse(exposure.would_exceed(_LIMIT, 12, 4))

    def test_much_traffic_exceeds_it(self) -> None:
        exposure = Exposure({'r': RouteCounts(180, 30)})
        self.assertTrue(exposure.would_exceed(_LIMIT, 12, 4))

    def test_route_with_few_requests_needs_no_verdict(self) -> None:
        exposure = Exposure(
            {'rare': RouteCounts(2, 0), 'main': RouteCounts(200, 40)}
        )
        self.assertEqual(exposure.routes_without_verdict(), ())


if __name__ == '__main__':
    unittest.main()
