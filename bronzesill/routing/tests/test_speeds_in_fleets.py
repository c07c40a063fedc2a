"""
Choice by expected time, on servers of different speeds.

Pattern: engines of speeds 0.6, 1.0 and 1.6, of which one in seven at a time
takes 2.5 times as long for 0.6 s; prompts of 8,000 tokens and answers of 130
events.  An engine that prefills a prompt sends its other streams an event
every 0.25 s in place of every 0.03 s, and prefills one prompt after the other.
"""

import dataclasses
import unittest
from random import Random

from ...config import BackendServer
from ...utils import Address
from ..choose import Requirements, choose_server
from ..event_pace import EventPace
from ..expected_time import StreamSize
from ..records import LoadReport
from ..server_tracker import ServerTracker
from ..use_reports import UseReport
from ..views import ServerView

_SPEEDS = (0.6, 1.0, 1.6)
_PROMPT_TOKENS = 8_000
_OUTPUT_TOKENS = 1_500
_EVENTS = 130
_STEP_S = 0.05
_END_S = 28.0
#: Answers to requests of the first seconds, in which nothing is known, do not
#: count, nor do those to the last ones, which have no time to end.
_COUNTED_S = (5.0, 16.0)
_VALID_S = 2.1
_REPORT_STEPS = 14
_MAX_RATIO = 1.15


@dataclasses.dataclass(frozen=True)
class _Fleet:
    hosts: int
    servers: int
    streams_per_s: float


_FLEETS = (_Fleet(7, 18, 4), _Fleet(68, 44, 10), _Fleet(195, 59, 10))


class _Stream:
    def __init__(self, host: int, now_s: float) -> None:
        self.host = host
        self.began_s = now_s
        self.prompt_tokens = _PROMPT_TOKENS
        self.events: float = 0
        self.read_events = 0
        self.pace = EventPace()


class _Engine:
    """Prefills one prompt at a time, and decodes all others beside it."""

    def __init__(self, name: str, speed: float, random: Random) -> None:
        self.name = name
        self.speed = speed
        self.streams: list[_Stream] = []
        self.slowdown: float = 1
        self.event_s: float = 0
        self._random = random
        self._changes_s = 0.6 * random.random()

    def step(self, now_s: float) -> None:
        if now_s >= self._changes_s:
            self._changes_s += 0.6
            is_slow = self._random.random() < 1 / 7
            self.slowdown = 2.5 if is_slow else 1
        rate = self.speed / self.slowdown
        waiting = [stream for stream in self.streams if stream.prompt_tokens]
        event_s = 0.25 if waiting else 0.03
        self.event_s = event_s / rate
        for decoding in self.streams:
            if not decoding.prompt_tokens:
                decoding.events += _STEP_S / self.event_s
        for first in waiting[:1]:
            left = first.prompt_tokens - round(8_000 * rate * _STEP_S)
            first.prompt_tokens = max(left, 0)


