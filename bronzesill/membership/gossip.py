"""State transitions of the SWIM-style membership protocol."""

from __future__ import annotations

import dataclasses
from random import Random

from ..utils import Address
from .dissemination import apply_updates, refill_push_budget, select_updates
from .events import Event, FactPublished, MessageArrived, Send, Tick
from .facts import Fact, FactKind
from .messages import (
    Ack,
    BucketHashes,
    Entries,
    GossipUpdates,
    Ping,
    PingRequest,
)
from .probing import check_timeouts, remove_expired, start_probe
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
    Compute the next state and the actions for an event.

    Nothing is sent here; the caller performs the actions.

    :param state: state before the event.
    :param event: event to process.
    :param now_s: monotonic time of this daemon, in seconds.
    :param random: random generator for the choice of targets.
    """
    match event:
        case Tick():
            return _on_tick(state, now_s, random)
        case FactPublished():
            return _publish(state, event.fact, now_s, random)
        case MessageArrived():
            return _receive(state, event, now_s, random)
        case _:
            return apply_updates(state, event.updates, None, now_s, random)


def _publish(
    state: GossipState, fact: Fact, now_s: float, random: Random
) -> Step:
    if fact.kind == FactKind.HOST_LEAVING and fact.key == state.own.name:
        state = dataclasses.replace(state, is_leaving=True)
        # It may have refuted its end since the fact was made.
        fact = dataclasses.replace(fact, rank=state.own.incarnation)
    published = GossipUpdates(facts=(fact,))
    return apply_updates(state, published, None, now_s, random)


def _on_tick(state: GossipState, now_s: float, random: Random) -> Step:
    elapsed_s = now_s - state.last_tick_at_s
    state = refill_push_budget(state, elapsed_s)
    state = dataclasses.replace(state, last_tick_at_s=now_s)
    if elapsed_s > state.policy.pause_s:
        # The tick is late because this process was paused, so missing
        # replies are no evidence of a failed peer.  Suspicion timeouts restart.
        restarted = dict.fromkeys(state.unreachable_since_s_by_name, now_s)
        state = dataclasses.replace(
            state, probe=None, unreachable_since_s_by_name=restarted
        )
    checked = check_timeouts(state, now_s, random)
    state = remove_expired(checked.state, now_s)
    if now_s < state.next_probe_at_s:
        return Step(state, checked.actions)
    return checked.followed_by(start_probe(state, now_s, random))


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
        case GossipUpdates():
            return apply_updates(
                state, event.message, event.sender, now_s, random
            )


def _on_ping(
    state: GossipState,
    sender: Address,
    ping: Ping,
    now_s: float,
    random: Random,
) -> Step:
    merged = apply_updates(state, ping.updates, sender, now_s, random)
    picked = select_updates(merged.state, ping.sender)
    ack = Ack(
        state.own.name,
        ping.sequence,
        picked.state.view.view_hash,
        picked.updates,
        ping.on_behalf_of,
    )
    answered = Step(picked.state, (*merged.actions, Send(sender, ack)))
    return answered.followed_by(
        _sync_if_different(answered.state, sender, ping.view_hash, now_s)
    )


def _on_ack(
    state: GossipState,
    sender: Address,
    ack: Ack,
    now_s: float,
    random: Random,
) -> Step:
    merged = apply_updates(state, ack.updates, sender, now_s, random)
    requester = ack.on_behalf_of
    if requester is not None and requester != state.own.peers:
        forwarded = Send(
            requester, dataclasses.replace(ack, updates=GossipUpdates())
        )
        return Step(merged.state, (*merged.actions, forwarded))
    probe = merged.state.probe
    if probe is None or ack.subject != probe.target:
        return merged
    answered = dataclasses.replace(merged.state, probe=None)
    return Step(answered, merged.actions)


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
        GossipUpdates(),
        on_behalf_of=sender,
    )
    return Step(state, (Send(target.peers, ping),))


def _sync_if_different(
    state: GossipState, sender: Address, remote_hash: int, now_s: float
) -> Step:
    if remote_hash == state.view.view_hash:
        return Step(state)
    if now_s - state.last_sync_at_s < _SYNC_INTERVAL_S:
        return Step(state)
    hashes = BucketHashes(state.own.name, state.view.hashes)
    return Step(
        dataclasses.replace(state, last_sync_at_s=now_s),
        (Send(sender, hashes),),
    )


def _on_hashes(
    state: GossipState, sender: Address, remote: BucketHashes, random: Random
) -> Step:
    if len(remote.hashes) != BUCKETS:
        return Step(state)
    differing = [
        bucket
        for bucket in range(BUCKETS)
        if remote.hashes[bucket] != state.view.hashes[bucket]
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
    merged = apply_updates(state, entries.updates, sender, now_s, random)
    if not entries.wants_reply:
        return merged
    buckets = tuple(
        bucket for bucket in entries.buckets if 0 <= bucket < BUCKETS
    )
    reply = Entries(
        state.own.name,
        buckets,
        merged.state.view.entries(buckets),
        wants_reply=False,
    )
    return merged.followed_by(Step(merged.state, (Send(sender, reply),)))
