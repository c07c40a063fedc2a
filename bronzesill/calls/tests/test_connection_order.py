"""
Order of servers by open connections.

Load: 73 hosts send 1.7 calls a second each to 4 servers of 6 slots.  A host
that turns to another server with each call finds connections that were idle
for too long, and opens a new one for almost every second call.
"""

import dataclasses
import heapq
import itertools
import unittest
from collections import Counter, deque
from collections.abc import Sequence
from random import Random
from typing import TypeAlias

from ...config import BackendServer
from ...routing import LoadReport, ServerTracker, ServerView
from ...utils import Address
from ..connection_order import prefer_connected

_SLOTS = 6
_HOSTS = 73
_CALLS_PER_S = 1.7
_SERVERS = ('s0', 's1', 's2', 's3')
_CALL_S = 0.1
_ORDER_SHARE = 0.6
_MAX_RATIO = 0.4
_MAX_LOAD_RATIO = 1.3

#: Host and time of each waiting call.
_Queue: TypeAlias = 'deque[tuple[int, float]]'


def _cost(view: ServerView) -> float:
    return view.fill


@dataclasses.dataclass(frozen=True)
class _Plan:
    """
    Course of one run.

    :param is_changed: whether hosts prefer connected servers and reuse
        connections for as long as the servers state.
    :param slowdowns: slowdown by server.
    :param gone: times between which the server ``s1`` takes no calls.
    :param moves_at_s: time from which the first half of the hosts gets the
        calls of the other half as well.
    """

    is_changed: bool
    slowdowns: dict[str, float] = dataclasses.field(default_factory=dict)
    gone: tuple[float, float] = (0, 0)
    moves_at_s: float = 1000


