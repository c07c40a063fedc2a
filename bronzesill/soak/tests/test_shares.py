"""Verdicts on shares served in a burst."""

import unittest

from ..load_configuration import BULK_ROUTE, EAGER_ACCOUNT, URGENT_ROUTE
from ..observations import Answer, Observations, RequestKind, Sent
from ..verdict import find_breaches

_BURST = (100.0, 105.0)
_SENT = 20


def _answers(
    served: int, route: str, account: str = 'huka', at_s: float = 101
) -> dict[Sent, Answer]:
    """Return requests, of which some are served and the others refused."""
    whole = Answer(
        at_s + 1, 200, is_complete=True, has_signature=True, is_whole=True
    )
    refused = Answer(at_s + 1, 503, is_complete=True)
    return {
        Sent(
            f'{route}-{account}-{number}',
            RequestKind.STREAM,
            0,
            at_s,
            at_s,
            timeout_s=25,
            route=route,
            account=account,
        ): whole if number < served else refused
        for number in range(_SENT)
    }


def _rules(answers: dict[Sent, Answer]) -> list[str]:
    seen = Observations(answers, {}, bursts=(_BURST,))
    return [breach.rule for breach in find_breaches(seen)]


class PriorityTest(unittest.TestCase):
    """Urgent streams beside a burst of bulk streams."""

    # Guards against urgent requests that wait behind a burst of bulk.
    def test_bulk_that_is_served_before_urgent(self) -> None:
        bulk = _answers(_SENT, BULK_ROUTE)
        for served, rules in ((17, []), (16, ['PRIORITY'])):
            urgent = _answers(served, URGENT_ROUTE)
            self.assertEqual(_rules(bulk | urgent), rules)

    def test_bulk_that_is_refused(self) -> None:
        bulk = _answers(0, BULK_ROUTE)
        self.assertEqual(_rules(bulk | _answers(_SENT, URGENT_ROUTE)), [])

    def test_urgent_without_burst(self) -> None:
        bulk = _answers(_SENT, BULK_ROUTE, at_s=90)
        urgent = _answers(0, URGENT_ROUTE, at_s=90)
        self.assertEqual(_rules(bulk | urgent), [])


class FairnessTest(unittest.TestCase):
    """Accounts beside each other in a burst."""

    # Guards against an account that gets nothing while the others are served.
    def test_account_that_is_hardly_served(self) -> None:
        others = _answers(_SENT, BULK_ROUTE)
        # The mean is half of (1 + share).
        for served, rules in ((7, []), (6, ['FAIR'])):
            account = _answers(served, BULK_ROUTE, 'kea')
            self.assertEqual(_rules(others | account), rules)

    # An account that repeats refused requests at once has no claim.
    def test_account_that_repeats(self) -> None:
        others = _answers(_SENT, BULK_ROUTE)
        eager = _answers(0, BULK_ROUTE, EAGER_ACCOUNT)
        self.assertEqual(_rules(others | eager), [])


if __name__ == '__main__':
    unittest.main()
