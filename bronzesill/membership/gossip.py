"""Decisions of the membership protocol: what to believe and to send."""

from __future__ import annotations

import dataclasses
from random import Random

from ..utils import Address
from .events import Event, FactStated, MessageArrived, Send, Tick
from .messages import (
    Ack,
    BucketHashes,
    Entries,
    Ping,
    PingRequest,
    Rumours,
)
from .probing import check_probe, forget_gone, start_probe
from .spreading import learn, pick_rumours, refill_pushes
from .state import GossipState, Step
from .view import BUCKETS, MEMBER_BUCKETS

__all__ = ['step']

_SYNC_INTERVAL_S = 0.5
_SYNC_MEMBER_BUCKETS = 2
_SYNC_FACT_BUCKETS = 4


def step(
    state: GossipState, event: Event, now_s: float, random: Random
) -> Step:
    """
    Decide what follows from an event.

    :param state: the state before.
    :param event: what happened.
    :param now_s: time in seconds on this daemon's clock.
    :param random: generator to draw targets from.
    """
    match event:
        case Tick():
            return _tick(state, now_s, random)
        case FactStated():
            news = Rumours(facts=(event.fact,))
            return learn(state, news, None, now_s, random)
        case MessageArrived():
            return _receive(state, event, now_s, random)
        case _:
            return learn(state, event.rumours, None, now_s, random)


def _tick(state: GossipState, now_s: float, random: Random) -> Step:
    late_s = now_s - state.ticked_at_s
    state = refill_pushes(state, late_s)
    state = dataclasses.replace(state, ticked_at_s=now_s)
    if late_s > state.policy.pause_s:
        # This daemon was paused: the silence it noticed was its own.
        changed = dict.fromkeys(state.changed_at_s_by_name, now_s)
        state = dataclasses.replace(
            state, probe=None, changed_at_s_by_name=changed
        )
    checked = check_probe(state, now_s, random)
    state = forget_gone(checked.state, now_s)
    if now_s < state.next_probe_at_s:
        return Step(state, checked.actions)
    return checked.then(start_probe(state, now_s, random))


def _receive(
    state: GossipState, event: MessageArrived, now_s: float, random: Random
) -> Step:
    match event.message:
        case Ping():
            return _on_ping(state, event.sender, event.message, now_s, random)
        case Ack():
            return _on_ack(state, event.sender, event.message, now_s, random)
        case PingRequest():
            return _on_ping_request(state, event.sender, event.message)
        case BucketHashes():
            return _on_hashes(state, event.sender, event.message, random)
        case Entries():
            return _on_entries(
                state, event.sender, event.message, now_s, random
            )
        case Rumours():
            return learn(state, event.message, event.sender, now_s, random)


def _on_ping(
    state: GossipState,
    sender: Address,
    ping: Ping,
    now_s: float,
    random: Random,
) -> Step:
    learnt = learn(state, ping.rumours, sender, now_s, random)
    picked = pick_rumours(learnt.state, ping.sender)
    ack = Ack(
        state.own.name,
        ping.sequence,
        picked.state.view.view_hash,
        picked.rumours,
        ping.on_behalf_of,
    )
    answered = Step(picked.state, (*learnt.actions, Send(sender, ack)))
    return answered.then(
        _compare(answered.state, sender, ping.view_hash, now_s)
    )


def _on_ack(
    state: GossipState,
    sender: Address,
    ack: Ack,
    now_s: float,
    random: Random,
) -> Step:
    learnt = learn(state, ack.rumours, sender, now_s, random)
    asker = ack.on_behalf_of
    if asker is not None and asker != state.own.peers:
        passed_on = Send(asker, dataclasses.replace(ack, rumours=Rumours()))
        return Step(learnt.state, (*learnt.actions, passed_on))
    probe = learnt.state.probe
    if probe is None or ack.subject != probe.target:
        return learnt
    answered = dataclasses.replace(learnt.state, probe=None)
    return Step(answered, learnt.actions)


def _on_ping_request(
    state: GossipState, sender: Address, request: PingRequest
) -> Step:
    target = state.view.members_by_name.get(request.target)
    if target is None:
        return Step(state)
    ping = Ping(
        state.own.name,
        request.sequence,
        state.view.view_hash,
        Rumours(),
        on_behalf_of=sender,
    )
    return Step(state, (Send(target.peers, ping),))


def _compare(
    state: GossipState, sender: Address, their_hash: int, now_s: float
) -> Step:
    if their_hash == state.view.view_hash:
        return Step(state)
    if now_s - state.synced_at_s < _SYNC_INTERVAL_S:
        return Step(state)
    hashes = BucketHashes(state.own.name, state.view.hashes)
    return Step(
        dataclasses.replace(state, synced_at_s=now_s), (Send(sender, hashes),)
    )


def _on_hashes(
    state: GossipState, sender: Address, theirs: BucketHashes, random: Random
) -> Step:
    if len(theirs.hashes) != BUCKETS:
        return Step(state)
    differing = [
        bucket
        for bucket in range(BUCKETS)
        if theirs.hashes[bucket] != state.view.hashes[bucket]
    ]
    if not differing:
        return Step(state)
    buckets = _draw_buckets(differing, random)
    entries = Entries(
        state.own.name, buckets, state.view.entries(buckets), True
    )
    return Step(state, (Send(sender, entries),))


def _draw_buckets(differing: list[int], random: Random) -> tuple[int, ...]:
    facts = [bucket for bucket in differing if bucket >= MEMBER_BUCKETS]
    members = [bucket for bucket in differing if bucket < MEMBER_BUCKETS]
    fact_count = min(_SYNC_FACT_BUCKETS, len(facts))
    member_count = min(_SYNC_MEMBER_BUCKETS, len(members))
    return (
        *random.sample(facts, fact_count),
        *random.sample(members, member_count),
    )


def _on_entries(
    state: GossipState,
    sender: Address,
    entries: Entries,
    now_s: float,
    random: Random,
) -> Step:
    learnt = learn(state, entries.rumours, sender, now_s, random)
    if not entries.wants_reply:
        return learnt
    buckets = tuple(
        bucket for bucket in entries.buckets if 0 <= bucket < BUCKETS
    )
    reply = Entries(
        state.own.name,
        buckets,
        learnt.state.view.entries(buckets),
        wants_reply=False,
    )
    return learnt.then(Step(learnt.state, (Send(sender, reply),)))
