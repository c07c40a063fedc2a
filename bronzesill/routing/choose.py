"""Choice of a backend server among those a daemon knows."""

from __future__ import annotations

import dataclasses
import math
from random import Random

from ..utils import rank_by_rendezvous

__all__ = [
    'Requirements',
    'ServerView',
    'choose_copy_holder',
    'choose_server',
]

_REPORT_HALF_LIFE_S = 4.0
_AFFINITY_SLACK = 1.25
_AFFINITY_FLOOR = 0.25
_RESUME_SLACK = 4.0


@dataclasses.dataclass(frozen=True)
class ServerView:
    """
    What a daemon knows of a backend server.

    :param name: name of the server.
    :param failure_domain: failure domain it stands in.
    :param model: model it serves.
    :param version: version it runs.
    :param capacity: streams it handles well at once.
    :param own_running: streams this daemon has open there.
    :param own_since_report: streams opened there since its last report.
    :param reported_running: streams it reported.
    :param report_age_s: seconds since that report.
    :param is_leaving: whether it takes no new work.
    :param is_suspected: whether it failed or was silent a moment ago.
    """

    name: str
    failure_domain: str
    model: str
    version: str
    capacity: int
    own_running: int = 0
    own_since_report: int = 0
    reported_running: int = 0
    report_age_s: float = 0
    is_leaving: bool = False
    is_suspected: bool = False

    @property
    def fill(self) -> float:
        """Estimated streams per unit of capacity."""
        trust = math.exp2(-self.report_age_s / _REPORT_HALF_LIFE_S)
        reported = trust * self.reported_running
        running = max(reported + self.own_since_report, self.own_running)
        return running / self.capacity


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
    """

    model: str
    version: str
    prefix_key: str = ''
    excluded: frozenset[str] = frozenset()
    home_domain: str = ''
    is_resume: bool = False
    copy_at: str = ''


def choose_copy_holder(
    views: tuple[ServerView, ...],
    needs: Requirements,
    runner: ServerView,
    random: Random,
) -> ServerView | None:
    """
    Choose the server that keeps a copy of a run's memory.

    It stands in another failure domain than the server that runs it.

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
    drawn = random.sample(fitting, min(2, len(fitting)))
    return min(drawn, key=lambda view: (view.fill, view.name))


def choose_server(
    views: tuple[ServerView, ...], needs: Requirements, random: Random
) -> ServerView | None:
    """
    Choose a backend server for a stream.

    The server that holds the prefix wins while its fill is near the mean;
    otherwise the emptier of two drawn at random does, so that many daemons
    do not run together onto a server that just reported idle.

    :param views: the servers this daemon knows.
    :param needs: what the stream needs.
    :param random: generator to draw from.
    :returns: the server, none if no server fits.
    """
    fitting = _fitting(views, needs)
    if not fitting:
        return None
    favourite = _holder_of_copy(fitting, needs)
    if favourite is None:
        favourite = _holder_of_prefix(fitting, needs)
    if favourite is not None:
        return favourite
    drawn = random.sample(fitting, min(2, len(fitting)))
    return min(
        drawn,
        key=lambda view: (_cost(view, needs), view.name),
    )


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
    with_room = tuple(view for view in candidates if view.fill < slack)
    if with_room or not needs.is_resume:
        return with_room
    return candidates


def _cost(view: ServerView, needs: Requirements) -> float:
    is_away = bool(needs.home_domain) and (
        view.failure_domain != needs.home_domain
    )
    detour = int(is_away) / view.capacity
    return view.fill + detour


def _holder_of_copy(
    fitting: tuple[ServerView, ...], needs: Requirements
) -> ServerView | None:
    holders = [view for view in fitting if view.name == needs.copy_at]
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