class _Run:
    """Calls of all hosts in virtual time."""

    def __init__(self, plan: _Plan, seconds: float = 40) -> None:
        self.opened = 0
        self.calls_by_server: Counter[str] = Counter()
        self.latencies_s: list[float] = []
        self._plan = plan
        self._random = Random(1)
        self._trackers = [_make_tracker() for _ in range(_HOSTS)]
        self._idle: dict[tuple[int, str], list[float]] = {
            key: [] for key in itertools.product(range(_HOSTS), _SERVERS)
        }
        self._running: Counter[str] = Counter()
        self._waiting: dict[str, _Queue] = {name: deque() for name in _SERVERS}
        self._numbers = itertools.count()
        self._events = [(0.0, next(self._numbers), '', 0, 0.0)]
        while self._events[0][0] < seconds:
            now_s, _, server, host, began_s = heapq.heappop(self._events)
            if server:
                self._end(now_s, server, host, began_s)
            else:
                self._call(now_s)

    def _call(self, now_s: float) -> None:
        random = self._random
        pause_s = random.expovariate(_HOSTS * _CALLS_PER_S)
        self._push(now_s + pause_s, '', 0, 0)
        moved = now_s >= self._plan.moves_at_s
        host = random.randrange(_HOSTS // 2 if moved else _HOSTS)
        is_order = random.random() < _ORDER_SHARE
        max_idle_s = 1 if is_order and not self._plan.is_changed else 4
        server = self._choose(now_s, host, max_idle_s)
        self.calls_by_server[server] += 1
        self._trackers[host].opened(server)
        if self._has_idle(now_s, host, server, max_idle_s):
            self._idle[host, server].pop()
        else:
            self.opened += 1
            self._idle[host, server].clear()
        self._waiting[server].append((host, now_s))
        self._start(now_s, server)

    def _choose(self, now_s: float, host: int, max_idle_s: float) -> str:
        begin_s, end_s = self._plan.gone
        views = [
            view
            for view in self._trackers[host].service_views('shop', now_s)
            if view.name != 's1' or not begin_s <= now_s < end_s
        ]
        self._random.shuffle(views)
        views.sort(key=_cost)
        if self._plan.is_changed:
            connected = [
                name
                for name in _SERVERS
                if self._has_idle(now_s, host, name, max_idle_s)
            ]
            views = prefer_connected(views, _cost, f'h{host}', connected)
        return views[0].name

    def _has_idle(
        self, now_s: float, host: int, server: str, max_idle_s: float
    ) -> bool:
        idle = self._idle[host, server]
        return bool(idle) and now_s - idle[-1] <= max_idle_s

    def _start(self, now_s: float, server: str) -> None:
        while self._waiting[server] and self._running[server] < _SLOTS:
            host, began_s = self._waiting[server].popleft()
            self._running[server] += 1
            lasts_s = self._random.expovariate(1 / _CALL_S)
            lasts_s *= self._plan.slowdowns.get(server, 1)
            self._push(now_s + lasts_s, server, host, began_s)

    def _end(
        self, now_s: float, server: str, host: int, began_s: float
    ) -> None:
        self._running[server] -= 1
        self._start(now_s, server)
        load = self._running[server] + len(self._waiting[server])
        tracker = self._trackers[host]
        tracker.reported(server, LoadReport(load, '', now_s, 1))
        tracker.closed(server)
        self._idle[host, server].append(now_s)
        self.latencies_s.append(now_s - began_s)

    def _push(self, *event: float | str) -> None:
        at_s, server, host, began_s = event
        entry = (at_s, next(self._numbers), server, host, began_s)
        heapq.heappush(self._events, entry)  # type: ignore[misc]


def _make_tracker() -> ServerTracker:
    tracker = ServerTracker()
    address = Address('10.0.0.1', 80)
    server = BackendServer(address, 'a', 'v1', service='shop', capacity=_SLOTS)
    tracker.replace_servers(dict.fromkeys(_SERVERS, server))
    return tracker


def _view(name: str, running: int = 0, age_s: float = 0) -> ServerView:
    return ServerView(
        name,
        'a',
        '',
        'v1',
        _SLOTS,
        reported_running=running,
        report_age_s=age_s,
    )


def _order(views: Sequence[ServerView], *connected: str) -> list[str]:
    by_cost = sorted(views, key=lambda view: (view.is_suspected, _cost(view)))
    ordered = prefer_connected(by_cost, _cost, 'h', connected)
    return [view.name for view in ordered]


class OrderTest(unittest.TestCase):
    """Connections decide between servers of about equal cost only."""

    def test_connected_server_comes_first(self) -> None:
        views = [_view(name, running=2) for name in _SERVERS]
        for name in _SERVERS:
            self.assertEqual(_order(views, name)[0], name)

    def test_cost_decides_from_one_request_on(self) -> None:
        """Calls kept to connected servers that were clearly slower."""
        views = [_view('s0', running=2), _view('s1', running=2)]
        self.assertEqual(_order(views, 's1')[0], 's1')
        views = [_view('s0', running=2), _view('s1', running=3)]
        self.assertEqual(_order(views, 's1')[0], 's0')

    def test_server_that_was_not_heard_of_lately_has_the_usual_load(
        self,
    ) -> None:
        """A decayed report made the server with no connection the emptiest."""
        views = [_view('s0', running=4, age_s=20), _view('s1', running=4)]
        self.assertEqual(_order(views, 's1')[0], 's1')

    def test_suspected_server_stays_last(self) -> None:
        suspected = dataclasses.replace(_view('s0'), is_suspected=True)
        views = [suspected, _view('s1', running=5)]
        self.assertEqual(_order(views, 's0'), ['s1', 's0'])
        self.assertEqual(_order([suspected], 's0'), ['s0'])

    def test_hosts_differ_in_the_order_of_unconnected_servers(self) -> None:
        views = [_view(name) for name in _SERVERS]
        firsts = {
            prefer_connected(views, _cost, f'h{host}', ())[0].name
            for host in range(_HOSTS)
        }
        self.assertEqual(firsts, set(_SERVERS))


class LoadTest(unittest.TestCase):
    """Few new connections, with an even load, on a course of 40 s."""

    def compare(self, **course: object) -> tuple[_Run, _Run]:
        before = _Run(_Plan(False, **course))  # type: ignore[arg-type]
        after = _Run(_Plan(True, **course))  # type: ignore[arg-type]
        self.assertLess(after.opened, _MAX_RATIO * before.opened)
        return before, after

    def assert_even(self, run: _Run) -> None:
        even = run.calls_by_server.total() / len(_SERVERS)
        highest = max(run.calls_by_server.values())
        self.assertLess(highest, _MAX_LOAD_RATIO * even)

    def test_steady_load(self) -> None:
        self.assert_even(self.compare()[1])

    def test_callers_move_between_hosts(self) -> None:
        self.assert_even(self.compare(moves_at_s=15.0)[1])

    def test_server_gone_and_back(self) -> None:
        self.assert_even(self.compare(gone=(10.0, 12.0))[1])

    def test_slow_server_gets_fewer_calls(self) -> None:
        before, after = self.compare(slowdowns={'s1': 2.5})
        even = after.calls_by_server.total() / len(_SERVERS)
        self.assertLess(after.calls_by_server['s1'], 0.75 * even)
        mean_before_s = sum(before.latencies_s) / len(before.latencies_s)
        mean_after_s = sum(after.latencies_s) / len(after.latencies_s)
        self.assertLess(mean_after_s, 1.15 * mean_before_s)
