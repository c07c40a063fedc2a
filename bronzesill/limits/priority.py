"""Priority of requests, and the one that is told to backend servers."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from ..config import Document, Route

__all__ = ['engine_priority', 'priority_rank', 'request_priority']

#: Priority of requests that state none; the least urgent get it too.
_DEFAULT = 5


def request_priority(document: Document, route: Route, account: str) -> int:
    """
    Return the configured priority of a request, 0 is the most urgent.

    :param document: configuration in force.
    :param route: route of the request.
    :param account: client account of the caller, empty if unknown.
    """
    known = document.accounts.get(account)
    if known is None or known.priority is None:
        return route.priority
    return known.priority


def engine_priority(
    document: Document, route: Route, account: str
) -> int | None:
    """
    Return the priority that a backend server is told, ``None`` for none.

    Servers may interrupt runs for more urgent ones, so a difference exists
    only between requests of one service with different priorities in the
    configuration.

    :param document: configuration in force.
    :param route: route of the request, with the service that was selected.
    :param account: client account of the caller, empty if unknown.
    :returns: 5 for the least urgent priority of the service, 0 to 4 for
        others.
    """
    levels = _levels(document, route, account)
    if len(levels) == 1:
        return None
    rank = levels.index(request_priority(document, route, account))
    return rank * _DEFAULT // (len(levels) - 1)


def priority_rank(document: Document, route: Route, account: str) -> int:
    """
    Return the rank of a request among the priorities of its service.

    :param document: configuration in force.
    :param route: route of the request, with the service that was selected.
    :param account: client account of the caller, empty if unknown.
    :returns: 0 for the most urgent priority.
    """
    levels = _levels(document, route, account)
    return levels.index(request_priority(document, route, account))


def _levels(document: Document, route: Route, account: str) -> list[int]:
    priority = request_priority(document, route, account)
    return sorted({priority, *_service_priorities(document, route.service)})


def _service_priorities(document: Document, service: str) -> Iterator[int]:
    for route in document.routes.values():
        if service == route.service or service in route.weight_by_service:
            for account in _callers(document, route):
                yield request_priority(document, route, account)


def _callers(document: Document, route: Route) -> Iterable[str]:
    is_open = route.is_public or not document.has_accounts
    return ('',) if is_open else document.accounts
