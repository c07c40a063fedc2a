"""Which daemons take which part: entries, homes of requests, watchers."""

from __future__ import annotations

import math

from ..utils import rank_by_rendezvous
from .members import Member
from .view import FleetView

__all__ = ['choose_entries', 'choose_homes', 'choose_watchers', 'is_watcher']

_HOMES = 2
_MIN_WATCHERS = 2
_DAEMONS_PER_WATCHER = 16
_WIDE_MBPS = 20


def choose_entries(
    view: FleetView, own: Member, caller: str, count: int
) -> tuple[Member, ...]:
    """
    Choose the daemons that a caller is told to use, best first.

    Callers are spread evenly by rendezvous hashing, so that an answer stays
    the same while the daemons in it live.  Daemons of the region asked come
    first; the second differs in failure domain from the first where there
    is one.

    :param view: what is believed of the fleet.
    :param own: the daemon that was asked.
    :param caller: text that is the same each time this caller asks.
    :param count: daemons to tell at most.
    """
    welcome = [
        member
        for member in view.members_by_name.values()
        if member.is_alive and not view.is_leaving(member)
    ]
    members_by_name = {member.name: member for member in welcome or [own]}
    ranked = [
        members_by_name[name]
        for name in rank_by_rendezvous(caller, tuple(members_by_name))
    ]
    ranked.sort(key=lambda member: member.region != own.region)
    return _spread(ranked)[:count]


def _spread(ranked: list[Member]) -> tuple[Member, ...]:
    first = ranked[0]
    elsewhere = [
        member
        for member in ranked[1:]
        if member.failure_domain != first.failure_domain
    ]
    if not elsewhere:
        return tuple(ranked)
    second = elsewhere[0]
    rest = [member for member in ranked[1:] if member is not second]
    return (first, second, *rest)


def choose_homes(view: FleetView, key: str) -> tuple[Member, ...]:
    """
    Choose the daemons that keep a record, in two failure domains.

    :param view: what is believed of the fleet.
    :param key: what the record is about.
    """
    members_by_name = {
        member.name: member
        for member in view.members_by_name.values()
        if member.is_alive
    }
    ranked = [
        members_by_name[name]
        for name in rank_by_rendezvous(key, tuple(members_by_name))
    ]
    return _spread(ranked)[:_HOMES] if ranked else ()


def choose_watchers(view: FleetView, failure_domain: str) -> tuple[Member, ...]:
    """
    Choose the few daemons of a failure domain that watch the store.

    Hosts with a narrow link watch only where others are too few.

    :param view: what is believed of the fleet.
    :param failure_domain: the failure domain.
    """
    members_by_name = {
        member.name: member
        for member in view.members_by_name.values()
        if member.is_alive and member.failure_domain == failure_domain
    }
    members = members_by_name.values()
    count = max(_MIN_WATCHERS, math.ceil(len(members) / _DAEMONS_PER_WATCHER))
    wide = [member for member in members if not _has_narrow_link(member)]
    candidates = wide if len(wide) >= count else members
    names = tuple(member.name for member in candidates)
    ranked = rank_by_rendezvous('watch', names)
    return tuple(members_by_name[name] for name in ranked[:count])


def is_watcher(view: FleetView, own: Member) -> bool:
    """
    Say whether a daemon is one of the few that watch the store.

    :param view: what is believed of the fleet.
    :param own: the daemon.
    """
    watchers = choose_watchers(view, own.failure_domain)
    return any(member.name == own.name for member in watchers)


def _has_narrow_link(member: Member) -> bool:
    return 0 < member.link_mbps < _WIDE_MBPS
