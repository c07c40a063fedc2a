"""How news spreads: learnt once, pushed at once, sent along for a while."""

from __future__ import annotations

import dataclasses
from random import Random

from ..utils import Address
from .events import Action, News, Send
from .members import Liveness, Member
from .messages import Rumours
from .state import GossipState, Step

__all__ = ['Picked', 'learn', 'pick_rumours', 'refill_pushes']

_MEMBER_KEY = 'member:'
_FACT_KEY = 'fact:'


@dataclasses.dataclass(frozen=True)
class Picked:
    """
    News chosen to be sent along.

    :param state: the state after the choice.
    :param rumours: the news.
    """

    state: GossipState
    rumours: Rumours


def learn(
    state: GossipState,
    offered: Rumours,
    source: Address | None,
    now_s: float,
    random: Random,
) -> Step:
    """
    Take in beliefs and pass on what is news.

    :param state: the state before.
    :param offered: beliefs of another daemon or a fact of this one.
    :param source: address of the other daemon, none for this one.
    :param now_s: time in seconds.
    :param random: generator to draw targets from.
    """
    own = _rebut(state.own, offered.members)
    if own is not state.own:
        state = dataclasses.replace(state, own=own)
        offered = dataclasses.replace(offered, members=(*offered.members, own))
    change = state.view.merge(offered)
    if change.view is state.view:
        return Step(state)
    state = dataclasses.replace(
        state,
        view=change.view,
        changed_at_s_by_name=_note_changes(state, change.news, now_s),
        sends_left_by_key=_note_sends(state, change.news),
    )
    pushed = _push(state, change.news, source, random)
    return Step(pushed.state, (News(change.news, source), *pushed.actions))


def pick_rumours(state: GossipState, target: str) -> Picked:
    """
    Choose the news that go along with a datagram.

    What speaks against the target itself always goes along, so that it can
    rebut it.

    :param state: the state before.
    :param target: name of the daemon that gets the datagram.
    """
    left = dict(state.sends_left_by_key)
    chosen = sorted(left, key=lambda key: (-left[key], key))
    chosen = chosen[: state.policy.max_rumours]
    for picked in chosen:
        left[picked] -= 1
        if left[picked] <= 0:
            left.pop(picked)
    members = _members_of(state, chosen)
    accused = state.view.members_by_name.get(target)
    if accused is not None and not accused.is_alive:
        members = (accused, *members)
    facts = tuple(
        state.view.facts_by_name[key.removeprefix(_FACT_KEY)]
        for key in chosen
        if key.startswith(_FACT_KEY)
    )
    return Picked(
        dataclasses.replace(state, sends_left_by_key=left),
        Rumours(members, facts),
    )


def refill_pushes(state: GossipState, elapsed_s: float) -> GossipState:
    """Earn datagrams of news for the time that passed."""
    earned = state.pushes_left + elapsed_s * state.policy.pushes_per_s
    return dataclasses.replace(
        state, pushes_left=min(earned, state.policy.pushes_burst)
    )


def _members_of(state: GossipState, keys: list[str]) -> tuple[Member, ...]:
    known = state.view.members_by_name
    names = (
        key.removeprefix(_MEMBER_KEY)
        for key in keys
        if key.startswith(_MEMBER_KEY)
    )
    return tuple(known[name] for name in names if name in known)


def _rebut(own: Member, offered: tuple[Member, ...]) -> Member:
    for member in offered:
        is_about_own = member.name == own.name
        if is_about_own and _speaks_against(member, own):
            return dataclasses.replace(own, incarnation=member.incarnation + 1)
    return own


def _speaks_against(member: Member, own: Member) -> bool:
    if member.incarnation > own.incarnation:
        return True
    return member.incarnation == own.incarnation and not member.is_alive


def _note_changes(
    state: GossipState, news: Rumours, now_s: float
) -> dict[str, float]:
    changed = dict(state.changed_at_s_by_name)
    for member in news.members:
        if member.is_alive:
            changed.pop(member.name, None)
        else:
            changed[member.name] = now_s
    return changed


def _note_sends(state: GossipState, news: Rumours) -> dict[str, int]:
    left = dict(state.sends_left_by_key)
    count = state.policy.piggyback_count
    if len(news.members) + len(news.facts) > state.policy.max_rumours:
        # A whole view or a bucket: the others have it already.
        return left
    for member in news.members:
        left[f'{_MEMBER_KEY}{member.name}'] = count
    for fact in news.facts:
        left[f'{_FACT_KEY}{fact.name}'] = count
    return left


def _push(
    state: GossipState, news: Rumours, source: Address | None, random: Random
) -> Step:
    size = len(news.members) + len(news.facts)
    candidates = [
        member
        for member in state.others(Liveness.ALIVE)
        if member.peers != source
    ]
    count = min(
        state.policy.push_fanout, len(candidates), int(state.pushes_left)
    )
    if count <= 0 or size > state.policy.max_rumours:
        return Step(state)
    targets = random.sample(candidates, count)
    sends: tuple[Action, ...] = tuple(
        Send(member.peers, news) for member in targets
    )
    pushes_left = state.pushes_left - count
    return Step(dataclasses.replace(state, pushes_left=pushes_left), sends)
