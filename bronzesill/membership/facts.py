"""Facts disseminated by gossip, merged by highest rank."""

import dataclasses
import enum
from collections.abc import Iterable, Mapping

from ..utils import stable_hash
from .members import Member

__all__ = [
    'MAX_ANNOUNCEMENTS',
    'Fact',
    'FactKind',
    'fact_hash',
    'find_needless',
    'outranks',
]

#: Announcements of each kind that a view holds; the newest ones remain.
MAX_ANNOUNCEMENTS = 1024


class FactKind(enum.IntEnum):
    """Kind of a fact; the values are sent in messages."""

    CONFIG_REVISION = 1
    VERSION_TAKEN_BACK = 2
    SERVER_LEAVING = 3
    HOST_LEAVING = 4
    MOVE_RECORD = 5
    SERVER_ORDER = 6
    # 7 is no longer used.
    SUSPECT = 8
    SERVER_SAID_LEAVING = 9


_ANNOUNCEMENTS = (FactKind.HOST_LEAVING, FactKind.SERVER_SAID_LEAVING)


@dataclasses.dataclass(frozen=True)
class Fact:
    """
    A replicated fact; the highest rank wins for each kind and key.

    :param kind: one of :class:`FactKind`.
    :param key: identifier of the subject within its kind.
    :param rank: version, which increases for each kind and key.
    :param text: short additional payload.
    """

    kind: int
    key: str
    rank: int
    text: str = ''

    @property
    def name(self) -> str:
        """Unique identifier, made of kind and key."""
        return f'{self.kind}/{self.key}'


def outranks(offered: Fact, known: Fact | None) -> bool:
    """Return whether an offered fact replaces the known one, if any."""
    return known is None or offered.rank > known.rank


def fact_hash(fact: Fact) -> int:
    """Return a hash of the name and rank; the text is left out."""
    return stable_hash(fact.name, str(fact.rank))


def find_needless(
    changed: Iterable[str],
    facts_by_name: Mapping[str, Fact],
    members_by_name: Mapping[str, Member],
) -> frozenset[str]:
    """
    Return the names of the facts that a view need not hold.

    All daemons that know the same members and facts find the same ones, and
    what is needless once remains so.

    :param changed: names of the facts that may have become needless.
    :param facts_by_name: all facts.
    :param members_by_name: all members.
    """
    void = {
        name
        for name in changed
        if name in facts_by_name
        and _is_void(facts_by_name[name], members_by_name)
    }
    return frozenset(void | _find_surplus(facts_by_name))


def _is_void(fact: Fact, members_by_name: Mapping[str, Member]) -> bool:
    """Return whether the daemon that announced its stop has ended since."""
    if fact.kind != FactKind.HOST_LEAVING:
        return False
    member = members_by_name.get(fact.key)
    if member is None:
        return False
    if member.is_gone:
        return fact.rank <= member.incarnation
    return fact.rank < member.incarnation


def _find_surplus(facts_by_name: Mapping[str, Fact]) -> set[str]:
    surplus: set[str] = set()
    if len(facts_by_name) <= MAX_ANNOUNCEMENTS:
        return surplus
    for kind in _ANNOUNCEMENTS:
        facts = [fact for fact in facts_by_name.values() if fact.kind == kind]
        facts.sort(key=_age_order, reverse=True)
        surplus.update(fact.name for fact in facts[MAX_ANNOUNCEMENTS:])
    return surplus


def _age_order(fact: Fact) -> tuple[int, str]:
    return fact.rank, fact.key
