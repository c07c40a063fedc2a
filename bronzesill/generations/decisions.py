"""
State transitions of one generation.

The functions are pure: they perform no I/O and read no clock.
"""

from __future__ import annotations

import dataclasses
import types

from ..utils import ResultCode, chain_digest
from .look_messages import WaitEnded
from .look_results import after_look, move_basis, with_activity
from .messages import (
    Action,
    Attached,
    AttemptLost,
    Begin,
    CancelAttempt,
    CompleteAnswer,
    CountDropped,
    DeliverTokens,
    EndArrived,
    Event,
    FailAnswer,
    LookedElsewhere,
    LookElsewhere,
    LossCause,
    LostServerAlive,
    NoServer,
    OpenAttempt,
    PlacementRefused,
    ProbeServer,
    ServerChosen,
    ServerProbed,
    SetTimer,
    TimerFired,
    TokensArrived,
)
from .state import Decision, GenerationState, Phase

__all__ = ['decide']

#: Attempts in a row that were not sent, from which on each is followed by a
#: pause, which doubles up to four times as long.
_MAX_UNPAUSED = 4
_FIRST_PAUSE_S = 0.1
_MAX_DOUBLINGS = 2
#: Result codes at the deadline by the cause of the last loss.
_DEADLINE_CODES = types.MappingProxyType(
    {
        LossCause.REFUSED: ResultCode.INCOMPLETE_NO_SERVER,
        LossCause.UNSENT: ResultCode.INCOMPLETE_NO_SERVER,
    }
)


def decide(state: GenerationState, event: Event, now_s: float) -> Decision:
    """
    Return the next state and the actions that an event requires.

    Events that arrive after the answer has completed or failed are ignored.

    :param state: state before the event.
    :param event: event to process.
    :param now_s: current time on the generation's clock, in seconds.
    """
    if state.has_ended:
        return Decision(state)
    if isinstance(event, TimerFired):
        state = with_activity(state.without_due_timer(now_s), event.activity)
    return _with_needed_timers(_decide(state, event, now_s))


def _with_needed_timers(decision: Decision) -> Decision:
    """Drop timers that would fire no earlier than the one that is set."""
    state = decision.state
    actions: list[Action] = []
    for action in decision.actions:
        if isinstance(action, SetTimer):
            if action.at_s >= state.timer_at_s:
                continue
            state = dataclasses.replace(state, timer_at_s=action.at_s)
        actions.append(action)
    return Decision(state, tuple(actions))


def _decide(state: GenerationState, event: Event, now_s: float) -> Decision:
    match event:
        case TokensArrived():
            return _accept_tokens(state, event, now_s)
        case EndArrived():
            return _handle_end(state, event, now_s)
        case AttemptLost():
            return _handle_loss(state, event, now_s)
        case TimerFired():
            return _handle_timer(state, now_s)
        case ServerProbed():
            return _handle_probe(state, event, now_s)
        case LookedElsewhere():
            return _handle_look(state, event, now_s)
        case _:
            return _handle_placement(state, event, now_s)


def _handle_placement(
    state: GenerationState, event: Event, now_s: float
) -> Decision:
    match event:
        case Begin():
            decision = _choose_server(state)
            timer = SetTimer(state.deadline_at_s)
            return Decision(decision.state, (*decision.actions, timer))
        case Attached():
            return _attach_to_stream(state, event, now_s)
        case ServerChosen():
            return _open_attempt(state, event, now_s)
        case NoServer():
            return _wait_for_server(state, now_s)
        case PlacementRefused() if state.phase is not Phase.STREAMING:
            return _fail_answer(state, event.code, event.retry_after_s)
        case LostServerAlive():
            return _count_sound_server(state)
        case _:
            return Decision(state)


def _choose_server(state: GenerationState, candidate: str = '') -> Decision:
    choosing = dataclasses.replace(state, phase=Phase.CHOOSING, server='')
    return Decision(choosing, (choosing.choose_action(candidate),))


def _attach_to_stream(
    state: GenerationState, event: Attached, now_s: float
) -> Decision:
    attached = dataclasses.replace(
        state.with_attempt(event.server, event.attempt, now_s),
        copy_to='',
        uses_copy=False,
    )
    open_action = OpenAttempt(
        event.attempt, event.server, state.accepted, is_attach=True
    )
    return Decision(attached, (open_action, SetTimer(attached.stall_at_s)))


