"""What one daemon believes of the fleet."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping
from dataclasses import field

from ..utils import stable_hash
from .facts import Fact, FactKind, fact_hash, outranks
from .members import Member, member_hash, supersedes
from .messages import Rumours

__all__ = [
    'BUCKETS',
    'MEMBER_BUCKETS',
    'FleetView',
    'ViewChange',
    'bucket_of_fact',
    'bucket_of_member',
]

#: Buckets into which members are divided for comparison.
MEMBER_BUCKETS = 32

#: Buckets of members and facts together; those of facts come last.
BUCKETS = 40

_HASH_BITS_KEPT = 32


@dataclasses.dataclass(frozen=True)
class FleetView:
    """
    Members and facts; a new view is made for each change.

    :param members_by_name: members, gone ones too.
    :param facts_by_name: facts by kind and key.
    :param hashes: hash of the beliefs in each bucket.
    """

    members_by_name: Mapping[str, Member] = field(default_factory=dict)
    facts_by_name: Mapping[str, Fact] = field(default_factory=dict)
    hashes: tuple[int, ...] = (0,) * BUCKETS

    @property
    def view_hash(self) -> int:
        """Hash of all beliefs."""
        return stable_hash(*map(str, self.hashes)) >> _HASH_BITS_KEPT

    def merge(self, offered: Rumours) -> ViewChange:
        """
        Take in what others believe.

        :param offered: their members and facts.
        :returns: the new view and what was news.
        """
        members = _fresh_members(self.members_by_name, offered.members)
        facts = _fresh_facts(self.facts_by_name, offered.facts)
        if not members and not facts:
            return ViewChange(self, Rumours())
        return ViewChange(
            FleetView(
                {**self.members_by_name, **members},
                {**self.facts_by_name, **facts},
                self._hashes_after(members, facts),
            ),
            Rumours(tuple(members.values()), tuple(facts.values())),
        )

    def forget(self, names: frozenset[str]) -> FleetView:
        """Drop members that have been gone for long."""
        hashes = list(self.hashes)
        for gone in names:
            hashes[bucket_of_member(gone)] ^= _short(
                member_hash(self.members_by_name[gone])
            )
        members = {
            name: member
            for name, member in self.members_by_name.items()
            if name not in names
        }
        return FleetView(members, self.facts_by_name, tuple(hashes))

    def is_leaving(self, member: Member) -> bool:
        """Say whether a daemon announced its planned stop."""
        name = Fact(FactKind.HOST_LEAVING, member.name, 0).name
        fact = self.facts_by_name.get(name)
        return fact is not None and fact.rank >= member.incarnation

    def entries(self, buckets: tuple[int, ...]) -> Rumours:
        """Return the beliefs in some buckets."""
        wanted = frozenset(buckets)
        return Rumours(
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

    def all_entries(self) -> Rumours:
        """Return all beliefs."""
        return Rumours(
            tuple(self.members_by_name.values()),
            tuple(self.facts_by_name.values()),
        )

    def _hashes_after(
        self, members: Mapping[str, Member], facts: Mapping[str, Fact]
    ) -> tuple[int, ...]:
        hashes = list(self.hashes)
        for name, member in members.items():
            known = self.members_by_name.get(name)
            before = member_hash(known) if known else 0
            hashes[bucket_of_member(name)] ^= _short(
                before ^ member_hash(member)
            )
        for name, fact in facts.items():
            held = self.facts_by_name.get(name)
            before = fact_hash(held) if held else 0
            hashes[bucket_of_fact(name)] ^= _short(before ^ fact_hash(fact))
        return tuple(hashes)


@dataclasses.dataclass(frozen=True)
class ViewChange:
    """
    A view after a merge.

    :param view: the view from now on.
    :param news: what was not known before.
    """

    view: FleetView
    news: Rumours


def bucket_of_member(name: str) -> int:
    """Return the bucket of a member."""
    return stable_hash('bucket', name) % MEMBER_BUCKETS


def bucket_of_fact(name: str) -> int:
    """Return the bucket of a fact."""
    fact_buckets = BUCKETS - MEMBER_BUCKETS
    return MEMBER_BUCKETS + stable_hash('bucket', name) % fact_buckets


def _short(full_hash: int) -> int:
    return full_hash >> _HASH_BITS_KEPT


def _fresh_members(
    known: Mapping[str, Member], offered: tuple[Member, ...]
) -> dict[str, Member]:
    fresh: dict[str, Member] = {}
    for member in offered:
        best = fresh.get(member.name, known.get(member.name))
        if supersedes(member, best):
            fresh[member.name] = member
    return fresh


def _fresh_facts(
    known: Mapping[str, Fact], offered: tuple[Fact, ...]
) -> dict[str, Fact]:
    fresh: dict[str, Fact] = {}
    for fact in offered:
        best = fresh.get(fact.name, known.get(fact.name))
        if outranks(fact, best):
            fresh[fact.name] = fact
    return fresh
