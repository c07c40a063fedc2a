"""Resume by a copy of the run's memory, probes, events cut apart."""

import unittest

from ..decisions import decide
from ..event_stream import EventSplitter
from ..messages import (
    Action,
    AttemptLost,
    Begin,
    ChooseServer,
    Event,
    LossCause,
    OpenAttempt,
    ProbeServer,
    ServerChosen,
    ServerProbed,
    TimerFired,
    TokensArrived,
)
from ..pace import StallPolicy
from ..state import GenerationState


class _Driver:
    """Feeds one generation and keeps the last actions."""

    def __init__(self) -> None:
        policy = StallPolicy.from_route(0.7, 4.5, 8000, 5)
        self.state = GenerationState(100, policy)
        self.actions: tuple[Action, ...] = ()

    def feed(self, event: Event, now_s: float) -> None:
        decision = decide(self.state, event, now_s)
        self.state = decision.state
        self.actions = decision.actions

    def search(self) -> ChooseServer:
        return next(
            action
            for action in self.actions
            if isinstance(action, ChooseServer)
        )

    def opening(self) -> OpenAttempt:
        return next(
            action for action in self.actions if isinstance(action, OpenAttempt)
        )


class CopyTest(unittest.TestCase):
    """A copy serves once, and only if the run had begun."""

    def setUp(self) -> None:
        self.driver = _Driver()
        self.driver.feed(Begin(), 0)
        self.driver.feed(ServerChosen('s1', copy_to='c1'), 0)

    def lose(self, attempt: int, now_s: float) -> None:
        self.driver.feed(AttemptLost(attempt, LossCause.BROKEN), now_s)

    def test_run_that_began_goes_on_by_its_copy(self) -> None:
        self.driver.feed(TokensArrived(1, 0, ('a',)), 1)
        self.lose(1, 2)
        self.assertEqual(self.driver.search().copy_at, 'c1')
        self.driver.feed(ServerChosen('c1', copy_to='c2'), 2)
        opening = self.driver.opening()
        self.assertTrue(opening.uses_copy)
        self.assertEqual((opening.offset, opening.copy_to), (1, 'c2'))

    def test_run_without_a_first_token_has_no_copy(self) -> None:
        self.lose(1, 1)
        self.assertEqual(self.driver.search().copy_at, '')

    def test_refused_copy_is_not_looked_for_elsewhere(self) -> None:
        self.driver.feed(TokensArrived(1, 0, ('a',)), 1)
        self.lose(1, 2)
        self.driver.feed(ServerChosen('c1', copy_to='c2'), 2)
        self.driver.feed(AttemptLost(2, LossCause.REFUSED), 2)
        self.assertEqual(self.driver.search().copy_at, '')

    def test_copy_outlives_a_server_that_did_not_use_it(self) -> None:
        self.driver.feed(TokensArrived(1, 0, ('a',)), 1)
        self.lose(1, 2)
        self.driver.feed(ServerChosen('s2', copy_to='c2'), 2)
        self.driver.feed(AttemptLost(2, LossCause.REFUSED), 2)
        self.assertEqual(self.driver.search().copy_at, 'c1')


class ProbeTest(unittest.TestCase):
    """An engine that went dark before its first token is found out."""

    def setUp(self) -> None:
        self.driver = _Driver()
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

    def test_server_that_takes_no_connection_is_given_up(self) -> None:
        self.driver.feed(ServerProbed(1, is_alive=False), 0.5)
        self.assertEqual(self.driver.search().excluded, {'s1'})

    def test_probe_of_an_earlier_attempt_says_nothing(self) -> None:
        self.driver.feed(AttemptLost(1, LossCause.BROKEN), 0.4)
        self.driver.feed(ServerChosen('s2'), 0.4)
        self.driver.feed(ServerProbed(1, is_alive=False), 0.5)
        self.assertEqual(self.driver.state.server, 's2')

    def test_living_server_is_waited_for(self) -> None:
        self.driver.feed(ServerProbed(1, is_alive=True), 0.5)
        self.driver.feed(TimerFired(), 2)
        self.assertEqual(self.driver.state.server, 's1')

    def test_silence_between_tokens_leaves_time_to_resume(self) -> None:
        self.driver.feed(TokensArrived(1, 0, ('a',)), 1)
        self.driver.feed(TimerFired(), 1.34)
        self.assertEqual(self.driver.state.server, 's1')
        self.driver.feed(TimerFired(), 1.37)
        self.assertEqual(self.driver.search().excluded, {'s1'})


class EventTest(unittest.TestCase):
    """Events keep their bytes; a cut one is never whole."""

    def test_events_come_out_as_they_went_in(self) -> None:
        stream = b'id: 1\ndata: a\n\nid: 2\ndata: \xff\n\n'
        for size in (1, 3, 7, 100):
            splitter = EventSplitter()
            events = []
            for start in range(0, len(stream), size):
                events.extend(splitter.feed(stream[start : start + size]))
            joined = ''.join(event.text for event in events)
            self.assertEqual(joined.encode('latin-1'), stream)
            self.assertEqual([event.number for event in events], [1, 2])
            self.assertFalse(splitter.has_rest)

    def test_cut_event_is_left_over(self) -> None:
        splitter = EventSplitter()
        self.assertEqual(splitter.feed(b'id: 1\ndata: a\n'), [])
        self.assertTrue(splitter.has_rest)
