"""Order of the servers of a call by the connections that are open to them."""

from __future__ import annotations

import dataclasses
import statistics
from collections.abc import Callable, Collection, Sequence

from ..routing import ServerView
from ..utils import rank_by_rendezvous

__all__ = ['prefer_connected']

#: Calls are short: an older report does not tell what runs on a server now.
_REPORT_VALID_S = 1.0


def prefer_connected(
    views: Sequence[ServerView],
    cost: Callable[[ServerView], float],
    host: str,
    connected: Collection[str],
) -> list[ServerView]:
    """
    Return servers in the order in which they are tried for a call.

    Servers whose cost exceeds the lowest by half a request at most come first:
    those with an open connection before others, and both in an order that is
    this host's own, so that each host keeps to few servers and the hosts
    spread over all.

    :param views: the servers by rising cost, suspected ones last.
    :param cost: returns the cost of a server.
    :param host: name of this host.
    :param connected: names of the servers to which a connection is open that
        the call may use.
    """
    sound = [view for view in views if not view.is_suspected]
    if not sound:
        return list(views)
    near = {view.name for view in _near_lowest(_with_usual_load(sound), cost)}
    ranked = rank_by_rendezvous(host, tuple(near))
    views_by_name = {view.name: view for view in sound}
    first = sorted(ranked, key=lambda name: name not in connected)
    return [
        *(views_by_name[name] for name in first),
        *(view for view in views if view.name not in near),
    ]


def _near_lowest(
    views: Sequence[ServerView], cost: Callable[[ServerView], float]
) -> list[ServerView]:
    """Return the servers within half a request of the lowest cost."""
    lowest = min(views, key=cost)
    with_one_more = dataclasses.replace(
        lowest,
        own_running=lowest.own_running + 1,
        own_opened_since_report=lowest.own_opened_since_report + 1,
    )
    highest_cost = (cost(lowest) + cost(with_one_more)) / 2
    return [view for view in views if cost(view) <= highest_cost]


def _with_usual_load(views: Sequence[ServerView]) -> list[ServerView]:
    """
    Return views in which servers not heard of lately have the usual load.

    The weight of a report falls with its age, so that a server to which this
    host sent nothing for a while would seem to be the emptiest, and each call
    would go to a server to which no connection is open any more.
    """
    fresh = [view for view in views if view.report_age_s < _REPORT_VALID_S]
    if not fresh:
        return list(views)
    usual = statistics.fmean(
        view.reported_running / view.capacity for view in fresh
    )
    return [
        view
        if view.report_age_s < _REPORT_VALID_S
        else dataclasses.replace(
            view,
            reported_running=round(usual * view.capacity),
            report_age_s=0,
        )
        for view in views
    ]
