"""
Silences of streams on engines that are known to work, in virtual time.

Load pattern: an engine that prefills a prompt of another host sends its other
streams an event only every 0.25 to 1 s for a second, while nearly all engines
of a failure domain go down every few seconds.
"""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import unittest
from collections.abc import Callable

from ..decisions import decide
from ..look_messages import WaitEnded
from ..messages import (
    Action,
    Begin,
    CancelAttempt,
    Event,
    LookedElsewhere,
    LookElsewhere,
    ProbeServer,
    ServerChosen,
    ServerProbed,
    SetTimer,
    TimerFired,
    TokensArrived,
)
from ..server_activity import MoveReason, ServerActivity
from ..stall_detection import StallPolicy
from ..state import GenerationState

_MAX_PAUSE_S = 0.7
_LONG_PROMPT_TOKENS = 8000
_SHORT_PROMPT_TOKENS = 2000
_ROUND_TRIP_S = 0.002
_PROBE_TIMEOUT_S = 0.2
_FIRST_EVENT_S = 1.0
_DEADLINE_S = 20.0
#: Time after which the last attempt to read is over.
_END_S = 12.0

FindActivity = Callable[[float], ServerActivity | None]


def _unknown(now_s: float) -> None:
    """Return that nothing is known."""


def _idle(now_s: float) -> ServerActivity:
    return ServerActivity(now_s)


def _prefilling(now_s: float) -> ServerActivity:
    return ServerActivity(now_s, prefilling=1)


def _slow_prefilling(now_s: float) -> ServerActivity:
    return ServerActivity(now_s, prefilling=1, slowdown=2.5, speed=0.6)


@dataclasses.dataclass(frozen=True)
class _Engine:
    """
    Engine of the stream.

    :param activity: what is known of its work at a time.
    :param gaps_s: times between its events.
    :param accepts: whether it accepts connections once its events are over.
    :param first_event_s: time of the first event.
    :param candidate: what is known of the server that could take over.
    """

    activity: FindActivity = _unknown
    gaps_s: tuple[float, ...] = ()
    accepts: bool = True
    first_event_s: float = _FIRST_EVENT_S
    candidate: FindActivity = _unknown


class _Stream:
    """
    One stream up to its first move.

    :param engine: its engine.
    :param copy_to: server that keeps a copy of the run, empty for none.
    :param prompt_tokens: length of its prompt.
    """

    def __init__(
        self,
        engine: _Engine,
        copy_to: str = 'c',
        prompt_tokens: int = _LONG_PROMPT_TOKENS,
    ) -> None:
        #: Looks before its last event.
        self.looks = 0
        self.waits = 0
        self.moved: CancelAttempt | None = None
        self.silent_s = 0.0
        self._engine = engine
        self._copy_to = copy_to
        self._now_s = 0.0
        self._order = itertools.count()
        self._events: list[tuple[float, int, Event]] = []
        policy = StallPolicy.from_route(_MAX_PAUSE_S, 4, prompt_tokens, 5)
        self._state = GenerationState(_DEADLINE_S, policy)
        self._run()

    @property
    def has_all_events(self) -> bool:
        """Whether the stream was moved only after the last event."""
        return self._state.accepted > len(self._engine.gaps_s)

    def _run(self) -> None:
        self._feed(Begin())
        self._feed(ServerChosen('s', copy_to=self._copy_to))
        at_s = self._engine.first_event_s
        for offset, gap_s in enumerate((0, *self._engine.gaps_s)):
            at_s += gap_s
            self._schedule(at_s, TokensArrived(1, offset, ('a',)))
        self._last_event_at_s = at_s
        while self._events and not self.moved and self._now_s < _END_S:
            scheduled = heapq.heappop(self._events)
            self._now_s = scheduled[0]
            self._feed(scheduled[2])

    def _feed(self, event: Event) -> None:
        activity = self._engine.activity(self._now_s)
        if isinstance(event, (ServerChosen, TimerFired, LookedElsewhere)):
            event = dataclasses.replace(event, activity=activity)
        if isinstance(event, LookedElsewhere):
            candidate = self._engine.candidate(self._now_s)
            event = dataclasses.replace(event, candidate_activity=candidate)
        silent_s = self._now_s - self._state.last_activity_at_s
        decision = decide(self._state, event, self._now_s)
        self._state = decision.state
        for action in decision.actions:
            self._perform(action, silent_s)

    def _perform(self, action: Action, silent_s: float) -> None:
        match action:
            case SetTimer():
                self._schedule(action.at_s, TimerFired())
            case ProbeServer():
                self._reply(lambda alive: ServerProbed(1, alive))
            case LookElsewhere():
                self.looks += int(self._now_s < self._last_event_at_s)
                candidate = action.choice.copy_holder or 'x'
                self._reply(lambda alive: LookedElsewhere(1, candidate, alive))
            case WaitEnded():
                self.waits += 1
            case CancelAttempt():
                self.moved = action
                self.silent_s = silent_s

    def _reply(self, make_event: Callable[[bool], Event]) -> None:
        is_up = self._now_s < self._last_event_at_s
        is_alive = is_up or self._engine.accepts
        delay_s = _ROUND_TRIP_S if is_alive else _PROBE_TIMEOUT_S
        self._schedule(self._now_s + delay_s, make_event(is_alive))

    def _schedule(self, at_s: float, event: Event) -> None:
        due_s = max(at_s, self._now_s)
        heapq.heappush(self._events, (due_s, next(self._order), event))


