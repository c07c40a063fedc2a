"""Members of the fleet: which daemons live, are silent or gone."""

import dataclasses
import enum

from ..utils import Address, stable_hash

__all__ = ['Liveness', 'Member', 'member_hash', 'supersedes']


class Liveness(enum.IntEnum):
    """What is believed of a daemon; a larger one outweighs a smaller."""

    ALIVE = 0
    SUSPECT = 1
    GONE = 2


@dataclasses.dataclass(frozen=True)
class Member:
    """
    A daemon as the others know it.

    :param name: name of its host.
    :param region: region of its host.
    :param failure_domain: failure domain of its host.
    :param peers: address for other daemons.
    :param callers: address for callers.
    :param incarnation: grows at each start and at each rebuttal.
    :param liveness: what is believed of it.
    :param link_mbps: what its link carries, 0 if not known.
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
        """Whether nothing speaks against it."""
        return self.liveness == Liveness.ALIVE

    @property
    def is_gone(self) -> bool:
        """Whether it was silent for so long that it counts as dead."""
        return self.liveness == Liveness.GONE


def supersedes(offered: Member, known: Member | None) -> bool:
    """Decide whether an offered belief replaces a known one."""
    if known is None:
        return True
    return (offered.incarnation, offered.liveness) > (
        known.incarnation,
        known.liveness,
    )


def member_hash(member: Member) -> int:
    """Return a hash of what is believed of a member."""
    return stable_hash(
        member.name, str(member.incarnation), str(member.liveness)
    )