def _open_attempt(
    state: GenerationState, event: ServerChosen, now_s: float
) -> Decision:
    if state.phase is not Phase.CHOOSING:
        return Decision(state)
    if now_s >= state.deadline_at_s:
        return _fail_answer(state, ResultCode.INCOMPLETE_DEADLINE)
    attempt = state.attempt + 1
    uses_copy = bool(state.copy_holder) and event.server == state.copy_holder
    opened = dataclasses.replace(
        state.with_attempt(event.server, attempt, now_s),
        fill=event.fill,
        copy_to=event.copy_to,
        # A copy can be resumed from only once. It remains available if the
        # attempt runs on a server other than the one that keeps it.
        copy_holder='' if uses_copy else state.copy_holder,
        uses_copy=uses_copy,
    )
    opened = with_activity(opened, event.activity)
    return Decision(
        opened,
        (
            OpenAttempt(
                attempt,
                event.server,
                state.accepted,
                copy_to=event.copy_to,
                uses_copy=uses_copy,
            ),
            SetTimer(opened.next_check_at_s),
        ),
    )


def _wait_for_server(state: GenerationState, now_s: float) -> Decision:
    if state.phase is not Phase.CHOOSING:
        return Decision(state)
    if now_s >= state.deadline_at_s:
        return _fail_answer(state, ResultCode.INCOMPLETE_NO_SERVER)
    waiting = dataclasses.replace(
        state, phase=Phase.WAITING, excluded=frozenset()
    )
    retry_s = state.policy.no_server_retry_s
    retry_at_s = min(now_s + retry_s, state.deadline_at_s)
    return Decision(waiting, (SetTimer(retry_at_s),))


def _count_sound_server(state: GenerationState) -> Decision:
    counted = dataclasses.replace(state, losses=state.losses + 1)
    is_open = state.phase is Phase.STREAMING
    if is_open or counted.losses < state.policy.max_attempts:
        return Decision(counted)
    return _fail_answer(counted, ResultCode.INCOMPLETE_RETRIES)


def _go_on(state: GenerationState, now_s: float, candidate: str) -> Decision:
    """Choose a server, after a pause if several attempts were not sent."""
    doublings = min(state.unsent - _MAX_UNPAUSED, _MAX_DOUBLINGS)
    if doublings < 0:
        return _choose_server(state, candidate)
    until_s = min(
        now_s + _FIRST_PAUSE_S * (1 << doublings), state.deadline_at_s
    )
    pausing = dataclasses.replace(
        state, phase=Phase.WAITING, server='', paused_until_s=until_s
    )
    return Decision(pausing, (SetTimer(until_s),))


def _fail_answer(
    state: GenerationState,
    code: ResultCode,
    retry_after_s: float | None = None,
) -> Decision:
    failed = dataclasses.replace(state, phase=Phase.FAILED)
    return Decision(failed, (FailAnswer(code, retry_after_s),))


def _accept_tokens(
    state: GenerationState, event: TokensArrived, now_s: float
) -> Decision:
    if not state.is_current(event.attempt):
        return Decision(state, (CountDropped(late=len(event.tokens)),))
    if event.offset > state.accepted:
        lost = AttemptLost(event.attempt, LossCause.GAP)
        return _handle_loss(state, lost, now_s)
    repeated = state.accepted - event.offset
    new_tokens = event.tokens[repeated:] if repeated else event.tokens
    if not new_tokens:
        active = dataclasses.replace(state, last_activity_at_s=now_s)
        return Decision(active, (CountDropped(repeated=len(event.tokens)),))
    progressed = dataclasses.replace(
        state,
        accepted=state.accepted + len(new_tokens),
        digest=chain_digest(state.digest, new_tokens),
        gap_estimate=state.gap_estimate_after(len(event.tokens), now_s),
        last_activity_at_s=now_s,
        refused_since_s=None,
        evidence=None,
        activity=None,
    )
    actions: tuple[Action, ...] = (DeliverTokens(state.accepted, new_tokens),)
    if repeated:
        actions = (CountDropped(repeated=repeated), *actions)
    if state.activity is not None and state.evidence is not None:
        actions = (*actions, WaitEnded())
    return Decision(progressed, actions)


def _handle_end(
    state: GenerationState, event: EndArrived, now_s: float
) -> Decision:
    if not state.is_current(event.attempt):
        return Decision(state)
    if event.total != state.accepted:
        lost = AttemptLost(event.attempt, LossCause.SHORT)
        return _handle_loss(state, lost, now_s)
    done = dataclasses.replace(state, phase=Phase.DONE)
    return Decision(done, (CompleteAnswer(event.total, event.reason),))