class _Play:
    """Streams of all hosts in virtual time, and their mean time to answer."""

    def __init__(
        self, fleet: _Fleet, *, is_fill: bool = False, is_exact: bool = False
    ) -> None:
        self.latencies_s: list[float] = []
        self.requests_by_speed = dict.fromkeys(_SPEEDS, 0)
        self._fleet = fleet
        self._is_fill = is_fill
        self._is_exact = is_exact
        self._random = Random(5)
        noise = Random(6)
        self._engines = {
            f's{number}': _Engine(f's{number}', _SPEEDS[number % 3], noise)
            for number in range(fleet.servers)
        }
        self._trackers = [self._make_tracker() for _ in range(fleet.hosts)]
        self._collector = self._make_tracker()
        self._changed: set[int] = set()
        self._sequence = 0

    def run(self) -> float:
        """Return the mean time to answer in seconds."""
        arrivals = Random(7)
        arrives_s = 0.0
        for step in range(round(_END_S / _STEP_S)):
            now_s = step * _STEP_S
            while arrives_s <= now_s:
                arrives_s += arrivals.expovariate(self._fleet.streams_per_s)
                self._start(arrivals.randrange(self._fleet.hosts), now_s)
            for engine in self._engines.values():
                engine.step(now_s)
                for stream in tuple(engine.streams):
                    self._read(engine, stream, now_s + _STEP_S)
            if step % _REPORT_STEPS == 0:
                self._changed.update(range(self._fleet.hosts))
            self._report(now_s)
        return sum(self.latencies_s) / len(self.latencies_s)

    def _make_tracker(self) -> ServerTracker:
        tracker = ServerTracker()
        tracker.replace_servers(
            {
                name: BackendServer(
                    Address('10.0.0.1', 80), f'd{index % 5}', 'v1', model='m'
                )
                for index, name in enumerate(self._engines)
            }
        )
        return tracker

    def _start(self, host: int, now_s: float) -> None:
        tracker = self._trackers[host]
        self._sequence += 1
        own = UseReport('collector', self._sequence, (), valid_s=_VALID_S)
        totals = self._collector.build_totals(own, f'h{host}', now_s)
        tracker.apply_use_report(totals, now_s)
        views = tracker.views(now_s)
        if self._is_exact:
            views = tuple(map(self._with_speed, views))
        chosen = choose_server(views, self._require(tracker), self._random)
        assert chosen is not None
        engine = self._engines[chosen.name]
        engine.streams.append(_Stream(host, now_s))
        tracker.opened(chosen.name)
        tracker.memory_changed(chosen.name, _PROMPT_TOKENS + _OUTPUT_TOKENS)
        self._changed.add(host)
        if now_s >= _COUNTED_S[0]:
            self.requests_by_speed[engine.speed] += 1

    def _require(self, tracker: ServerTracker) -> Requirements:
        return Requirements(
            'm',
            '',
            is_usage_shared=True,
            size=StreamSize(_PROMPT_TOKENS, _OUTPUT_TOKENS),
            rates=None if self._is_fill else tracker.speeds.rates('m'),
        )

    def _with_speed(self, view: ServerView) -> ServerView:
        return dataclasses.replace(view, speed=self._engines[view.name].speed)

    def _read(self, engine: _Engine, stream: _Stream, now_s: float) -> None:
        tracker = self._trackers[stream.host]
        while stream.read_events < int(stream.events):
            if not stream.read_events:
                self._read_first(engine, stream, now_s)
            stream.read_events += 1
            late_s = (stream.events - stream.read_events) * engine.event_s
            gap_s = stream.pace.arrived(now_s - late_s)
            if gap_s is not None:
                tracker.speeds.measured(engine.name, gap_s, now_s)
        if stream.read_events >= _EVENTS:
            self._end(engine, stream, now_s)

    def _read_first(
        self, engine: _Engine, stream: _Stream, now_s: float
    ) -> None:
        tracker = self._trackers[stream.host]
        load = LoadReport(len(engine.streams), '', now_s, engine.slowdown)
        tracker.response_started(engine.name)
        tracker.reported(engine.name, load)
        tracker.speeds.answer_began(
            engine.name, _PROMPT_TOKENS, now_s - stream.began_s, now_s
        )
        self._changed.add(stream.host)

    def _end(self, engine: _Engine, stream: _Stream, now_s: float) -> None:
        tracker = self._trackers[stream.host]
        engine.streams.remove(stream)
        tracker.closed(engine.name, has_response_started=True)
        tracker.memory_changed(engine.name, -_PROMPT_TOKENS - _OUTPUT_TOKENS)
        tracker.speeds.answer_ended(engine.name, _EVENTS)
        self._changed.add(stream.host)
        if _COUNTED_S[0] <= stream.began_s < _COUNTED_S[1]:
            self.latencies_s.append(now_s - stream.began_s)

    def _report(self, now_s: float) -> None:
        for host in self._changed:
            self._sequence += 1
            report = self._trackers[host].build_use_report(
                f'h{host}', self._sequence, now_s, _VALID_S
            )
            self._collector.apply_use_report(report, now_s)
        self._changed.clear()


class ExpectedTimeTest(unittest.TestCase):
    """Speeds learnt from streams serve about as well as known ones."""

    def test_mean_time_is_near_that_with_known_speeds(self) -> None:
        for fleet in _FLEETS:
            with self.subTest(fleet=fleet):
                learnt_s = _Play(fleet).run()
                exact_s = _Play(fleet, is_exact=True).run()
                self.assertLessEqual(learnt_s, _MAX_RATIO * exact_s)


if __name__ == '__main__':
    unittest.main()
