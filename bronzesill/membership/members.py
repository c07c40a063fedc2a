"""Member records and their precedence."""

import dataclasses
import enum

from ..utils import Address, stable_hash

__all__ = ['Liveness', 'Member', 'member_hash', 'supersedes']


class Liveness(enum.IntEnum):
    """Liveness of a member; at equal incarnations the higher value wins."""

    ALIVE = 0
    SUSPECT = 1
    GONE = 2


@dataclasses.dataclass(frozen=True)
class Member:
    """
    Record of a daemon as replicated between daemons.

    :param name: name of its host.
    :param region: region of its host.
    :param failure_domain: failure domain of its host.
    :param peers: address for other daemons.
    :param callers: address for callers.
    :param incarnation: increases at each start and each refutation.
    :param liveness: one of :class:`Liveness`.
    :param link_mbps: bandwidth of its link in Mbit/s, 0 if unknown.
    """

    name: str
    region: str
    failure_domain: str
    peers: Address
    callers: Address
    incarnation: int
    liveness: int = Liveness.ALIVE
    link_mbps: float = 0

    @property
    def is_alive(self) -> bool:
        """Whether the member is neither ``SUSPECT`` nor ``GONE``."""
        return self.liveness == Liveness.ALIVE

    @property
    def is_gone(self) -> bool:
        """Whether the suspicion timeout of the member has expired."""
        return self.liveness == Liveness.GONE


def supersedes(offered: Member, known: Member | None) -> bool:
    """Return whether an offered record replaces the known one, if any."""
    if known is None:
        return True
    return (offered.incarnation, offered.liveness) > (
        known.incarnation,
        known.liveness,
    )


def member_hash(member: Member) -> int:
    """Return a hash of the name, incarnation and liveness of a member."""
    return stable_hash(
        member.name, str(member.incarnation), str(member.liveness)
    )