def _handle_loss(
    state: GenerationState, event: AttemptLost, now_s: float
) -> Decision:
    if not state.is_current(event.attempt):
        return Decision(state)
    lost = state.without_attempt(event.cause)
    evidence = state.evidence if event.cause is LossCause.SILENT else None
    cancel = CancelAttempt(
        event.attempt,
        state.server,
        event.cause,
        event.detail,
        is_shared=evidence is not None and evidence.is_shared,
        basis=move_basis(state, evidence, now_s),
    )
    if now_s >= state.deadline_at_s:
        next_decision = _fail_answer(
            lost,
            _DEADLINE_CODES.get(event.cause, ResultCode.INCOMPLETE_DEADLINE),
        )
    elif lost.is_used_up(event.cause):
        next_decision = _fail_answer(lost, ResultCode.INCOMPLETE_RETRIES)
    else:
        candidate = evidence.candidate if evidence else ''
        next_decision = _go_on(lost, now_s, candidate)
    return Decision(next_decision.state, (cancel, *next_decision.actions))


def _handle_probe(
    state: GenerationState, event: ServerProbed, now_s: float
) -> Decision:
    if state.is_memory_begun or not state.is_current(event.attempt):
        return Decision(state)
    if event.is_alive:
        return Decision(state.accepting(now_s))
    detail = 'server does not accept connections'
    if state.policy.look_after_s is None and state.may_leave:
        lost = AttemptLost(event.attempt, LossCause.SILENT, detail)
        return _handle_loss(state, lost, now_s)
    return _look_elsewhere(state.refused(now_s), now_s, has_refused=True)


def _look_elsewhere(
    state: GenerationState, now_s: float, *, has_refused: bool = False
) -> Decision:
    if not state.may_leave:
        return Decision(state)
    looking = dataclasses.replace(state, last_look_at_s=now_s, evidence=None)
    future = dataclasses.replace(
        state,
        copy_holder=state.usable_copy,
        excluded=state.excluded | {state.server},
    )
    look = LookElsewhere(
        state.attempt, state.server, future.choose_action(), has_refused
    )
    return Decision(looking, (look, SetTimer(looking.next_check_at_s)))


def _handle_look(
    state: GenerationState, event: LookedElsewhere, now_s: float
) -> Decision:
    if not state.is_current(event.attempt):
        return Decision(state)
    return _handle_silence(after_look(state, event, now_s), now_s)


def _handle_silence(state: GenerationState, now_s: float) -> Decision:
    """Leave a silent run, look for another server, or go on waiting."""
    is_due = now_s >= state.leave_at_s
    if is_due and state.has_evidence(now_s):
        lost = AttemptLost(state.attempt, LossCause.SILENT)
        return _handle_loss(state, lost, now_s)
    if is_due or now_s >= state.look_at_s:
        return _look_elsewhere(state, now_s)
    check_at_s = state.next_check_at_s
    if check_at_s <= now_s:
        check_at_s = state.look_at_s
    return Decision(state, (SetTimer(min(check_at_s, state.deadline_at_s)),))


def _choose_again(state: GenerationState, now_s: float) -> Decision:
    if state.phase is not Phase.WAITING:
        return Decision(state)
    if now_s < state.paused_until_s:
        return Decision(state, (SetTimer(state.paused_until_s),))
    return _choose_server(state)


def _handle_timer(state: GenerationState, now_s: float) -> Decision:
    is_over = now_s >= state.deadline_at_s
    if state.phase in {Phase.WAITING, Phase.CHOOSING}:
        if is_over:
            return _fail_answer(state, ResultCode.INCOMPLETE_NO_SERVER)
        return _choose_again(state, now_s)
    if state.phase is not Phase.STREAMING:
        return Decision(state)
    if is_over:
        is_silent = now_s >= state.stall_at_s
        cause = LossCause.SILENT if is_silent else LossCause.DEADLINE
        return _handle_loss(state, AttemptLost(state.attempt, cause), now_s)
    if now_s < state.next_check_at_s:
        return Decision(state, (SetTimer(state.next_check_at_s),))
    if now_s < state.probe_at_s:
        return _handle_silence(state, now_s)
    probed = dataclasses.replace(state, last_probe_at_s=now_s)
    probe = ProbeServer(state.attempt, state.server)
    silence = _handle_silence(probed, now_s)
    return Decision(silence.state, (probe, *silence.actions))
