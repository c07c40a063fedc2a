"""Choice of a backend server among those a daemon knows."""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence
from random import Random

from ..utils import rank_by_rendezvous
from .views import ServerView

__all__ = [
    'Requirements',
    'choose_copy_holder',
    'choose_server',
]

_MEMORY_WEIGHT = 0.5
#: Domains whose servers started within this time are alike.
_SAME_START_S = 1.0
#: Cost of a domain by its rank, in fill of a server.
_COPY_RANK_COST = 0.2
_RUN_RANK_COST = 0.06
#: Runs rarely need all the memory that they may need.
_MEMORY_SLACK = 1.1
_AFFINITY_SLACK = 1.25
_AFFINITY_FLOOR = 0.25
_RESUME_SLACK = 4.0


@dataclasses.dataclass(frozen=True)
class Requirements:
    """
    What a stream needs of its server.

    :param model: model asked for.
    :param version: version that has to compute it, empty for any.
    :param prefix_key: key of the prompt's prefix.
    :param excluded: servers not to use.
    :param home_domain: failure domain to prefer, empty for none.
    :param is_resume: whether a begun answer goes on; it may overfill.
    :param copy_at: server that keeps a copy of the lost run's memory, empty
        for none.
    :param is_use_told: whether the daemons tell each other at once which
        servers they use; otherwise loads are old when they arrive.
    """

    model: str
    version: str
    prefix_key: str = ''
    excluded: frozenset[str] = frozenset()
    home_domain: str = ''
    is_resume: bool = False
    copy_at: str = ''
    is_use_told: bool = False


def choose_copy_holder(
    views: tuple[ServerView, ...],
    needs: Requirements,
    runner: ServerView,
    random: Random,
) -> ServerView | None:
    """
    Choose the server that keeps a copy of a run's memory.

    It stands in another failure domain than the server that runs it, rather
    in one whose servers started late: a domain that failed together a moment
    ago is taken to be the last to do so again.

    :param views: the servers this daemon knows.
    :param needs: what the stream needs.
    :param runner: server that runs the stream.
    :param random: generator to draw from.
    :returns: the server, none if no server fits.
    """
    fitting = [
        view
        for view in _fitting(views, needs)
        if view.failure_domain != runner.failure_domain
    ]
    if not fitting:
        return None
    return _cheapest(
        fitting, needs, _DomainCost(views, _COPY_RANK_COST), random
    )


def choose_server(
    views: tuple[ServerView, ...], needs: Requirements, random: Random
) -> ServerView | None:
    """
    Choose a backend server for a stream.

    The server that keeps a copy of the run's memory wins, or the one that
    holds the prefix while its fill is near the mean; otherwise the emptiest
    does.  Where loads are old when they arrive, that is the emptier of two
    drawn at random, so that many daemons do not run together onto a server
    that just reported idle.

    :param views: the servers this daemon knows.
    :param needs: what the stream needs.
    :param random: generator to draw from.
    :returns: the server, none if no server fits.
    """
    holder = _holder_of_copy(views, needs)
    if holder is not None:
        return holder
    fitting = _fitting(views, needs)
    if not fitting:
        return None
    favourite = _holder_of_prefix(fitting, needs)
    if favourite is not None:
        return favourite
    return _cheapest(fitting, needs, _DomainCost(views, _RUN_RANK_COST), random)


def _fitting(
    views: tuple[ServerView, ...], needs: Requirements
) -> tuple[ServerView, ...]:
    usable = tuple(
        view
        for view in views
        if view.model == needs.model
        and needs.version in {'', view.version}
        and not view.is_leaving
        and view.name not in needs.excluded
    )
    healthy = tuple(view for view in usable if not view.is_suspected)
    candidates = healthy or usable
    slack = _RESUME_SLACK if needs.is_resume else 2.0
    with_room = tuple(
        view
        for view in candidates
        if view.fill < slack and view.memory_fill < _MEMORY_SLACK
    )
    if with_room or not needs.is_resume:
        return with_room
    return candidates


def _cost(view: ServerView, needs: Requirements) -> float:
    is_away = bool(needs.home_domain) and (
        view.failure_domain != needs.home_domain
    )
    detour = int(is_away) / view.capacity
    return view.fill + _MEMORY_WEIGHT * view.memory_fill + detour


def _cheapest(
    fitting: Sequence[ServerView],
    needs: Requirements,
    domains: _DomainCost,
    random: Random,
) -> ServerView:
    # Equal ones in a drawn order, so that daemons do not all take the first.
    count = len(fitting) if needs.is_use_told else min(2, len(fitting))
    drawn = random.sample(fitting, count)
    return min(drawn, key=lambda view: _cost(view, needs) + domains.cost(view))


class _DomainCost:
    """
    Cost of failure domains, none for the one whose servers started last.

    :param views: the servers this daemon knows.
    :param cost_of_rank: cost of each domain that started later.
    """

    def __init__(
        self, views: tuple[ServerView, ...], cost_of_rank: float
    ) -> None:
        self._cost_of_rank = cost_of_rank
        self._start_by_domain = {
            view.failure_domain: view.domain_started_at_s for view in views
        }

    def cost(self, view: ServerView) -> float:
        """Return the cost of a server's domain, in fill of a server."""
        later = [
            started_s
            for started_s in self._start_by_domain.values()
            if started_s - view.domain_started_at_s > _SAME_START_S
        ]
        return self._cost_of_rank * len(later)


def _holder_of_copy(
    views: tuple[ServerView, ...], needs: Requirements
) -> ServerView | None:
    # Whether it has room is no question: the copy takes it already.
    holders = [
        view
        for view in views
        if view.name == needs.copy_at
        and not view.is_leaving
        and not view.is_suspected
    ]
    return holders[0] if holders else None


def _holder_of_prefix(
    fitting: tuple[ServerView, ...], needs: Requirements
) -> ServerView | None:
    if not needs.prefix_key:
        return None
    views_by_name = {view.name: view for view in fitting}
    ranked = rank_by_rendezvous(needs.prefix_key, tuple(views_by_name))
    favourite = views_by_name[ranked[0]]
    mean = sum(view.fill for view in fitting) / len(fitting)
    bound = max(mean * _AFFINITY_SLACK, _AFFINITY_FLOOR)
    after = favourite.fill + 1 / favourite.capacity
    return favourite if after <= bound else None
