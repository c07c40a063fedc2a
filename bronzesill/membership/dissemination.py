"""Dissemination: merge updates, push new ones and piggyback on probes."""

from __future__ import annotations

import dataclasses
from random import Random

from ..utils import Address
from .events import Action, Send, ViewUpdated
from .facts import Fact, FactKind
from .members import Liveness, Member
from .messages import GossipUpdates
from .state import GossipState, Step

__all__ = [
    'SelectedUpdates',
    'apply_updates',
    'refill_push_budget',
    'select_updates',
]

_MEMBER_KEY = 'member:'
_FACT_KEY = 'fact:'


@dataclasses.dataclass(frozen=True)
class SelectedUpdates:
    """
    Updates selected for piggybacking on a datagram.

    :param state: state with the transmission counts reduced.
    :param updates: selected updates.
    """

    state: GossipState
    updates: GossipUpdates


def apply_updates(
    state: GossipState,
    offered: GossipUpdates,
    source: Address | None,
    now_s: float,
    random: Random,
) -> Step:
    """
    Merge updates into the view and push those that changed it.

    A report that this daemon is suspected or gone is refuted with a higher
    incarnation, for which its planned stop is published again.

    :param state: state before the merge.
    :param offered: updates from a peer, or a fact published locally.
    :param source: address of the peer, ``None`` for local updates.
    :param now_s: monotonic time in seconds.
    :param random: random generator for the choice of push targets.
    """
    own = _refute(state.own, offered.members)
    if own is not state.own:
        state = dataclasses.replace(state, own=own)
        offered = GossipUpdates(
            (*offered.members, own), (*offered.facts, *_announcements(state))
        )
    change = state.view.merge(offered)
    if change.view is state.view:
        return Step(state)
    state = dataclasses.replace(
        state,
        view=change.view,
        unreachable_since_s_by_name=_record_liveness(
            state, change.applied, now_s
        ),
        transmissions_left_by_key=_schedule_retransmissions(
            state, change.applied
        ),
    )
    pushed = _push(state, change.applied, source, random)
    return Step(
        pushed.state, (ViewUpdated(change.applied, source), *pushed.actions)
    )


def select_updates(state: GossipState, target: str) -> SelectedUpdates:
    """
    Select the updates to piggyback on a datagram.

    The record of a target that is not ``ALIVE`` is always included, so that
    the target can refute it.

    :param state: state before the selection.
    :param target: name of the daemon that receives the datagram.
    """
    left = dict(state.transmissions_left_by_key)
    chosen = sorted(left, key=lambda key: (-left[key], key))
    chosen = chosen[: state.policy.max_updates]
    for picked in chosen:
        left[picked] -= 1
        if left[picked] <= 0:
            left.pop(picked)
    members = _members_of(state, chosen)
    recipient = state.view.members_by_name.get(target)
    if recipient is not None and not recipient.is_alive:
        members = (recipient, *members)
    return SelectedUpdates(
        dataclasses.replace(state, transmissions_left_by_key=left),
        GossipUpdates(members, _facts_of(state, chosen)),
    )


def refill_push_budget(state: GossipState, elapsed_s: float) -> GossipState:
    """
    Refill the token bucket that limits the rate of push datagrams.

    :param state: state before the refill.
    :param elapsed_s: seconds since the last refill.
    """
    refilled = state.push_budget + elapsed_s * state.policy.pushes_per_s
    return dataclasses.replace(
        state, push_budget=min(refilled, state.policy.pushes_burst)
    )


def _members_of(state: GossipState, keys: list[str]) -> tuple[Member, ...]:
    known = state.view.members_by_name
    names = (
        key.removeprefix(_MEMBER_KEY)
        for key in keys
        if key.startswith(_MEMBER_KEY)
    )
    return tuple(known[name] for name in names if name in known)


def _facts_of(state: GossipState, keys: list[str]) -> tuple[Fact, ...]:
    known = state.view.facts_by_name
    names = (
        key.removeprefix(_FACT_KEY) for key in keys if key.startswith(_FACT_KEY)
    )
    return tuple(known[name] for name in names if name in known)


def _refute(own: Member, offered: tuple[Member, ...]) -> Member:
    for member in offered:
        is_about_own = member.name == own.name
        if is_about_own and _contradicts(member, own):
            return dataclasses.replace(own, incarnation=member.incarnation + 1)
    return own


def _announcements(state: GossipState) -> tuple[Fact, ...]:
    own = state.own
    if not state.is_leaving:
        return ()
    return (Fact(FactKind.HOST_LEAVING, own.name, own.incarnation),)


def _contradicts(member: Member, own: Member) -> bool:
    if member.incarnation > own.incarnation:
        return True
    return member.incarnation == own.incarnation and not member.is_alive


def _record_liveness(
    state: GossipState, applied: GossipUpdates, now_s: float
) -> dict[str, float]:
    changed = dict(state.unreachable_since_s_by_name)
    for member in applied.members:
        if member.is_alive:
            changed.pop(member.name, None)
        else:
            changed[member.name] = now_s
    return changed


def _schedule_retransmissions(
    state: GossipState, applied: GossipUpdates
) -> dict[str, int]:
    left = dict(state.transmissions_left_by_key)
    count = state.policy.piggyback_count
    if len(applied.members) + len(applied.facts) > state.policy.max_updates:
        # A full view or bucket from synchronization: peers already have it.
        return left
    for member in applied.members:
        left[f'{_MEMBER_KEY}{member.name}'] = count
    for fact in applied.facts:
        left[f'{_FACT_KEY}{fact.name}'] = count
    return left


def _push(
    state: GossipState,
    applied: GossipUpdates,
    source: Address | None,
    random: Random,
) -> Step:
    size = len(applied.members) + len(applied.facts)
    candidates = [
        member
        for member in state.other_members(Liveness.ALIVE)
        if member.peers != source
    ]
    count = min(
        state.policy.push_fanout, len(candidates), int(state.push_budget)
    )
    if count <= 0 or size > state.policy.max_updates:
        return Step(state)
    targets = random.sample(candidates, count)
    sends: tuple[Action, ...] = tuple(
        Send(member.peers, applied) for member in targets
    )
    push_budget = state.push_budget - count
    return Step(dataclasses.replace(state, push_budget=push_budget), sends)
