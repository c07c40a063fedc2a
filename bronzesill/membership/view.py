"""Replicated view of the fleet, with bucket hashes for anti-entropy."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping, Set
from dataclasses import field

from ..utils import stable_hash
from .facts import Fact, FactKind, fact_hash, find_needless, outranks
from .members import Member, member_hash, supersedes
from .messages import GossipUpdates

__all__ = [
    'BUCKETS',
    'MEMBER_BUCKETS',
    'FleetView',
    'ViewChange',
    'bucket_of_fact',
    'bucket_of_member',
]

#: Number of hash buckets for members.
MEMBER_BUCKETS = 32

#: Total number of hash buckets; the fact buckets follow the member buckets.
BUCKETS = 40

_HASH_BITS_KEPT = 32


@dataclasses.dataclass(frozen=True)
class FleetView:
    """
    Immutable set of the known members and facts.

    :param members_by_name: member records, including ``GONE`` members.
    :param facts_by_name: facts by :attr:`Fact.name`.
    :param hashes: hash of the entries in each bucket.
    """

    members_by_name: Mapping[str, Member] = field(default_factory=dict)
    facts_by_name: Mapping[str, Fact] = field(default_factory=dict)
    hashes: tuple[int, ...] = (0,) * BUCKETS

    @property
    def view_hash(self) -> int:
        """Hash over all buckets; equal views have equal hashes."""
        return stable_hash(*map(str, self.hashes)) >> _HASH_BITS_KEPT

    def merge(self, offered: GossipUpdates) -> ViewChange:
        """
        Merge members and facts; newer entries replace older ones.

        Announcements of daemons that have ended or restarted are dropped.

        :param offered: members and facts to merge.
        :returns: the merged view, which is this object if nothing changed,
            and the entries that were applied.
        """
        members = _newer_members(self.members_by_name, offered.members)
        facts = _newer_facts(self.facts_by_name, offered.facts)
        needless = self._find_needless(members, facts)
        facts = {
            name: fact for name, fact in facts.items() if name not in needless
        }
        dropped = needless & self.facts_by_name.keys()
        if not members and not facts and not dropped:
            return ViewChange(self, GossipUpdates())
        kept = self._without_facts(dropped)
        return ViewChange(
            FleetView(
                {**kept.members_by_name, **members},
                {**kept.facts_by_name, **facts},
                kept._updated_hashes(members, facts),
            ),
            GossipUpdates(tuple(members.values()), tuple(facts.values())),
        )

    def without_members(self, names: frozenset[str]) -> FleetView:
        """Return a view without the named members, which must be known."""
        hashes = list(self.hashes)
        for removed in names:
            hashes[bucket_of_member(removed)] ^= _truncate(
                member_hash(self.members_by_name[removed])
            )
        members = {
            name: member
            for name, member in self.members_by_name.items()
            if name not in names
        }
        return FleetView(members, self.facts_by_name, tuple(hashes))

    def is_leaving(self, member: Member) -> bool:
        """
        Return whether a daemon announced a planned shutdown.

        An announcement for an earlier incarnation is ignored.
        """
        fact = self.facts_by_name.get(_announcement_name(member.name))
        return fact is not None and fact.rank >= member.incarnation

    def entries(self, buckets: tuple[int, ...]) -> GossipUpdates:
        """Return the members and facts in the given buckets."""
        wanted = frozenset(buckets)
        return GossipUpdates(
            tuple(
                member
                for name, member in self.members_by_name.items()
                if bucket_of_member(name) in wanted
            ),
            tuple(
                fact
                for name, fact in self.facts_by_name.items()
                if bucket_of_fact(name) in wanted
            ),
        )

    def all_entries(self) -> GossipUpdates:
        """Return all members and facts."""
        return GossipUpdates(
            tuple(self.members_by_name.values()),
            tuple(self.facts_by_name.values()),
        )

    def _find_needless(
        self, members: Mapping[str, Member], facts: Mapping[str, Fact]
    ) -> frozenset[str]:
        """Return the facts that need not be held after a merge."""
        if not members and not facts:
            return frozenset()
        changed = {*facts, *map(_announcement_name, members)}
        return find_needless(
            changed,
            {**self.facts_by_name, **facts},
            {**self.members_by_name, **members},
        )

    def _without_facts(self, names: Set[str]) -> FleetView:
        """Return a view without the named facts, which must be known."""
        if not names:
            return self
        hashes = list(self.hashes)
        for removed in names:
            hashes[bucket_of_fact(removed)] ^= _truncate(
                fact_hash(self.facts_by_name[removed])
            )
        facts = {
            name: fact
            for name, fact in self.facts_by_name.items()
            if name not in names
        }
        return FleetView(self.members_by_name, facts, tuple(hashes))

    def _updated_hashes(
        self, members: Mapping[str, Member], facts: Mapping[str, Fact]
    ) -> tuple[int, ...]:
        hashes = list(self.hashes)
        for name, member in members.items():
            known = self.members_by_name.get(name)
            before = member_hash(known) if known else 0
            hashes[bucket_of_member(name)] ^= _truncate(
                before ^ member_hash(member)
            )
        for name, fact in facts.items():
            known_fact = self.facts_by_name.get(name)
            before = fact_hash(known_fact) if known_fact else 0
            hashes[bucket_of_fact(name)] ^= _truncate(before ^ fact_hash(fact))
        return tuple(hashes)


@dataclasses.dataclass(frozen=True)
class ViewChange:
    """
    Result of a merge.

    :param view: the merged view.
    :param applied: entries that were unknown or newer than the known ones.
    """

    view: FleetView
    applied: GossipUpdates


def bucket_of_member(name: str) -> int:
    """Return the index of the bucket for a member name."""
    return stable_hash('bucket', name) % MEMBER_BUCKETS


def bucket_of_fact(name: str) -> int:
    """Return the index of the bucket for a fact name."""
    fact_buckets = BUCKETS - MEMBER_BUCKETS
    return MEMBER_BUCKETS + stable_hash('bucket', name) % fact_buckets


def _announcement_name(host: str) -> str:
    """Return the name of the fact that announces the stop of a daemon."""
    return Fact(FactKind.HOST_LEAVING, host, 0).name


def _truncate(full_hash: int) -> int:
    return full_hash >> _HASH_BITS_KEPT


def _newer_members(
    known: Mapping[str, Member], offered: tuple[Member, ...]
) -> dict[str, Member]:
    newer: dict[str, Member] = {}
    for member in offered:
        best = newer.get(member.name, known.get(member.name))
        if supersedes(member, best):
            newer[member.name] = member
    return newer


def _newer_facts(
    known: Mapping[str, Fact], offered: tuple[Fact, ...]
) -> dict[str, Fact]:
    newer: dict[str, Fact] = {}
    for fact in offered:
        best = newer.get(fact.name, known.get(fact.name))
        if outranks(fact, best):
            newer[fact.name] = fact
    return newer
