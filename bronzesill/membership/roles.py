"""Assignment of roles to daemons: entry hosts, replicas and watchers."""

from __future__ import annotations

import functools
import math

from ..utils import rank_by_rendezvous
from .members import Member
from .view import FleetView

__all__ = [
    'FleetRoles',
    'choose_collectors',
    'choose_entries',
    'choose_replicas',
    'choose_watchers',
    'is_watcher',
]

_REPLICA_COUNT = 2
_MIN_WATCHERS = 2
_DAEMONS_PER_WATCHER = 16
_MIN_WATCHER_LINK_MBPS = 20
#: Up to this many daemons each one reports to all others directly.
_MAX_DIRECT_DAEMONS = 16


def choose_entries(
    view: FleetView, own: Member, caller: str, count: int
) -> tuple[Member, ...]:
    """
    Select the daemons returned to a caller, in order of preference.

    Rendezvous hashing distributes callers evenly and keeps the result for a
    caller unchanged while the selected daemons are live.  Daemons in the
    region of ``own`` rank first; the second daemon is in another failure
    domain than the first if there is such a daemon.  Without any available
    daemon, ``own`` is returned.

    :param view: current view of the fleet.
    :param own: the daemon that answers the caller.
    :param caller: stable identifier of the caller.
    :param count: maximum number of daemons.
    """
    available = [
        member
        for member in view.members_by_name.values()
        if member.is_alive and not view.is_leaving(member)
    ]
    members_by_name = {member.name: member for member in available or [own]}
    ranked = [
        members_by_name[name]
        for name in rank_by_rendezvous(caller, tuple(members_by_name))
    ]
    ranked.sort(key=lambda member: member.region != own.region)
    return _prefer_distinct_domains(ranked)[:count]


def _prefer_distinct_domains(ranked: list[Member]) -> tuple[Member, ...]:
    first = ranked[0]
    other_domains = [
        member
        for member in ranked[1:]
        if member.failure_domain != first.failure_domain
    ]
    if not other_domains:
        return tuple(ranked)
    second = other_domains[0]
    rest = [member for member in ranked[1:] if member is not second]
    return (first, second, *rest)


def choose_replicas(view: FleetView, key: str) -> tuple[Member, ...]:
    """
    Select the two daemons that store the replicas of a record.

    The replicas are in different failure domains if possible.  A daemon that
    leaves keeps its records until it has ended, as it hands none over.

    :param view: current view of the fleet.
    :param key: key of the record.
    :returns: the replicas, empty if no daemon is live.
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
    return _prefer_distinct_domains(ranked)[:_REPLICA_COUNT] if ranked else ()


def choose_watchers(view: FleetView, failure_domain: str) -> tuple[Member, ...]:
    """
    Select the daemons of a failure domain that watch the store.

    Hosts with a slow link are selected only if there are too few others, and
    hosts that leave only if too few stay.

    :param view: current view of the fleet.
    :param failure_domain: name of the failure domain.
    """
    members = _live_members(view, failure_domain)
    count = max(_MIN_WATCHERS, math.ceil(len(members) / _DAEMONS_PER_WATCHER))
    return _choose_for_role(view, 'watch', members, count)


def choose_collectors(view: FleetView) -> tuple[Member, ...]:
    """
    Select the daemons that collect the reports of use, one a failure domain.

    A host that leaves is selected only if all of its failure domain leave.

    :param view: current view of the fleet.
    :returns: the daemons; empty in a small fleet, where all receive all
        reports.
    """
    live = [
        member for member in view.members_by_name.values() if member.is_alive
    ]
    if len(live) <= _MAX_DIRECT_DAEMONS:
        return ()
    domains = sorted({member.failure_domain for member in live})
    return tuple(
        _choose_for_role(view, 'use', _live_members(view, domain), 1)[0]
        for domain in domains
    )


def is_watcher(view: FleetView, own: Member) -> bool:
    """
    Return whether a daemon watches the store for its failure domain.

    :param view: current view of the fleet.
    :param own: member record of the daemon.
    """
    watchers = choose_watchers(view, own.failure_domain)
    return any(member.name == own.name for member in watchers)


class FleetRoles:
    """
    The live members of a view and their roles, as one daemon sees them.

    Each list is made when it is first used; the same object is returned
    from then on.

    :param view: view of the fleet.
    :param own: member record of the daemon; only its name and failure domain
        matter.
    """

    def __init__(self, view: FleetView, own: Member) -> None:
        self._view = view
        self._own = own

    def are_of(self, view: FleetView) -> bool:
        """Return whether a view has the members and facts of these roles."""
        # A change of them makes a new mapping.
        known = self._view
        return (
            view.members_by_name is known.members_by_name
            and view.facts_by_name is known.facts_by_name
        )

    @functools.cached_property
    def peers(self) -> tuple[Member, ...]:
        """The other daemons that are alive."""
        return tuple(
            member
            for member in self._view.members_by_name.values()
            if member.is_alive and member.name != self._own.name
        )

    @functools.cached_property
    def other_watchers(self) -> tuple[Member, ...]:
        """Watchers of the own failure domain, empty if this daemon is one."""
        watchers = choose_watchers(self._view, self._own.failure_domain)
        if any(member.name == self._own.name for member in watchers):
            return ()
        return watchers

    @functools.cached_property
    def collectors(self) -> tuple[Member, ...]:
        """Collectors of reports of use, those of the own domain first."""
        own_domain = self._own.failure_domain
        return tuple(
            sorted(
                choose_collectors(self._view),
                key=lambda member: member.failure_domain != own_domain,
            )
        )


def _live_members(view: FleetView, failure_domain: str) -> tuple[Member, ...]:
    return tuple(
        member
        for member in view.members_by_name.values()
        if member.is_alive and member.failure_domain == failure_domain
    )


def _choose_for_role(
    view: FleetView, key: str, members: tuple[Member, ...], count: int
) -> tuple[Member, ...]:
    """
    Choose by rendezvous hashing, without slow links if possible.

    Daemons that leave are chosen only for what those that stay do not fill.

    :param view: current view of the fleet.
    :param key: key of the role.
    :param members: daemons of one failure domain.
    :param count: number of daemons that the role needs.
    """
    staying = tuple(member for member in members if not view.is_leaving(member))
    chosen = _rank_by_link(key, staying, count)[:count]
    if len(chosen) == count:
        return chosen
    leaving = tuple(member for member in members if view.is_leaving(member))
    missing = count - len(chosen)
    return (*chosen, *_rank_by_link(key, leaving, missing)[:missing])


def _rank_by_link(
    key: str, members: tuple[Member, ...], count: int
) -> tuple[Member, ...]:
    """
    Rank daemons by rendezvous hashing, without slow links if possible.

    :param key: key of the role.
    :param members: daemons of one failure domain.
    :param count: number of daemons that the role needs.
    """
    fast = tuple(member for member in members if not _has_slow_link(member))
    candidates = fast if len(fast) >= count else members
    members_by_name = {member.name: member for member in candidates}
    ranked = rank_by_rendezvous(key, tuple(members_by_name))
    return tuple(members_by_name[name] for name in ranked)


def _has_slow_link(member: Member) -> bool:
    return 0 < member.link_mbps < _MIN_WATCHER_LINK_MBPS
