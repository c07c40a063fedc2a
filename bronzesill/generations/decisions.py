"""Decisions of one generation: accept, resume, give up."""

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
from .pace import Pace
from .state import Decision, GenerationState, Phase

__all__ = ['decide']


def decide(state: GenerationState, event: Event, now_s: float) -> Decision:
    """
    Decide what follows from an event.

    :param state: the state before.
    :param event: what happened.
    :param now_s: time on the generation's clock, in seconds.
    """
    if state.has_ended:
        return Decision(state)
    match event:
        case TokensArrived():
            return _accept(state, event, now_s)
        case EndArrived():
            return _end(state, event, now_s)
        case AttemptLost():
            return _lose(state, event, now_s)
        case ServerProbed():
            return _take_probe(state, event, now_s)
        case TimerFired():
            return _check_time(state, now_s)
        case _:
            return _decide_start(state, event, now_s)


def _decide_start(
    state: GenerationState, event: Event, now_s: float
) -> Decision:
    match event:
        case Begin():
            return _choose(state)
        case Attached():
            return _attach(state, event, now_s)
        case ServerChosen():
            return _open(state, event, now_s)
        case NoServer():
            return _wait(state, now_s)
        case PlacementRefused():
            return _fail(state, event.code)
        case _:
            return Decision(state)


def _choose(state: GenerationState) -> Decision:
    choosing = dataclasses.replace(state, phase=Phase.CHOOSING, server='')
    is_resume = state.accepted > 0
    search = ChooseServer(state.excluded, is_resume, state.copy_at)
    return Decision(choosing, (search,))


def _attach(state: GenerationState, event: Attached, now_s: float) -> Decision:
    attached = _with_attempt(state, event.server, event.attempt, now_s)
    opening = OpenAttempt(
        event.attempt, event.server, state.accepted, is_attach=True
    )
    return Decision(attached, (opening, SetTimer(attached.stall_at_s)))


def _with_attempt(
    state: GenerationState, server: str, attempt: int, now_s: float
) -> GenerationState:
    return dataclasses.replace(
        state,
        phase=Phase.STREAMING,
        attempt=attempt,
        server=server,
        pace=Pace(),
        progress_at_s=now_s,
    )


def _open(
    state: GenerationState, event: ServerChosen, now_s: float
) -> Decision:
    if state.phase is not Phase.CHOOSING:
        return Decision(state)
    if now_s >= state.deadline_at_s:
        return _fail(state, ResultCode.INCOMPLETE_DEADLINE)
    attempt = state.attempt + 1
    uses_copy = bool(state.copy_at) and event.server == state.copy_at
    opened = dataclasses.replace(
        _with_attempt(state, event.server, attempt, now_s),
        fill=event.fill,
        copy_to=event.copy_to,
        # A copy serves once; another server leaves it as it is.
        copy_at='' if uses_copy else state.copy_at,
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
            SetTimer(opened.due_at_s),
        ),
    )


def _wait(state: GenerationState, now_s: float) -> Decision:
    if state.phase is not Phase.CHOOSING:
        return Decision(state)
    if now_s >= state.deadline_at_s:
        return _fail(state, ResultCode.INCOMPLETE_NO_SERVER)
    waiting = dataclasses.replace(
        state, phase=Phase.WAITING, excluded=frozenset()
    )
    retry_s = state.policy.retry_no_server_s
    retry_at_s = min(now_s + retry_s, state.deadline_at_s)
    return Decision(waiting, (SetTimer(retry_at_s),))


def _fail(state: GenerationState, code: ResultCode) -> Decision:
    failed = dataclasses.replace(state, phase=Phase.FAILED)
    return Decision(failed, (FailAnswer(code),))


def _accept(
    state: GenerationState, event: TokensArrived, now_s: float
) -> Decision:
    if not _is_current(state, event.attempt):
        return Decision(state, (CountDropped(late=len(event.tokens)),))
    if event.offset > state.accepted:
        lost = AttemptLost(event.attempt, LossCause.GAP)
        return _lose(state, lost, now_s)
    repeated = state.accepted - event.offset
    fresh = event.tokens[repeated:] if repeated else event.tokens
    if not fresh:
        alive = dataclasses.replace(state, progress_at_s=now_s)
        return Decision(alive, (CountDropped(repeated=len(event.tokens)),))
    progressed = dataclasses.replace(
        state,
        accepted=state.accepted + len(fresh),
        digest=chain_digest(state.digest, fresh),
        pace=_pace_after(state, now_s, len(event.tokens)),
        progress_at_s=now_s,
    )
    delivery = DeliverTokens(state.accepted, fresh)
    if repeated:
        return Decision(progressed, (CountDropped(repeated=repeated), delivery))
    return Decision(progressed, (delivery,))


def _pace_after(state: GenerationState, now_s: float, token_count: int) -> Pace:
    silence_s = max(now_s - state.progress_at_s, 0)
    return state.pace.after(silence_s, token_count)


def _is_current(state: GenerationState, attempt: int) -> bool:
    return state.phase is Phase.STREAMING and attempt == state.attempt


def _end(state: GenerationState, event: EndArrived, now_s: float) -> Decision:
    if not _is_current(state, event.attempt):
        return Decision(state)
    if event.total != state.accepted:
        lost = AttemptLost(event.attempt, LossCause.SHORT)
        return _lose(state, lost, now_s)
    done = dataclasses.replace(state, phase=Phase.DONE)
    return Decision(done, (CompleteAnswer(event.total, event.reason),))


def _lose(state: GenerationState, event: AttemptLost, now_s: float) -> Decision:
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
        copy_at=_copy_after(state),
    )
    if now_s >= state.deadline_at_s:
        after = _fail(lost, _late_code(event.cause))
    elif lost.losses >= state.policy.max_attempts:
        after = _fail(lost, ResultCode.INCOMPLETE_RETRIES)
    else:
        after = _choose(lost)
    return Decision(after.state, (cancel, *after.actions))


def _copy_after(state: GenerationState) -> str:
    """Return who keeps a copy of the run, now that its attempt is lost."""
    if state.pace.gap_s and state.accepted:
        return state.copy_to
    # The attempt brought nothing, so nothing of it was copied either.
    return '' if state.uses_copy else state.copy_at


def _take_probe(
    state: GenerationState, event: ServerProbed, now_s: float
) -> Decision:
    if event.is_alive or state.pace.gap_s:
        return Decision(state)
    lost = AttemptLost(event.attempt, LossCause.SILENT, 'takes no connection')
    return _lose(state, lost, now_s)


def _late_code(cause: LossCause) -> ResultCode:
    if cause is LossCause.REFUSED:
        return ResultCode.INCOMPLETE_NO_SERVER
    return ResultCode.INCOMPLETE_DEADLINE


def _check_time(state: GenerationState, now_s: float) -> Decision:
    if state.phase is Phase.WAITING:
        if now_s >= state.deadline_at_s:
            return _fail(state, ResultCode.INCOMPLETE_NO_SERVER)
        return _choose(state)
    if state.phase is not Phase.STREAMING:
        return Decision(state)
    if now_s < state.due_at_s:
        return Decision(state, (SetTimer(state.due_at_s),))
    if now_s < min(state.stall_at_s, state.deadline_at_s):
        probed = dataclasses.replace(state, probed_at_s=now_s)
        probe = ProbeServer(state.attempt, state.server)
        return Decision(probed, (probe, SetTimer(probed.due_at_s)))
    lost = AttemptLost(state.attempt, LossCause.SILENT)
    return _lose(state, lost, now_s)
