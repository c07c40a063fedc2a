"""Tests of resuming from memory copies, of probes and of event splitting."""

import dataclasses
import unittest

from ..decisions import decide
from ..event_stream import EventSplitter
from ..messages import (
    Action,
    AttemptLost,
    Begin,
    CancelAttempt,
    ChooseServer,
    Event,
    LookedElsewhere,
    LookElsewhere,
    LossCause,
    OpenAttempt,
    ProbeServer,
    ServerChosen,
    ServerProbed,
    TimerFired,
    TokensArrived,
)
from ..stall_detection import StallPolicy
from ..state import GenerationState


class _GenerationDriver:
    """Feeds events to one generation and keeps the resulting actions."""

    def __init__(self) -> None:
        policy = StallPolicy.from_route(0.7, 4.5, 8000, 5)
        self.state = GenerationState(100, policy)
        self.actions: tuple[Action, ...] = ()

    def feed(self, event: Event, now_s: float) -> None:
        decision = decide(self.state, event, now_s)
        self.state = decision.state
        self.actions = decision.actions

    def choose_action(self) -> ChooseServer:
        return next(
            action
            for action in self.actions
            if isinstance(action, ChooseServer)
        )

    def open_action(self) -> OpenAttempt:
        return next(
            action for action in self.actions if isinstance(action, OpenAttempt)
        )


class CopyTest(unittest.TestCase):
    """A copy can be used once, and only if the run had produced tokens."""

    def setUp(self) -> None:
        self.driver = _GenerationDriver()
        self.driver.feed(Begin(), 0)
        self.driver.feed(ServerChosen('s1', copy_to='c1'), 0)

    def lose(self, attempt: int, now_s: float) -> None:
        self.driver.feed(AttemptLost(attempt, LossCause.BROKEN), now_s)

    def test_run_with_tokens_resumes_from_its_copy(self) -> None:
        self.driver.feed(TokensArrived(1, 0, ('a',)), 1)
        self.lose(1, 2)
        self.assertEqual(self.driver.choose_action().copy_holder, 'c1')
        self.driver.feed(ServerChosen('c1', copy_to='c2'), 2)
        open_action = self.driver.open_action()
        self.assertTrue(open_action.uses_copy)
        self.assertEqual((open_action.offset, open_action.copy_to), (1, 'c2'))

    def test_run_without_a_first_token_has_no_copy(self) -> None:
        self.lose(1, 1)
        self.assertEqual(self.driver.choose_action().copy_holder, '')

    def test_refused_copy_is_not_used_again(self) -> None:
        self.driver.feed(TokensArrived(1, 0, ('a',)), 1)
        self.lose(1, 2)
        self.driver.feed(ServerChosen('c1', copy_to='c2'), 2)
        self.driver.feed(AttemptLost(2, LossCause.REFUSED), 2)
        self.assertEqual(self.driver.choose_action().copy_holder, '')

    def test_copy_remains_after_an_attempt_that_did_not_use_it(self) -> None:
        self.driver.feed(TokensArrived(1, 0, ('a',)), 1)
        self.lose(1, 2)
        self.driver.feed(ServerChosen('s2', copy_to='c2'), 2)
        self.driver.feed(AttemptLost(2, LossCause.REFUSED), 2)
        self.assertEqual(self.driver.choose_action().copy_holder, 'c1')


