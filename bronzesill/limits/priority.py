"""Priority of requests, and the one that is told to backend servers."""

from __future__ import annotations

from ..config import Document, RequestPriority, Route

__all__ = ['engine_priority', 'priority_rank']

#: Priority of requests that state none; the least urgent get it too.
_DEFAULT = 5


def engine_priority(document: Document, route: Route) -> int | None:
    """
    Return the priority that a backend server is told, ``None`` for none.

    Servers may interrupt runs for more urgent ones, so they are told only
    where streaming routes of different priorities share a service.  The
    priorities of client accounts order the requests that wait at a host; at
    a server they would interrupt urgent kinds of requests for bulk.

    :param document: configuration in force.
    :param route: route of the request, with the service that was selected.
    :returns: 5 for the least urgent priority of the service, 0 to 4 for
        others.
    """
    known = document.stream_priorities_by_service.get(route.service)
    levels = sorted(known or ())
    if len(levels) < 2 or not route.is_stream:
        return None
    return levels.index(route.priority) * _DEFAULT // (len(levels) - 1)


def priority_rank(document: Document, route: Route, account: str) -> int:
    """
    Return the rank of a request among the priorities of its service.

    :param document: configuration in force.
    :param route: route of the request, with the service that was selected.
    :param account: client account of the caller, empty if unknown.
    :returns: 0 for the most urgent priority.
    """
    levels = _levels(document, route, account)
    return levels.index(document.request_priority(route, account))


def _levels(
    document: Document, route: Route, account: str
) -> list[RequestPriority]:
    known = document.priorities_by_service.get(route.service, frozenset())
    return sorted(known | {document.request_priority(route, account)})
