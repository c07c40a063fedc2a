"""Failure detection: direct and indirect probes, suspicion and expiry."""

from __future__ import annotations

import dataclasses
from random import Random

from .dissemination import apply_updates, select_updates
from .events import Action, Send
from .members import Liveness, Member
from .messages import GossipUpdates, Ping, PingRequest
from .state import GossipState, Probe, Step

__all__ = ['check_timeouts', 'remove_expired', 'start_probe']

_PROBES_PER_GONE_PING = 10


def check_timeouts(state: GossipState, now_s: float, random: Random) -> Step:
    """
    Apply the timeouts of the outstanding probe and of suspected members.

    A probe without an ``Ack`` is first retried indirectly; after
    ``period_s`` its target becomes ``SUSPECT``.  A member that stays
    ``SUSPECT`` for longer than ``gone_after_s`` becomes ``GONE``.

    :param state: state before the check.
    :param now_s: monotonic time in seconds.
    :param random: random generator for the choice of relays.
    """
    probe = state.probe
    result = Step(state)
    if probe is not None:
        result = _check_probe(state, probe, now_s, random)
    expired = tuple(
        dataclasses.replace(member, liveness=Liveness.GONE)
        for member in result.state.other_members(Liveness.SUSPECT)
        if _is_suspicion_expired(result.state, member, now_s)
    )
    return result.followed_by(
        apply_updates(result.state, GossipUpdates(expired), None, now_s, random)
    )


def start_probe(state: GossipState, now_s: float, random: Random) -> Step:
    """
    Probe the next member of the current round.

    Each round probes every member once, in a new random order.  Every tenth
    probe also pings a random ``GONE`` member, so that the two sides of a
    healed network partition rediscover each other.

    :param state: state before the probe.
    :param now_s: monotonic time in seconds.
    :param random: random generator for the order of the round.
    """
    sequence = state.sequence + 1
    state = dataclasses.replace(
        state,
        sequence=sequence,
        next_probe_at_s=now_s + state.policy.period_s,
    )
    actions: list[Action] = []
    if sequence % _PROBES_PER_GONE_PING == 0:
        actions.extend(_ping_gone(state, random))
    state = _fill_round(state, random)
    if not state.probe_queue:
        return Step(state, tuple(actions))
    target = state.view.members_by_name[state.probe_queue[-1]]
    state = dataclasses.replace(state, probe_queue=state.probe_queue[:-1])
    picked = select_updates(state, target.name)
    ping = Ping(
        state.own.name,
        sequence,
        picked.state.view.view_hash,
        picked.updates,
    )
    actions.append(Send(target.peers, ping))
    probe = Probe(target.name, sequence, now_s)
    return Step(dataclasses.replace(picked.state, probe=probe), tuple(actions))


def remove_expired(state: GossipState, now_s: float) -> GossipState:
    """Remove members that were ``GONE`` for over ``forget_after_s``."""
    names = frozenset(
        name
        for name, at_s in state.unreachable_since_s_by_name.items()
        if now_s - at_s > state.policy.forget_after_s
        and name in state.view.members_by_name
        and state.view.members_by_name[name].is_gone
    )
    if not names:
        return state
    remaining = {
        name: at_s
        for name, at_s in state.unreachable_since_s_by_name.items()
        if name not in names
    }
    return dataclasses.replace(
        state,
        view=state.view.without_members(names),
        unreachable_since_s_by_name=remaining,
    )


def _is_suspicion_expired(
    state: GossipState, member: Member, now_s: float
) -> bool:
    if member.is_alive:
        return False
    since_s = state.unreachable_since_s_by_name.get(member.name, now_s)
    return now_s - since_s > state.policy.gone_after_s


def _check_probe(
    state: GossipState, probe: Probe, now_s: float, random: Random
) -> Step:
    target = state.view.members_by_name.get(probe.target)
    if target is None:
        return Step(dataclasses.replace(state, probe=None))
    elapsed_s = now_s - probe.started_at_s
    if elapsed_s > state.policy.period_s:
        state = dataclasses.replace(state, probe=None)
        if not target.is_alive:
            return Step(state)
        suspected = dataclasses.replace(target, liveness=Liveness.SUSPECT)
        return apply_updates(
            state, GossipUpdates((suspected,)), None, now_s, random
        )
    if probe.is_indirect or elapsed_s < state.policy.direct_timeout_s:
        return Step(state)
    updated = dataclasses.replace(
        state, probe=dataclasses.replace(probe, is_indirect=True)
    )
    return Step(updated, _request_indirect_probes(state, probe, random))


def _request_indirect_probes(
    state: GossipState, probe: Probe, random: Random
) -> tuple[Action, ...]:
    relays = [
        member
        for member in state.other_members(Liveness.ALIVE)
        if member.name != probe.target
    ]
    count = min(state.policy.indirect_probes, len(relays))
    request = PingRequest(state.own.name, probe.target, probe.sequence)
    return tuple(
        Send(relay.peers, request) for relay in random.sample(relays, count)
    )


def _ping_gone(state: GossipState, random: Random) -> list[Action]:
    gone = [
        member
        for member in state.other_members(Liveness.GONE)
        if member.is_gone
    ]
    if not gone:
        return []
    target = random.choice(gone)
    gone_record = GossipUpdates((target,))
    ping = Ping(
        state.own.name, state.sequence, state.view.view_hash, gone_record
    )
    return [Send(target.peers, ping)]


def _fill_round(state: GossipState, random: Random) -> GossipState:
    members = state.view.members_by_name
    queue = [
        name
        for name in state.probe_queue
        if name in members and not members[name].is_gone
    ]
    if not queue:
        queue = [
            member.name for member in state.other_members(Liveness.SUSPECT)
        ]
        random.shuffle(queue)
    return dataclasses.replace(state, probe_queue=tuple(queue))