class PrefillTest(unittest.TestCase):
    """Streams wait for an engine that prefills other prompts."""

    # Runs with a copy were moved after 364 ms although their engine was alive
    # and the pause would have ended in time.
    def test_stream_with_copy_waits_for_events_in_time(self) -> None:
        for gap_s in (0.25, 0.43, 0.5):
            gaps_s = (0.03, 0.03, *(gap_s,) * 4)
            with self.subTest(gap_s=gap_s):
                stream = _Stream(_Engine(_prefilling, gaps_s))
                self.assertTrue(stream.has_all_events)
                self.assertGreater(stream.waits, 0)

    # Prompts were read again though the engine was about to go on.
    def test_stream_without_copy_is_not_read_anew(self) -> None:
        gaps_s = (0.03, 0.03, 0.25, 0.63, 1.0, 0.03)
        for prompt_tokens in (_SHORT_PROMPT_TOKENS, _LONG_PROMPT_TOKENS):
            with self.subTest(prompt_tokens=prompt_tokens):
                engine = _Engine(_slow_prefilling, gaps_s)
                stream = _Stream(engine, '', prompt_tokens)
                self.assertTrue(stream.has_all_events)

    # A stream that waited for its engine looked every 0.3 s, at two connections
    # a look.
    def test_waiting_stream_looks_less_often(self) -> None:
        gaps_s = (0.03, 0.03, 1.0, 1.0)
        before = _Stream(_Engine(_unknown, gaps_s), '')
        stream = _Stream(_Engine(_slow_prefilling, gaps_s), '')
        self.assertTrue(stream.has_all_events)
        self.assertLess(stream.looks, 0.7 * before.looks)

    # An event due after 1.04 s would exceed the longest pause of 700 ms, which
    # the move to a copy ends in time.
    def test_copy_is_used_before_the_pause_is_too_long(self) -> None:
        for activity in (_prefilling, _slow_prefilling):
            with self.subTest(activity=activity.__name__):
                stream = _Stream(_Engine(activity, (0.03, 0.03)))
                self.assertGreater(stream.silent_s, 0.5)
                self.assertLess(stream.silent_s, 0.75 * _MAX_PAUSE_S + 0.01)
                assert stream.moved is not None and stream.moved.basis
                self.assertIs(stream.moved.basis.reason, MoveReason.OVERDUE)

    # A stream was moved to an engine whose next event was due even later.
    def test_engine_with_more_work_does_not_take_over(self) -> None:
        for activity in (_idle, _slow_prefilling):
            with self.subTest(candidate=activity.__name__):
                gaps_s = (0.03, 0.03, 0.8)
                engine = _Engine(_prefilling, gaps_s, candidate=activity)
                stream = _Stream(engine)
                is_busy = activity is _slow_prefilling
                self.assertEqual(stream.has_all_events, is_busy)

    # The first event of an engine with three prompts ahead came after the
    # timeout of 3.2 s, and the prompt was read again elsewhere.
    def test_first_event_follows_the_prompts_ahead(self) -> None:
        def find_activity(now_s: float) -> ServerActivity:
            ahead = 3 if now_s < 2 else 0
            return ServerActivity(now_s, prefilling=ahead, speed=0.6)

        engine = _Engine(find_activity, (0.03,), first_event_s=5.0)
        stream = _Stream(engine, '')
        self.assertTrue(stream.has_all_events)

    # An engine that never begins must not be waited for until the deadline.
    def test_missing_first_event_is_not_waited_for(self) -> None:
        stream = _Stream(_Engine(_slow_prefilling, first_event_s=_END_S), '')
        assert stream.moved is not None and stream.moved.basis
        self.assertIs(stream.moved.basis.reason, MoveReason.FIRST_EVENT)
        self.assertLess(stream.silent_s, 0.5 * _END_S)


