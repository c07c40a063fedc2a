"""
Generations whose sound servers fall silent for a second again and again.

The silences end by themselves, so no answer may be cut by them, and little
may be computed twice because of them.
"""

from __future__ import annotations

import asyncio
import dataclasses
import heapq
import itertools
import unittest

from ...config import BackendServer
from ...routing import ServerTracker
from ...utils import Address, NullMetrics
from ..book_observer import BookObserver
from ..decisions import decide
from ..locations import LocalDirectory, LocationTable
from ..messages import (
    Action,
    AttemptLost,
    Begin,
    CancelAttempt,
    ChooseServer,
    CompleteAnswer,
    EndArrived,
    Event,
    FailAnswer,
    LookedElsewhere,
    LookElsewhere,
    LossCause,
    NoServer,
    OpenAttempt,
    ProbeServer,
    ServerChosen,
    ServerProbed,
    SetTimer,
    TimerFired,
    TokensArrived,
)
from ..stall_detection import StallPolicy, StreamActivity, is_silence_shared
from ..state import GenerationState

_PERIOD_S = 3.0
_SILENCE_S = 1.2
_CONNECT_TIMEOUT_S = 0.25
_PROBE_TIMEOUT_S = 0.15
_ROUND_TRIP_S = 0.002
_RETRANSMIT_S = 0.2
_PROMPT_TOKENS = 8000
_PREFILL_TOKENS_PER_S = 3000
_TOKEN_GAP_S = 0.05
_TOKENS = 100
_DEADLINE_S = 25.0
_MAX_STEPS = 600
_MAX_ATTEMPTS = 5
_SERVERS = ('a1', 'b1', 'c1', 'a2', 'b2', 'c2')


@dataclasses.dataclass(frozen=True)
class _Outage:
    """
    Times at which servers do not answer.

    :param servers: the servers.
    :param first_s: start of the first silence.
    """

    servers: tuple[str, ...] = _SERVERS
    first_s: float = 1.3

    def ends_at_s(self, server: str, now_s: float) -> float:
        """Return when the silence of a server ends, the time for none."""
        phase_s = (now_s - self.first_s) % _PERIOD_S
        if server in self.servers and 0 <= phase_s < _SILENCE_S:
            return now_s + _SILENCE_S - phase_s
        return now_s

    def delivers_at_s(self, server: str, now_s: float) -> float:
        """Return when bytes sent by a server arrive."""
        ends_at_s = self.ends_at_s(server, now_s)
        if ends_at_s > now_s:
            # Lost segments are sent again some time after the silence.
            return ends_at_s + _RETRANSMIT_S
        return now_s

    def is_silent(self, server: str, now_s: float) -> bool:
        """Return whether a server is silent."""
        return self.ends_at_s(server, now_s) > now_s


class _Model:
    """
    One generation and its servers in virtual time.

    :param outage: silences of the servers.
    """

    def __init__(self, outage: _Outage) -> None:
        self.prefilled = 0
        self.sent: list[str] = []
        self.end: CompleteAnswer | FailAnswer | None = None
        self.ended_at_s = 0.0
        self.steps = 0
        self._outage = outage
        self._now_s = 0.0
        self._order = itertools.count()
        self._events: list[tuple[float, int, Event]] = []
        self._lost: set[int] = set()
        policy = StallPolicy.from_route(0.7, 4.5, _PROMPT_TOKENS, _MAX_ATTEMPTS)
        self._state = GenerationState(_DEADLINE_S, policy)

    def run(self) -> None:
        """Process all events until the answer has ended."""
        self._schedule(0, Begin())
        while self._events and self.end is None and self.steps < _MAX_STEPS:
            self.steps += 1
            scheduled = heapq.heappop(self._events)
            self._now_s = scheduled[0]
            event = scheduled[2]
            decision = decide(self._state, event, self._now_s)
            self._state = decision.state
            for action in decision.actions:
                self._perform(action)

    def _schedule(self, at_s: float, event: Event) -> None:
        due_s = max(at_s, self._now_s)
        heapq.heappush(self._events, (due_s, next(self._order), event))

    def _perform(self, action: Action) -> None:
        match action:
            case ChooseServer():
                self._schedule(self._now_s, self._choose(action))
            case OpenAttempt():
                self._open(action)
            case ProbeServer():
                self._probe(action)
            case LookElsewhere():
                self._look(action)
            case SetTimer():
                self._schedule(action.at_s, TimerFired())
            case CancelAttempt():
                self._lost.add(action.attempt)
            case CompleteAnswer() | FailAnswer():
                self.end = action
                self.ended_at_s = self._now_s

    def _choose(self, action: ChooseServer) -> Event:
        free = [name for name in _SERVERS if name not in action.excluded]
        server = action.copy_holder or next(iter(free), '')
        if not server:
            return NoServer()
        after = _SERVERS.index(server) + 1
        return ServerChosen(server, copy_to=_SERVERS[after % len(_SERVERS)])

    def _probe(self, action: ProbeServer) -> None:
        is_alive = self._accepts(action.server)
        delay_s = _ROUND_TRIP_S if is_alive else _PROBE_TIMEOUT_S
        probed = ServerProbed(action.attempt, is_alive)
        self._schedule(self._now_s + delay_s, probed)

    def _look(self, action: LookElsewhere) -> None:
        # The holder of the copy is probed first, another server after it.
        at_s = self._now_s
        candidate = action.choice.copy_holder
        if not candidate or self._outage.is_silent(candidate, at_s):
            at_s += _PROBE_TIMEOUT_S if candidate else 0
            choice = dataclasses.replace(action.choice, copy_holder='')
            chosen = self._choose(choice)
            candidate = getattr(chosen, 'server', '')
        if not candidate or self._outage.is_silent(candidate, at_s):
            at_s += _PROBE_TIMEOUT_S
            candidate = ''
        is_alive = self._accepts(action.server)
        if not is_alive and not action.has_refused:
            at_s = max(at_s, self._now_s + _PROBE_TIMEOUT_S)
        looked = LookedElsewhere(action.attempt, candidate, is_alive)
        self._schedule(at_s + _ROUND_TRIP_S, looked)

    def _accepts(self, server: str) -> bool:
        return not self._outage.is_silent(server, self._now_s)

    def _open(self, action: OpenAttempt) -> None:
        if not self._accepts(action.server):
            self._schedule(
                self._now_s + _CONNECT_TIMEOUT_S,
                AttemptLost(action.attempt, LossCause.UNSENT),
            )
            return
        self.sent.append(action.server)
        at_s = self._now_s + _ROUND_TRIP_S
        if not action.uses_copy:
            self.prefilled += _PROMPT_TOKENS
            at_s += _PROMPT_TOKENS / _PREFILL_TOKENS_PER_S
        arrives_at_s = 0.0
        for offset in range(action.offset, _TOKENS):
            # Bytes of one connection arrive in order.
            sent_at_s = self._outage.delivers_at_s(action.server, at_s)
            arrives_at_s = max(arrives_at_s, sent_at_s)
            arrived = TokensArrived(action.attempt, offset, (f't{offset}',))
            self._schedule(arrives_at_s, arrived)
            at_s += _TOKEN_GAP_S
        end = EndArrived(action.attempt, _TOKENS, 'length')
        self._schedule(max(at_s, arrives_at_s), end)


