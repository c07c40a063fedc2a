"""Probes: who is asked for a sign of life and what silence means."""

from __future__ import annotations

import dataclasses
from random import Random

from .events import Action, Send
from .members import Liveness, Member
from .messages import Ping, PingRequest, Rumours
from .spreading import learn, pick_rumours
from .state import GossipState, Probe, Step

__all__ = ['check_probe', 'forget_gone', 'start_probe']

_GONE_PROBE_EVERY = 10


def check_probe(state: GossipState, now_s: float, random: Random) -> Step:
    """
    Look after the probe under way and after those suspected before.

    :param state: the state before.
    :param now_s: time in seconds.
    :param random: generator to draw helpers from.
    """
    probe = state.probe
    result = Step(state)
    if probe is not None:
        result = _check_silence(state, probe, now_s, random)
    overdue = tuple(
        dataclasses.replace(member, liveness=Liveness.GONE)
        for member in result.state.others(Liveness.SUSPECT)
        if _is_overdue(result.state, member, now_s)
    )
    return result.then(
        learn(result.state, Rumours(overdue), None, now_s, random)
    )


def start_probe(state: GossipState, now_s: float, random: Random) -> Step:
    """
    Probe the next member of the round.

    Every member is probed once in a round; rounds are drawn anew.  Now and
    then a member that counts as gone is asked too, so that parted regions
    find each other again.

    :param state: the state before.
    :param now_s: time in seconds.
    :param random: generator to draw the round from.
    """
    sequence = state.sequence + 1
    state = dataclasses.replace(
        state,
        sequence=sequence,
        next_probe_at_s=now_s + state.policy.period_s,
    )
    actions: list[Action] = []
    if sequence % _GONE_PROBE_EVERY == 0:
        actions.extend(_ping_gone(state, random))
    state = _refill_round(state, random)
    if not state.to_probe:
        return Step(state, tuple(actions))
    target = state.view.members_by_name[state.to_probe[-1]]
    state = dataclasses.replace(state, to_probe=state.to_probe[:-1])
    picked = pick_rumours(state, target.name)
    ping = Ping(
        state.own.name,
        sequence,
        picked.state.view.view_hash,
        picked.rumours,
    )
    actions.append(Send(target.peers, ping))
    probe = Probe(target.name, sequence, now_s)
    return Step(dataclasses.replace(picked.state, probe=probe), tuple(actions))


def forget_gone(state: GossipState, now_s: float) -> GossipState:
    """Drop members that have been gone for long."""
    names = frozenset(
        name
        for name, at_s in state.changed_at_s_by_name.items()
        if now_s - at_s > state.policy.forget_after_s
        and name in state.view.members_by_name
        and state.view.members_by_name[name].is_gone
    )
    if not names:
        return state
    changed = {
        name: at_s
        for name, at_s in state.changed_at_s_by_name.items()
        if name not in names
    }
    return dataclasses.replace(
        state,
        view=state.view.forget(names),
        changed_at_s_by_name=changed,
    )


def _is_overdue(state: GossipState, member: Member, now_s: float) -> bool:
    if member.is_alive:
        return False
    since_s = state.changed_at_s_by_name.get(member.name, now_s)
    return now_s - since_s > state.policy.gone_after_s


def _check_silence(
    state: GossipState, probe: Probe, now_s: float, random: Random
) -> Step:
    target = state.view.members_by_name.get(probe.target)
    if target is None:
        return Step(dataclasses.replace(state, probe=None))
    silent_s = now_s - probe.started_at_s
    if silent_s > state.policy.period_s:
        state = dataclasses.replace(state, probe=None)
        if not target.is_alive:
            return Step(state)
        silent = dataclasses.replace(target, liveness=Liveness.SUSPECT)
        return learn(state, Rumours((silent,)), None, now_s, random)
    if probe.is_indirect or silent_s < state.policy.direct_timeout_s:
        return Step(state)
    asked = dataclasses.replace(
        state, probe=dataclasses.replace(probe, is_indirect=True)
    )
    return Step(asked, _ask_helpers(state, probe, random))


def _ask_helpers(
    state: GossipState, probe: Probe, random: Random
) -> tuple[Action, ...]:
    helpers = [
        member
        for member in state.others(Liveness.ALIVE)
        if member.name != probe.target
    ]
    count = min(state.policy.indirect_probes, len(helpers))
    request = PingRequest(state.own.name, probe.target, probe.sequence)
    return tuple(
        Send(helper.peers, request) for helper in random.sample(helpers, count)
    )


def _ping_gone(state: GossipState, random: Random) -> list[Action]:
    gone = [member for member in state.others(Liveness.GONE) if member.is_gone]
    if not gone:
        return []
    target = random.choice(gone)
    accusation = Rumours((target,))
    ping = Ping(
        state.own.name, state.sequence, state.view.view_hash, accusation
    )
    return [Send(target.peers, ping)]


def _refill_round(state: GossipState, random: Random) -> GossipState:
    members = state.view.members_by_name
    queue = [
        name
        for name in state.to_probe
        if name in members and not members[name].is_gone
    ]
    if not queue:
        queue = [member.name for member in state.others(Liveness.SUSPECT)]
        random.shuffle(queue)
    return dataclasses.replace(state, to_probe=tuple(queue))