class ResumedStreamTest(unittest.TestCase):
    """The first event from a copy is awaited as long as a move takes."""

    # A holder that hangs kept the stream for the time of all its prompts.
    def test_wait_for_a_busy_holder_is_bounded(self) -> None:
        policy = StallPolicy.from_route(
            _MAX_PAUSE_S, 4.5, _LONG_PROMPT_TOKENS, 5
        )
        for prompts, extra_s in ((1, 0.25), (8, 2.0), (40, policy.move_cost_s)):
            with self.subTest(prompts=prompts):
                activity = ServerActivity(0, prefilling=prompts)
                allowed_s = activity.first_event_s(0.5, policy, uses_copy=True)
                self.assertAlmostEqual(allowed_s, 0.5 + extra_s)


class DeathTest(unittest.TestCase):
    """Engines that are down are left as early as before."""

    # Reports of other hosts still tell prompts of an engine that went down.
    def test_dead_engine_is_left_as_early(self) -> None:
        for copy_to in ('c', ''):
            for activity in (_idle, _prefilling, _slow_prefilling):
                with self.subTest(copy_to=copy_to, at=activity.__name__):
                    gaps_s = (0.03, 0.03)
                    before = _Stream(
                        _Engine(_unknown, gaps_s, accepts=False), copy_to
                    )
                    stream = _Stream(
                        _Engine(activity, gaps_s, accepts=False), copy_to
                    )
                    self.assertEqual(stream.silent_s, before.silent_s)
                    self.assertIsNotNone(stream.moved)

    # An engine that accepts connections may hang. The more prompts the only
    # candidate had, the longer the stream waited after the expected event.
    def test_busy_candidate_bounds_the_wait(self) -> None:
        def find_activity(now_s: float) -> ServerActivity:
            return ServerActivity(now_s, prefilling=8, speed=0.6)

        gaps_s = (0.03, 0.03)
        before = _Stream(_Engine(_unknown, gaps_s), '')
        engine = _Engine(_prefilling, gaps_s, candidate=find_activity)
        stream = _Stream(engine, '')
        self.assertIsNotNone(stream.moved)
        self.assertLess(stream.silent_s, 2 * before.silent_s + 0.4)

    # Nobody else is on the engine, so nothing explains its silence.
    def test_lone_stream_is_moved_as_early(self) -> None:
        gaps_s = (0.03, 0.03)
        before = _Stream(_Engine(_unknown, gaps_s))
        stream = _Stream(_Engine(_idle, gaps_s))
        self.assertEqual(stream.silent_s, before.silent_s)
        assert stream.moved is not None and stream.moved.basis
        self.assertIs(stream.moved.basis.reason, MoveReason.SILENT)
        self.assertTrue(stream.moved.blames_server)
        self.assertIsNone(before.moved and before.moved.basis)


class OtherStreamsTest(unittest.TestCase):
    """Events of other streams show that the engine goes on."""

    # Each silent stream looked for another server every 0.3 s while its engine
    # was sending events to the next stream.
    def test_events_of_others_spare_looks_and_moves(self) -> None:
        def find_activity(now_s: float) -> ServerActivity:
            return ServerActivity(now_s, progress_at_s=now_s - 0.05)

        gaps_s = (0.03, 0.03, 0.4, 0.5, 0.03)
        stream = _Stream(_Engine(find_activity, gaps_s))
        self.assertEqual(stream.waits, 1)
        # One look, in the silence of 0.5 s.
        self.assertEqual(stream.looks, 1)
        # The engine is not avoided for it.
        assert stream.moved is not None
        self.assertFalse(stream.moved.blames_server)


if __name__ == '__main__':
    unittest.main()
