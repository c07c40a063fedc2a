"""Facts that only grow, spread between daemons."""

import dataclasses
import enum

from ..utils import stable_hash

__all__ = ['Fact', 'FactKind', 'fact_hash', 'outranks']


class FactKind(enum.IntEnum):
    """What a fact is about."""

    CONFIG_REVISION = 1
    VERSION_TAKEN_BACK = 2
    SERVER_LEAVING = 3
    HOST_LEAVING = 4
    MOVE_RECORD = 5
    SERVER_ORDER = 6


@dataclasses.dataclass(frozen=True)
class Fact:
    """
    A fact; for one kind and key the one of highest rank holds.

    :param kind: one of :class:`FactKind`.
    :param key: what it is about.
    :param rank: grows with each newer fact of this kind and key.
    :param text: further detail, short.
    """

    kind: int
    key: str
    rank: int
    text: str = ''

    @property
    def name(self) -> str:
        """Kind and key, which tell facts apart."""
        return f'{self.kind}/{self.key}'


def outranks(offered: Fact, known: Fact | None) -> bool:
    """Decide whether an offered fact replaces a known one."""
    return known is None or offered.rank > known.rank


def fact_hash(fact: Fact) -> int:
    """Return a hash of a fact."""
    return stable_hash(fact.name, str(fact.rank))