class ProbeTest(unittest.TestCase):
    """An engine that stops responding before its first token is detected."""

    def setUp(self) -> None:
        self.driver = _GenerationDriver()
        self.driver.feed(Begin(), 0)
        self.driver.feed(ServerChosen('s1'), 0)

    def test_waiting_for_the_first_token_probes_the_server(self) -> None:
        self.driver.feed(TimerFired(), 0.35)
        probes = [
            action
            for action in self.driver.actions
            if isinstance(action, ProbeServer)
        ]
        self.assertEqual(probes, [ProbeServer(1, 's1')])

    def look_action(self) -> LookElsewhere:
        return next(
            action
            for action in self.driver.actions
            if isinstance(action, LookElsewhere)
        )

    # A failed probe alone must not cost a run that a sound server goes on with.
    def test_unreachable_server_is_left_only_for_one_that_accepts(self) -> None:
        self.driver.feed(ServerProbed(1, is_alive=False), 0.5)
        self.assertTrue(self.look_action().has_refused)
        self.driver.feed(LookedElsewhere(1, '', is_alive=False), 0.65)
        self.driver.feed(TimerFired(), 0.8)
        self.assertEqual(self.driver.state.server, 's1')
        looked = LookedElsewhere(1, 's2', is_alive=False)
        self.driver.feed(looked, 0.82)
        # The path has just healed, so s1 may go on at once.
        self.assertEqual(self.driver.state.server, 's1')
        self.driver.feed(looked, 1.02)
        self.assertEqual(
            self.driver.choose_action(),
            ChooseServer(frozenset(('s1',)), is_resume=False, candidate='s2'),
        )

    def test_probe_of_an_earlier_attempt_is_ignored(self) -> None:
        self.driver.feed(AttemptLost(1, LossCause.BROKEN), 0.4)
        self.driver.feed(ServerChosen('s2'), 0.4)
        self.driver.feed(ServerProbed(1, is_alive=False), 0.5)
        self.assertEqual(self.driver.state.server, 's2')

    def test_reachable_server_is_kept(self) -> None:
        self.driver.feed(ServerProbed(1, is_alive=True), 0.5)
        self.driver.feed(TimerFired(), 2)
        self.assertEqual(self.driver.state.server, 's1')

    def test_stall_is_detected_early_enough_to_resume(self) -> None:
        self.driver.feed(AttemptLost(1, LossCause.BROKEN), 0)
        self.driver.feed(ServerChosen('s2', copy_to='c1'), 0)
        self.driver.feed(TokensArrived(2, 0, ('a',)), 1)
        self.driver.feed(TimerFired(), 1.2)
        self.assertEqual(self.look_action().choice.copy_holder, 'c1')
        self.driver.feed(LookedElsewhere(2, 'c1', is_alive=True), 1.21)
        self.driver.feed(TimerFired(), 1.34)
        self.assertEqual(self.driver.state.server, 's2')
        # What was seen before is old: a silence may have begun since.
        self.driver.feed(TimerFired(), 1.37)
        self.assertEqual(self.look_action().choice.copy_holder, 'c1')
        self.driver.feed(LookedElsewhere(2, 'c1', is_alive=True), 1.372)
        action = self.driver.choose_action()
        self.assertEqual(action.excluded, {'s1', 's2'})
        self.assertEqual(action.copy_holder, 'c1')

    def test_run_without_copy_is_left_when_a_move_costs_no_more(self) -> None:
        self.driver.feed(TokensArrived(1, 0, ('a',)), 1)
        self.driver.feed(LookedElsewhere(1, 's2', is_alive=True), 3.6)
        self.assertEqual(self.driver.state.server, 's1')
        self.driver.feed(LookedElsewhere(1, 's2', is_alive=True), 3.7)
        self.assertEqual(self.driver.choose_action().candidate, 's2')

    # A run was left just before the bytes lost in a silence were sent again.
    def test_lost_bytes_are_waited_for_when_a_server_is_back(self) -> None:
        self.driver.feed(TokensArrived(1, 0, ('a',)), 1)
        for at_s in (1.3, 2.5):
            self.driver.feed(LookedElsewhere(1, '', is_alive=False), at_s)
        back = LookedElsewhere(1, 's2', is_alive=True)
        for at_s in (3.0, 3.8, 4.2):
            self.driver.feed(back, at_s)
            self.assertEqual(self.driver.state.server, 's1')
        self.driver.feed(back, 4.35)
        self.assertEqual(self.driver.choose_action().candidate, 's2')

    def test_short_prompt_is_moved_without_waiting(self) -> None:
        policy = StallPolicy.from_route(0.7, 4.5, 600, 5)
        self.driver.state = dataclasses.replace(
            self.driver.state, policy=policy
        )
        self.driver.feed(TokensArrived(1, 0, ('a',)), 1)
        self.driver.feed(LookedElsewhere(1, 's2', is_alive=False), 1.37)
        self.assertEqual(self.driver.choose_action().candidate, 's2')

    # Silence of several domains at once points at the path or the own host.
    def test_shared_silence_is_waited_for(self) -> None:
        self.driver.feed(AttemptLost(1, LossCause.BROKEN), 0)
        self.driver.feed(ServerChosen('s2', copy_to='c1'), 0)
        self.driver.feed(TokensArrived(2, 0, ('a',)), 1)
        shared = LookedElsewhere(2, 'c1', is_alive=True, is_shared=True)
        self.driver.feed(shared, 2.5)
        self.assertEqual(self.driver.state.server, 's2')
        self.driver.feed(shared, 3.7)
        self.assertEqual(self.driver.choose_action().copy_holder, 'c1')

    # A cut path with a way around it must not count against the server.
    def test_cut_path_is_left_at_once_without_counting(self) -> None:
        self.driver.feed(TokensArrived(1, 0, ('a',)), 1)
        self.driver.feed(AttemptLost(1, LossCause.PATH), 1.1)
        cancel = next(
            action
            for action in self.driver.actions
            if isinstance(action, CancelAttempt)
        )
        self.assertFalse(cancel.blames_server)
        self.assertEqual(self.driver.choose_action().excluded, frozenset())
        self.assertEqual(self.driver.state.losses, 0)

    def test_unsent_attempt_uses_up_nothing(self) -> None:
        for attempt in range(1, 20):
            at_s = attempt / 2
            self.driver.feed(AttemptLost(attempt, LossCause.UNSENT), at_s)
            self.driver.feed(TimerFired(), at_s + 0.4)
            self.driver.feed(ServerChosen('s1'), at_s + 0.4)
        self.assertEqual(self.driver.state.losses, 0)
        self.assertEqual(self.driver.state.sends, 1)

    def test_silence_never_ends_an_answer_before_its_deadline(self) -> None:
        self.driver.feed(TokensArrived(1, 0, ('a',)), 1)
        for attempt in range(1, 12):
            at_s = 4.0 * attempt
            looked = LookedElsewhere(attempt, 's2', is_alive=True)
            self.driver.feed(looked, at_s)
            self.driver.feed(ServerChosen('s2'), at_s)
        self.assertFalse(self.driver.state.has_ended)
        # Five servers run the request at most.
        self.assertEqual(self.driver.state.attempt, 5)


class EventSplitterTest(unittest.TestCase):
    """Splitting preserves all bytes and never returns an incomplete event."""

    def test_split_events_preserve_the_bytes(self) -> None:
        stream = b'id: 1\ndata: a\n\nid: 2\ndata: \xff\n\n'
        for size in (1, 3, 7, 100):
            splitter = EventSplitter()
            events = []
            for start in range(0, len(stream), size):
                events.extend(splitter.feed(stream[start : start + size]))
            joined = ''.join(event.text for event in events)
            self.assertEqual(joined.encode('latin-1'), stream)
            self.assertEqual([event.number for event in events], [1, 2])
            self.assertFalse(splitter.has_partial_event)

    def test_incomplete_event_stays_pending(self) -> None:
        splitter = EventSplitter()
        self.assertEqual(splitter.feed(b'id: 1\ndata: a\n'), [])
        self.assertTrue(splitter.has_partial_event)
