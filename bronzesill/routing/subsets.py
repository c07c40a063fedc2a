"""Assignment of backend server subsets to daemons."""

from __future__ import annotations

from ..utils import stable_hash

__all__ = ['pick_subset']


def pick_subset(
    daemon: str,
    daemons: tuple[str, ...],
    servers: tuple[str, ...],
    size: int,
) -> frozenset[str]:
    """
    Return the servers that one daemon polls and sends requests to.

    The servers form a ring in hash order.  The daemons, also in hash order,
    have evenly spaced starting positions on the ring, and each daemon uses the
    ``size`` servers from its position.  Each server is therefore in nearly the
    same number of subsets, and adding or removing a daemon or server shifts
    the subsets by only a few positions.

    :param daemon: name of the daemon whose subset is returned.
    :param daemons: names of all live daemons.
    :param servers: names of all servers of the same model or service.
    :param size: number of servers in a subset.
    """
    if size >= len(servers):
        return frozenset(servers)
    ring = sorted(servers, key=lambda name: stable_hash('server', name))
    sorted_daemons = sorted(
        {*daemons, daemon}, key=lambda name: stable_hash('daemon', name)
    )
    start = sorted_daemons.index(daemon) * len(ring) // len(sorted_daemons)
    doubled = ring + ring
    return frozenset(doubled[start : start + size])
