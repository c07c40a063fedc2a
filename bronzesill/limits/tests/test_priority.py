"""Tests of the priority that backend servers are told."""

import unittest

from ...config import ClientAccount, Document, RequestPriority, Route
from ..priority import engine_priority, priority_rank


def _account(priority: int | None = None) -> ClientAccount:
    return ClientAccount('digest', priority=priority)


def _document(*priorities: int, **accounts: int | None) -> Document:
    routes = {
        f'route{number}': Route('/', 'model', is_stream=True, priority=priority)
        for number, priority in enumerate(priorities)
    }
    return Document(
        accounts={name: _account(value) for name, value in accounts.items()},
        models={},
        servers={},
        routes=routes,
    )


def _told(document: Document) -> list[int | None]:
    return [
        engine_priority(document, route) for route in document.routes.values()
    ]


class QueuePriorityTest(unittest.TestCase):
    """Priorities of accounts and routes order the requests that wait."""

    def test_account_takes_precedence(self) -> None:
        """Guards against an urgent account served as its route."""
        document = _document(2, 1, a=0, b=None)
        route = document.routes['route0']
        self.assertEqual(
            document.request_priority(route, 'a'), RequestPriority(0, 2)
        )
        self.assertEqual(priority_rank(document, route, 'a'), 1)
        self.assertEqual(priority_rank(document, route, 'b'), 3)


class EnginePriorityTest(unittest.TestCase):
    """Engines prefer urgent streams only where the configuration does."""

    def test_equal_priorities_are_not_told(self) -> None:
        """Guards against runs that are interrupted for equal ones."""
        self.assertEqual(_told(_document(7, 7, a=None)), [None, None])

    def test_other_service_makes_no_difference(self) -> None:
        """Guards against a header caused by routes of another service."""
        document = _document(2, a=None)
        document.routes['other'] = Route(
            '/x', 'plain', is_stream=True, priority=0
        )
        self.assertEqual(_told(document), [None, None])

    def test_urgent_beside_bulk(self) -> None:
        """Guards against urgent streams queued behind bulk at an engine."""
        self.assertEqual(_told(_document(2, 0, a=None)), [5, 0])

    def test_least_urgent_equals_requests_without_priority(self) -> None:
        """Guards against bulk above requests of hosts of another build."""
        self.assertEqual(_told(_document(0, 1, 2, a=None)), [0, 2, 5])

    def test_many_levels_keep_the_order_within_the_range(self) -> None:
        """Guards against values that an engine rejects."""
        told = _told(_document(*range(10), a=None))
        levels = [-1 if level is None else level for level in told]
        self.assertEqual(levels, sorted(levels))
        self.assertLess(max(levels[:-1]), 5)
        self.assertEqual(levels[-1], 5)

    def test_accounts_are_not_told(self) -> None:
        """Guards against urgent kinds interrupted for the bulk of others."""
        self.assertEqual(_told(_document(2, 1, a=0, b=None)), [5, 0])
        self.assertEqual(_told(_document(2, a=0, b=1)), [None])

    def test_plain_routes_are_not_told(self) -> None:
        """Guards against other service for calls of earlier deployments."""
        document = _document(2, a=None)
        document.routes['plain'] = Route('/x', 'model', priority=0)
        self.assertEqual(_told(document), [None, None])

    def test_route_decides_between_equal_accounts(self) -> None:
        """Guards against urgent streams of an account behind its bulk."""
        self.assertEqual(_told(_document(0, 2, a=1, b=1)), [0, 5])

    def test_weighted_route_counts_for_each_of_its_services(self) -> None:
        """Guards against a priority that is lost with a weighted choice."""
        document = _document(0, a=None)
        document.routes['bulk'] = Route(
            '/x',
            '',
            is_stream=True,
            priority=2,
            weight_by_service={'model': 1, 'b': 1},
        )
        urgent = document.routes['route0']
        self.assertEqual(engine_priority(document, urgent), 0)
