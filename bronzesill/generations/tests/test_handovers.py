"""
Handovers of streams that run, by the decisions alone.

Load pattern: engines prefill two thirds of the time, and a stream whose prompt
was read stays on an engine that reads the prompts of others and sends it an
event only four times a second, while the engine with its copy decodes only.
"""

from __future__ import annotations

import dataclasses
import unittest
from random import Random

from ...config import BackendServer
from ...routing import LoadReport, ServerTracker
from ...standins.virtual_time import run_in_virtual_time
from ...utils import Address
from ..decisions import decide
from ..handover import HandoverSchedule
from ..messages import (
    Attached,
    AttemptLost,
    Begin,
    CancelAttempt,
    ChooseServer,
    LossCause,
    OpenAttempt,
    ServerChosen,
    TokensArrived,
)
from ..placement import ServerChoice
from ..stall_detection import StallPolicy
from ..state import Decision, GenerationState


def _streaming(copy_to: str = 'c1') -> GenerationState:
    state = GenerationState(100, StallPolicy.from_route(0.7, 4.5, 8000, 5))
    state = decide(state, Begin(), 0).state
    state = decide(state, ServerChosen('s1', copy_to=copy_to), 0).state
    return decide(state, TokensArrived(1, 0, ('a', 'b')), 1).state


def _hand_over(state: GenerationState, attempt: int = 1) -> Decision:
    return decide(state, AttemptLost(attempt, LossCause.HANDED_OVER), 2)


class DecisionTest(unittest.TestCase):
    """A handover goes on from the copy and blames nobody."""

    def test_stream_goes_on_from_its_copy(self) -> None:
        decision = _hand_over(_streaming())
        cancel, choice = decision.actions[:2]
        assert isinstance(cancel, CancelAttempt)
        self.assertFalse(cancel.is_failure or cancel.blames_server)
        assert isinstance(choice, ChooseServer)
        self.assertEqual(choice.copy_holder, 'c1')
        opened = decide(decision.state, ServerChosen('c1', copy_to='c2'), 2)
        self.assertIn(
            OpenAttempt(2, 'c1', 2, copy_to='c2', uses_copy=True),
            opened.actions,
        )

    def test_former_server_may_be_used_again(self) -> None:
        """Servers that were left in good order must not become scarce."""
        state = _hand_over(_streaming()).state
        self.assertEqual(state.excluded, frozenset())
        self.assertEqual((state.losses, state.handovers), (0, 1))

    def test_stream_without_a_copy_stays(self) -> None:
        state = _streaming(copy_to='')
        self.assertEqual(_hand_over(state), Decision(state))

    def test_attached_stream_has_no_known_copy(self) -> None:
        """A lost attempt's copy was taken for one of the joined stream."""
        state = GenerationState(100, StallPolicy.from_route(0.7, 4.5, 8000, 5))
        state = decide(state, Begin(), 0).state
        state = decide(state, ServerChosen('s1', copy_to='c1'), 0).state
        state = decide(state, AttemptLost(1, LossCause.BROKEN), 1).state
        state = decide(state, Attached('s2', 7), 1).state
        state = decide(state, TokensArrived(7, 0, ('a',)), 2).state
        self.assertEqual(state.usable_copy, '')
        self.assertEqual(_hand_over(state, attempt=7), Decision(state))

    def test_late_handover_is_ignored(self) -> None:
        """A check may end after the attempt that it was about."""
        state = _streaming()
        self.assertEqual(_hand_over(state, attempt=0), Decision(state))

    def test_handovers_are_bounded(self) -> None:
        """Each handover pauses the stream."""
        state = dataclasses.replace(_streaming(), handovers=2)
        self.assertEqual(_hand_over(state), Decision(state))


class ScheduleTest(unittest.TestCase):
    """The copy lags behind, and checks cost a question to another host."""

    def test_first_check_waits_for_the_copy(self) -> None:
        state = _streaming()
        schedule = HandoverSchedule().after_events(state, 1)
        self.assertFalse(schedule.is_due(state, 1.2))
        self.assertTrue(schedule.is_due(state, 1.4))

    def test_checks_have_an_interval(self) -> None:
        state = _streaming()
        schedule = HandoverSchedule().after_events(state, 1)
        schedule = schedule.after_events(state, 1.4)
        self.assertFalse(schedule.is_due(state, 2.3))
        self.assertTrue(schedule.is_due(state, 2.5))


class GainTest(unittest.TestCase):
    """What is known of both servers decides."""

    def setUp(self) -> None:
        self.tracker = ServerTracker()
        self.tracker.replace_servers(
            {
                name: BackendServer(Address('127.0.0.1', 1), 'a', 'v1', 'm')
                for name in ('s1', 'c1')
            }
        )
        self.choice = ServerChoice('a', self.tracker, Random(1))

    def gain_s(self) -> float | None:
        async def find() -> float | None:
            return self.choice.handover_gain_s('m', _streaming())

        return run_in_virtual_time(find())

    def test_unknown_speed_tells_no_gain(self) -> None:
        """Earlier deployments are served as before."""
        self.tracker.opened('s1')
        self.assertIsNone(self.gain_s())

    def test_prompts_of_others_are_left(self) -> None:
        self.tracker.reported('s1', LoadReport(1, '', 0, 1.0))
        self.assertLess(self.gain_s() or 0, 0)
        for _ in range(2):
            self.tracker.opened('s1')
        self.assertGreater(self.gain_s() or 0, 0)

    def test_suspected_holder_takes_no_stream(self) -> None:
        self.tracker.reported('s1', LoadReport(1, '', 0, 1.0))
        self.tracker.suspect('c1', 0)
        self.assertIsNone(self.gain_s())


class BlameTest(unittest.TestCase):
    """A server that is alive is no evidence against its failure domain."""

    def setUp(self) -> None:
        self.tracker = ServerTracker()
        self.tracker.replace_servers(
            {
                name: BackendServer(Address('127.0.0.1', 1), 'a', 'v1', 'm')
                for name in ('s1', 's2', 'c1')
            }
        )

    def suspected(self) -> set[str]:
        views = self.tracker.views(1.5)
        return {view.name for view in views if view.is_suspected}

    def test_two_accepting_servers_leave_the_others_trusted(self) -> None:
        """Copies on servers of the same domain were not used for 1.4 s."""
        for name in ('s1', 's2'):
            self.tracker.suspect(name, 1, is_alone=True)
        self.assertEqual(self.suspected(), {'s1', 's2'})
        self.assertEqual(self.tracker.failed_since(0), ())

    def test_two_dead_servers_are_evidence_against_their_domain(self) -> None:
        for name in ('s1', 's2'):
            self.tracker.suspect(name, 1)
        self.assertEqual(self.suspected(), {'s1', 's2', 'c1'})
