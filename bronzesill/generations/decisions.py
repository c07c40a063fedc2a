"""
State transitions of one generation.

The functions are pure: they perform no I/O and read no clock.
"""

from __future__ import annotations

import dataclasses

from ..utils import ResultCode, chain_digest
from .messages import (
    Attached,
    AttemptLost,
    Begin,
    CancelAttempt,
    ChooseServer,
    CompleteAnswer,
    CountDropped,
    DeliverTokens,
    EndArrived,
    Event,
    FailAnswer,
    LossCause,
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
from .stall_detection import GapEstimate
from .state import Decision, GenerationState, Phase

__all__ = ['decide']


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
    match event:
        case TokensArrived():
            return _accept_tokens(state, event, now_s)
        case EndArrived():
            return _handle_end(state, event, now_s)
        case AttemptLost():
            return _handle_loss(state, event, now_s)
        case ServerProbed():
            return _handle_probe(state, event, now_s)
        case TimerFired():
            return _handle_timer(state, now_s)
        case _:
            return _handle_placement(state, event, now_s)


def _handle_placement(
    state: GenerationState, event: Event, now_s: float
) -> Decision:
    match event:
        case Begin():
            return _choose_server(state)
        case Attached():
            return _attach_to_stream(state, event, now_s)
        case ServerChosen():
            return _open_attempt(state, event, now_s)
        case NoServer():
            return _wait_for_server(state, now_s)
        case PlacementRefused():
            return _fail_answer(state, event.code)
        case _:
            return Decision(state)


def _choose_server(state: GenerationState) -> Decision:
    choosing = dataclasses.replace(state, phase=Phase.CHOOSING, server='')
    is_resume = state.accepted > 0
    choose_action = ChooseServer(state.excluded, is_resume, state.copy_holder)
    return Decision(choosing, (choose_action,))


def _attach_to_stream(
    state: GenerationState, event: Attached, now_s: float
) -> Decision:
    attached = _with_attempt(state, event.server, event.attempt, now_s)
    open_action = OpenAttempt(
        event.attempt, event.server, state.accepted, is_attach=True
    )
    return Decision(attached, (open_action, SetTimer(attached.stall_at_s)))


def _with_attempt(
    state: GenerationState, server: str, attempt: int, now_s: float
) -> GenerationState:
    return dataclasses.replace(
        state,
        phase=Phase.STREAMING,
        attempt=attempt,
        server=server,
        gap_estimate=GapEstimate(),
        last_activity_at_s=now_s,
    )


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
        _with_attempt(state, event.server, attempt, now_s),
        fill=event.fill,
        copy_to=event.copy_to,
        # A copy can be resumed from only once. It remains available if the
        # attempt runs on a server other than the one that keeps it.
        copy_holder='' if uses_copy else state.copy_holder,
        uses_copy=uses_copy,
    )
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


def _fail_answer(state: GenerationState, code: ResultCode) -> Decision:
    failed = dataclasses.replace(state, phase=Phase.FAILED)
    return Decision(failed, (FailAnswer(code),))


def _accept_tokens(
    state: GenerationState, event: TokensArrived, now_s: float
) -> Decision:
    if not _is_current(state, event.attempt):
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
        gap_estimate=_updated_gap_estimate(state, now_s, len(event.tokens)),
        last_activity_at_s=now_s,
    )
    delivery = DeliverTokens(state.accepted, new_tokens)
    if repeated:
        return Decision(progressed, (CountDropped(repeated=repeated), delivery))
    return Decision(progressed, (delivery,))


def _updated_gap_estimate(
    state: GenerationState, now_s: float, token_count: int
) -> GapEstimate:
    silence_s = max(now_s - state.last_activity_at_s, 0)
    return state.gap_estimate.with_arrival(silence_s, token_count)


def _is_current(state: GenerationState, attempt: int) -> bool:
    return state.phase is Phase.STREAMING and attempt == state.attempt


def _handle_end(
    state: GenerationState, event: EndArrived, now_s: float
) -> Decision:
    if not _is_current(state, event.attempt):
        return Decision(state)
    if event.total != state.accepted:
        lost = AttemptLost(event.attempt, LossCause.SHORT)
        return _handle_loss(state, lost, now_s)
    done = dataclasses.replace(state, phase=Phase.DONE)
    return Decision(done, (CompleteAnswer(event.total, event.reason),))


def _handle_loss(
    state: GenerationState, event: AttemptLost, now_s: float
) -> Decision:
    if not _is_current(state, event.attempt):
        return Decision(state)
    cancel = CancelAttempt(
        event.attempt, state.server, event.cause, event.detail
    )
    is_refused = event.cause is LossCause.REFUSED
    lost = dataclasses.replace(
        state,
        losses=state.losses + int(not is_refused),
        excluded=state.excluded | {state.server},
        copy_holder=_copy_after_loss(state),
    )
    if now_s >= state.deadline_at_s:
        next_decision = _fail_answer(lost, _deadline_code(event.cause))
    elif lost.losses >= state.policy.max_attempts:
        next_decision = _fail_answer(lost, ResultCode.INCOMPLETE_RETRIES)
    else:
        next_decision = _choose_server(lost)
    return Decision(next_decision.state, (cancel, *next_decision.actions))


def _copy_after_loss(state: GenerationState) -> str:
    """Return the server with a usable copy of the lost run, empty for none."""
    if state.gap_estimate.gap_s and state.accepted:
        return state.copy_to
    # The attempt produced no tokens, so no new copy exists. An earlier copy
    # remains unless this attempt consumed it.
    return '' if state.uses_copy else state.copy_holder


def _handle_probe(
    state: GenerationState, event: ServerProbed, now_s: float
) -> Decision:
    if event.is_alive or state.gap_estimate.gap_s:
        return Decision(state)
    lost = AttemptLost(
        event.attempt, LossCause.SILENT, 'server does not accept connections'
    )
    return _handle_loss(state, lost, now_s)


def _deadline_code(cause: LossCause) -> ResultCode:
    if cause is LossCause.REFUSED:
        return ResultCode.INCOMPLETE_NO_SERVER
    return ResultCode.INCOMPLETE_DEADLINE


def _handle_timer(state: GenerationState, now_s: float) -> Decision:
    if state.phase is Phase.WAITING:
        if now_s >= state.deadline_at_s:
            return _fail_answer(state, ResultCode.INCOMPLETE_NO_SERVER)
        return _choose_server(state)
    if state.phase is not Phase.STREAMING:
        return Decision(state)
    if now_s < state.next_check_at_s:
        return Decision(state, (SetTimer(state.next_check_at_s),))
    if now_s < min(state.stall_at_s, state.deadline_at_s):
        probed = dataclasses.replace(state, last_probe_at_s=now_s)
        probe = ProbeServer(state.attempt, state.server)
        return Decision(probed, (probe, SetTimer(probed.next_check_at_s)))
    lost = AttemptLost(state.attempt, LossCause.SILENT)
    return _handle_loss(state, lost, now_s)
