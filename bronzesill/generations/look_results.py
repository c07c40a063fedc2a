"""Results of looks for another server, as part of a generation's state."""

from __future__ import annotations

import dataclasses

from .look_messages import LookedElsewhere
from .server_activity import MoveBasis, MoveReason, ServerActivity
from .state import GenerationState

__all__ = ['after_look', 'move_basis', 'with_activity']


def after_look(
    state: GenerationState, event: LookedElsewhere, now_s: float
) -> GenerationState:
    """
    Return the state that contains the result of a look.

    :param state: state before the result, streaming the same attempt.
    :param event: the result.
    :param now_s: current time on the generation's clock, in seconds.
    """
    update = state.accepting if event.is_alive else state.refused
    known = dataclasses.replace(
        update(now_s), evidence=event, evidence_at_s=now_s
    )
    if not event.is_alive and not event.candidate:
        known = dataclasses.replace(known, unreachable_at_s=now_s)
    return with_activity(known, event.activity)


def with_activity(
    state: GenerationState, activity: ServerActivity | None
) -> GenerationState:
    """
    Return the state that contains what is known of its server's work.

    :param state: state before.
    :param activity: work of the server, None where speed is unknown.
    """
    if activity is None:
        return state
    return dataclasses.replace(state, activity=activity.after(state.activity))


def move_basis(
    state: GenerationState, evidence: LookedElsewhere | None, now_s: float
) -> MoveBasis | None:
    """
    Return why a run is moved, None if it is not or speed is unknown.

    :param state: state before the move.
    :param evidence: result of the look that led to it, None for other causes.
    :param now_s: current time on the generation's clock, in seconds.
    """
    activity = state.activity
    if activity is None or evidence is None or now_s >= state.deadline_at_s:
        return None
    silent_since_s = state.last_activity_at_s
    reason = MoveReason.SILENT
    if not evidence.is_alive:
        reason = MoveReason.REFUSED
    elif not state.is_memory_begun:
        reason = MoveReason.FIRST_EVENT
    elif activity.is_working(silent_since_s, state.policy):
        reason = MoveReason.OVERDUE
    return MoveBasis(
        reason,
        activity,
        silent_s=now_s - silent_since_s,
        evidence_age_s=now_s - state.evidence_at_s,
    )
