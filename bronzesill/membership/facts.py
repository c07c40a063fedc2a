"""Facts disseminated by gossip, merged by highest rank."""

import dataclasses
import enum

from ..utils import stable_hash

__all__ = ['Fact', 'FactKind', 'fact_hash', 'outranks']


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
