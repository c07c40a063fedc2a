"""
Tests of the state transitions of a generation.

Whatever the engines do, the accepted tokens must form a prefix of one answer.
"""

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from ...utils import ResultCode, chain_digest
from ..decisions import decide
from ..messages import (
    AttemptLost,
    Begin,
    CancelAttempt,
    ChooseServer,
    CompleteAnswer,
    DeliverTokens,
    EndArrived,
    Event,
    FailAnswer,
    LossCause,
    NoServer,
    OpenAttempt,
    ServerChosen,
    SetTimer,
    TimerFired,
    TokensArrived,
)
from ..state import GenerationState, Phase

_ANSWER = tuple(f't{number}' for number in range(30))
_DEADLINE_S = 1000.0


class GenerationMachine(RuleBasedStateMachine):
    """
    Feeds events of current and earlier attempts in any order.

    The events include repeated and missing tokens, tokens that an earlier
    attempt delivers late, losses, timers and the lack of a server.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0
        self.state = GenerationState(deadline_at_s=_DEADLINE_S)
        self.delivered: list[str] = []
        self.ends: list[object] = []
        self.opened: list[OpenAttempt] = []

    @initialize()
    def begin(self) -> None:
        self.feed(Begin())

    def feed(self, event: Event) -> None:
        decision = decide(self.state, event, self.now_s)
        self.state = decision.state
        for action in decision.actions:
            if isinstance(action, DeliverTokens):
                assert action.offset == len(self.delivered)
                self.delivered.extend(action.tokens)
            elif isinstance(action, (CompleteAnswer, FailAnswer)):
                self.ends.append(action)
            elif isinstance(action, OpenAttempt):
                assert action.offset == len(self.delivered)
                self.opened.append(action)

    @rule(server=st.sampled_from('abcd'))
    def choose_server(self, server: str) -> None:
        self.feed(ServerChosen(server))

    @rule()
    def find_no_server(self) -> None:
        self.feed(NoServer())

    @precondition(lambda self: self.opened)
    @rule(data=st.data())
    def tokens_of_any_attempt(self, data: st.DataObject) -> None:
        opened = data.draw(st.sampled_from(self.opened))
        first = data.draw(st.integers(opened.offset, len(_ANSWER)))
        last = data.draw(st.integers(first, min(first + 9, len(_ANSWER))))
        # A lost attempt may compute tokens that differ from the answer's.
        is_stale = opened.attempt != self.state.attempt
        tokens = _ANSWER[first:last]
        if is_stale:
            tokens = tuple(f'stale-{token}' for token in tokens)
        if tokens:
            self.feed(TokensArrived(opened.attempt, first, tokens))

    @precondition(lambda self: self.opened)
    @rule(data=st.data(), total=st.integers(0, 40))
    def end_of_any_attempt(self, data: st.DataObject, total: int) -> None:
        opened = data.draw(st.sampled_from(self.opened))
        is_true_end = total >= len(_ANSWER)
        if opened.attempt != self.state.attempt or is_true_end:
            count = min(total, len(_ANSWER))
            self.feed(EndArrived(opened.attempt, count, 'length'))

    @precondition(lambda self: self.opened)
    @rule(data=st.data(), cause=st.sampled_from(LossCause))
    def lose_any_attempt(self, data: st.DataObject, cause: LossCause) -> None:
        opened = data.draw(st.sampled_from(self.opened))
        self.feed(AttemptLost(opened.attempt, cause))

    @rule(seconds=st.floats(0.001, 30))
    def pass_time(self, seconds: float) -> None:
        self.now_s += seconds
        self.feed(TimerFired())

    @invariant()
    def accepted_tokens_are_a_prefix_of_one_answer(self) -> None:
        assert tuple(self.delivered) == _ANSWER[: len(self.delivered)]
        assert self.state.accepted == len(self.delivered)
        digest = chain_digest(0, tuple(self.delivered))
        assert self.state.digest == digest

    @invariant()
    def answer_ends_once_and_complete(self) -> None:
        assert len(self.ends) <= 1
        for end in self.ends:
            if isinstance(end, CompleteAnswer):
                assert tuple(self.delivered) == _ANSWER
                assert end.total == len(_ANSWER)


GenerationMachine.TestCase.settings = settings(
    max_examples=150,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    database=None,
)


class GenerationMachineTest(
    GenerationMachine.TestCase  # type: ignore[misc,valid-type]
):
    """Test case generated from :class:`GenerationMachine`."""


def _streaming() -> GenerationState:
    state = GenerationState(deadline_at_s=_DEADLINE_S)
    state = decide(state, Begin(), 0).state
    return decide(state, ServerChosen('a'), 0).state


class LossTest(unittest.TestCase):
    """Transitions after the loss of an attempt."""

    def test_broken_stream_is_resumed_from_accepted_tokens(self) -> None:
        state = _streaming()
        state = decide(state, TokensArrived(1, 0, ('x', 'y')), 0.1).state
        lost = decide(state, AttemptLost(1, LossCause.BROKEN), 0.2)
        self.assertEqual(
            lost.actions,
            (
                CancelAttempt(1, 'a', LossCause.BROKEN),
                ChooseServer(frozenset('a'), is_resume=True),
            ),
        )
        opened = decide(lost.state, ServerChosen('b'), 0.2)
        self.assertIn(OpenAttempt(2, 'b', 2), opened.actions)

    def test_late_tokens_of_a_lost_attempt_are_dropped(self) -> None:
        state = _streaming()
        state = decide(state, AttemptLost(1, LossCause.SILENT), 5).state
        state = decide(state, ServerChosen('b'), 5).state
        late = decide(state, TokensArrived(1, 0, ('x',)), 6)
        self.assertEqual(late.state.accepted, 0)
        self.assertFalse(
            any(isinstance(action, DeliverTokens) for action in late.actions)
        )

    def test_silence_is_a_loss_but_a_slow_stream_is_not(self) -> None:
        state = _streaming()
        for step in range(1, 20):
            tokens = TokensArrived(1, step - 1, ('x',))
            state = decide(state, tokens, step * 0.9).state
        still_slow = decide(state, TimerFired(), 19 * 0.9 + 3)
        self.assertIs(still_slow.state.phase, Phase.STREAMING)
        self.assertIsInstance(still_slow.actions[0], SetTimer)
        silent = decide(state, TimerFired(), 19 * 0.9 + 21)
        self.assertIs(silent.state.phase, Phase.CHOOSING)

    def test_end_marker_with_missing_tokens_is_a_loss(self) -> None:
        state = _streaming()
        state = decide(state, TokensArrived(1, 0, ('x',)), 0.1).state
        short = decide(state, EndArrived(1, 2, 'length'), 0.2)
        self.assertIn(CancelAttempt(1, 'a', LossCause.SHORT), short.actions)

    def test_no_server_until_the_deadline_fails_with_its_code(self) -> None:
        state = decide(GenerationState(deadline_at_s=1), Begin(), 0).state
        state = decide(state, NoServer(), 0.5).state
        self.assertIs(state.phase, Phase.WAITING)
        early = decide(state, TimerFired(), 0.9)
        self.assertIs(early.state.phase, Phase.CHOOSING)
        failed = decide(state, TimerFired(), 1)
        self.assertEqual(
            failed.actions, (FailAnswer(ResultCode.INCOMPLETE_NO_SERVER),)
        )

    def test_generation_fails_after_max_attempts(self) -> None:
        state = _streaming()
        for _ in range(9):
            lost = AttemptLost(state.attempt, LossCause.BROKEN)
            decision = decide(state, lost, 1)
            state = decide(decision.state, ServerChosen('b'), 1).state
        self.assertIs(state.phase, Phase.FAILED)
        self.assertIn(
            FailAnswer(ResultCode.INCOMPLETE_RETRIES), decision.actions
        )


if __name__ == '__main__':
    unittest.main()