class RepeatedSilenceTest(unittest.TestCase):
    """Silences that end by themselves neither cut nor repeat an answer."""

    def run_model(self, outage: _Outage) -> _Model:
        model = _Model(outage)
        model.run()
        return model

    def assert_whole(self, model: _Model) -> None:
        self.assertEqual(model.end, CompleteAnswer(_TOKENS, 'length'))
        self.assertLess(model.ended_at_s, _DEADLINE_S)
        # No timer fires again and again at the same time.
        self.assertLess(model.steps, _MAX_STEPS)

    # A generation was cut midway (INCOMPLETE_RETRIES) with most of its time
    # left, because each silence of all servers used up attempts.
    def test_silences_of_all_servers_do_not_cut_answer(self) -> None:
        for tenth in range(30):
            with self.subTest(first_s=tenth / 10):
                model = self.run_model(_Outage(first_s=tenth / 10))
                self.assert_whole(model)
                self.assertLessEqual(len(model.sent), 2)
                self.assertLessEqual(model.prefilled, 2 * _PROMPT_TOKENS)

    # The same with servers left that answer: moves were made in vain.
    def test_silences_of_half_the_servers_do_not_cut_answer(self) -> None:
        for tenth in range(30):
            with self.subTest(first_s=tenth / 10):
                outage = _Outage(('a1', 'b1', 'c1'), first_s=tenth / 10)
                model = self.run_model(outage)
                self.assert_whole(model)
                self.assertLessEqual(model.prefilled, 2 * _PROMPT_TOKENS)


class SharedSilenceTest(unittest.TestCase):
    """Silence of several domains is told apart from the death of one."""

    def is_shared(self, *silences: tuple[str, float]) -> bool:
        streams = tuple(StreamActivity(*silence) for silence in silences)
        return is_silence_shared(streams, 0.2)

    def test_death_of_one_domain_is_not_shared(self) -> None:
        dead = (('a', 0.4),) * 6
        self.assertFalse(self.is_shared(*dead))
        self.assertFalse(self.is_shared(*dead, ('b', 0.01), ('c', 0.02)))
        pausing = (('b', 0.3), ('b', 0.01), ('b', 0.03))
        self.assertFalse(self.is_shared(*dead, *pausing, ('c', 0.02)))

    def test_silence_of_most_domains_is_shared(self) -> None:
        self.assertTrue(self.is_shared(('a', 0.4), ('b', 0.3), ('c', 0.01)))
        self.assertTrue(self.is_shared(('a', 0.4), ('b', 0.3)))
        self.assertFalse(self.is_shared())


class PathObserverTest(unittest.IsolatedAsyncioTestCase):
    """Servers that accept no connection all at once stay in use."""

    # A host cut off for a second avoided all of its servers for seconds.
    async def test_several_domains_at_once_blame_the_path(self) -> None:
        tracker = ServerTracker()
        address = Address('127.0.0.1', 1)
        tracker.replace_servers(
            {
                f'{domain}{number}': BackendServer(address, domain, 'v1', 'm')
                for domain in 'abc'
                for number in range(2)
            }
        )
        directory = LocalDirectory(LocationTable())
        observer = BookObserver('d', tracker, directory, NullMetrics())
        for server in ('a0', 'b0', 'c0', 'b1', 'c1'):
            observer.attempt_lost(server, LossCause.UNSENT)
        now_s = asyncio.get_running_loop().time()
        suspected = {
            view.name for view in tracker.views(now_s) if view.is_suspected
        }
        self.assertEqual(suspected, {'a0'})


if __name__ == '__main__':
    unittest.main()
