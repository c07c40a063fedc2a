"""Share of a host in the free slots of a contended service."""

from __future__ import annotations

import math
from collections.abc import Mapping
from random import Random

__all__ = ['dispatch_quota']


def dispatch_quota(
    free: float,
    own_by_rank: Mapping[int, int],
    others_by_rank: Mapping[int, int],
    random: Random,
) -> int:
    """
    Return how many waiting requests a host may dispatch now.

    Slots go to the most urgent rank first, and within a rank to hosts in
    proportion to the requests that wait with them.  A fraction is rounded at
    random, so that all hosts together use all free slots.

    :param free: free slots of the service.
    :param own_by_rank: requests that wait at this host, by rank.
    :param others_by_rank: requests that wait at other hosts, by rank.
    :param random: random generator.
    """
    quota: float = 0
    for rank in sorted({*own_by_rank, *others_by_rank}):
        own = own_by_rank.get(rank, 0)
        waiting = own + others_by_rank.get(rank, 0)
        if waiting and free > 0:
            quota += min(free, waiting) * own / waiting
            free -= waiting
    return math.floor(quota + random.random())
