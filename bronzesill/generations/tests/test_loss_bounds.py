"""Bounds on what losses of one generation cost the servers."""

from __future__ import annotations

import itertools
import unittest

from ..decisions import decide
from ..messages import (
    AttemptLost,
    Begin,
    CancelAttempt,
    Event,
    FailAnswer,
    LossCause,
    LostServerAlive,
    NoServer,
    OpenAttempt,
    ServerChosen,
    SetTimer,
    TimerFired,
    TokensArrived,
)
from ..stall_detection import StallPolicy
from ..state import GenerationState, Phase

_DEADLINE_S = 25.0
_MAX_ATTEMPTS = 3
_POLICY = StallPolicy.from_route(0.7, 4.5, 600, _MAX_ATTEMPTS)
_LOSSES = 40
_REFUSED_S = 0.002
_SERVERS = 12
_OUTAGE_S = 12.0


class _Generation:
    """Applies events to the state of one generation."""

    def __init__(self) -> None:
        self.state = GenerationState(_DEADLINE_S, _POLICY)
        self.opened: list[float] = []
        self.cancelled: list[CancelAttempt] = []
        self.is_failed = False
        self.timers: list[float] = []

    def apply(self, event: Event, now_s: float) -> None:
        """Apply an event and record what it leads to."""
        decision = decide(self.state, event, now_s)
        self.state = decision.state
        for action in decision.actions:
            match action:
                case OpenAttempt():
                    self.opened.append(now_s)
                case CancelAttempt():
                    self.cancelled.append(action)
                case FailAnswer():
                    self.is_failed = True
                case SetTimer():
                    self.timers.append(action.at_s)

    def begin_answer(self) -> None:
        """Open the first attempt and let a token arrive."""
        self.apply(Begin(), 0)
        self.apply(ServerChosen('s0'), 0)
        self.apply(TokensArrived(1, 0, ('x',)), 0.01)


class LossBoundsTest(unittest.TestCase):
    """Neither servers nor the log are flooded by a generation."""

    # Resets after the first token let sound servers run a request without
    # bound (BUDGET).
    def test_resets_by_sound_servers_use_up_attempts(self) -> None:
        generation = _Generation()
        generation.begin_answer()
        for number in range(1, _LOSSES):
            at_s = 0.1 * (number + 1)
            generation.apply(AttemptLost(number, LossCause.DISCONNECTED), at_s)
            generation.apply(LostServerAlive(number), at_s)
            generation.apply(ServerChosen(f's{number}'), at_s)
        self.assertLessEqual(len(generation.opened), _MAX_ATTEMPTS)
        self.assertTrue(generation.is_failed)

    # An answer whose servers ended was cut for want of attempts (LOST).
    def test_servers_that_ended_use_up_no_attempts(self) -> None:
        generation = _Generation()
        generation.begin_answer()
        for number in range(1, 2 * _MAX_ATTEMPTS):
            at_s = 0.1 * (number + 1)
            generation.apply(AttemptLost(number, LossCause.DISCONNECTED), at_s)
            generation.apply(ServerChosen(f's{number}'), at_s)
        self.assertFalse(generation.is_failed)
        self.assertEqual(len(generation.opened), 2 * _MAX_ATTEMPTS)

    # Attempts that no server accepted went round all servers without a pause.
    def test_unsent_attempts_are_paced(self) -> None:
        generation = _Generation()
        now_s = 0.0
        generation.apply(Begin(), now_s)
        for choices in itertools.count(1):
            if now_s >= _OUTAGE_S:
                break
            # All servers are excluded after a round, and tried again then.
            round_ends = not choices % (_SERVERS + 1)
            choice = NoServer() if round_ends else ServerChosen('s')
            generation.apply(choice, now_s)
            now_s += _REFUSED_S
            generation.apply(
                AttemptLost(generation.state.attempt, LossCause.UNSENT), now_s
            )
            if generation.state.phase is Phase.WAITING:
                now_s = min(at_s for at_s in generation.timers if at_s > now_s)
                generation.apply(TimerFired(), now_s)
        self.assertLessEqual(len(generation.opened), 60)

    # A caller's deadline in the middle of a flowing answer took its server
    # out of use.
    def test_deadline_of_flowing_answer_blames_no_server(self) -> None:
        generation = _Generation()
        generation.begin_answer()
        for number in range(1, 250):
            arrived = TokensArrived(1, number, ('x',))
            generation.apply(arrived, 0.1 * number)
        generation.apply(TimerFired(), _DEADLINE_S)
        self.assertTrue(generation.is_failed)
        self.assertEqual(len(generation.cancelled), 1)
        cancel = generation.cancelled[0]
        self.assertFalse(cancel.blames_server)
        self.assertTrue(cancel.is_failure)


if __name__ == '__main__':
    unittest.main()
