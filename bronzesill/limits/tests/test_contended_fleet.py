"""Served shares of contended services in virtual time, before and after."""

import unittest
from collections.abc import Callable

from .contended_fleet import (
    Load,
    Rates,
    Served,
    serve_by_queue,
    serve_by_timers,
)

_SIZES = (7, 68, 195)
_RUN_S = 4.0
_CHANGE_S = 15.0
_BURST_END_S = 30.0
#: Requests a second and host that the slots suffice for.
_RATE = 0.3


def _slots(hosts: int) -> int:
    return int(hosts * _RATE * _RUN_S)


def _constant(**parts: float) -> Callable[[int], Load]:
    """Return a load of ``<account>_<rank>`` as parts of the capacity."""

    def build(hosts: int) -> Load:
        rates = _rates(hosts, parts)
        return Load(hosts, lambda at_s: _slots(hosts), lambda at_s: rates)

    return build


def _rates(hosts: int, parts: dict[str, float]) -> Rates:
    capacity = hosts * _RATE
    keys = [name.split('_') for name in parts]
    return {
        (int(rank), account): part * capacity
        for (account, rank), part in zip(keys, parts.values(), strict=True)
    }


def _burst(hosts: int) -> Load:
    usual = _rates(hosts, {'a_0': 0.1, 'b_1': 0.85})
    twice = {kind: 2 * rate for kind, rate in usual.items()}

    def rates(at_s: float) -> Rates:
        return twice if _CHANGE_S < at_s < _BURST_END_S else usual

    return Load(hosts, lambda at_s: _slots(hosts), rates)


def _moving(hosts: int) -> Load:
    rates = _rates(hosts, {'a_0': 0.12, 'b_1': 1.0})
    return Load(
        hosts,
        lambda at_s: _slots(hosts),
        lambda at_s: rates,
        first_host=lambda at_s: 0.5 if at_s > _CHANGE_S else 0,
    )


def _left_part(at_s: float) -> float:
    return 0.5 if at_s > _CHANGE_S else 1


def _half_gone(hosts: int) -> Load:
    rates = _rates(hosts, {'a_0': 0.1, 'b_1': 0.8})
    return Load(
        hosts,
        lambda at_s: int(_slots(hosts) * _left_part(at_s)),
        lambda at_s: rates,
    )


def _repeating(hosts: int) -> Load:
    rates = _rates(hosts, {'a_0': 0.4, 'b_0': 0.3, 'hog_0': 1.0})
    return Load(
        hosts,
        lambda at_s: _slots(hosts),
        lambda at_s: rates,
        repeats=frozenset(('hog',)),
    )


class ContendedFleetTest(unittest.TestCase):
    """More requests arrive than the servers of a service can take."""

    def play(self, build: Callable[[int], Load], hosts: int) -> Served:
        """Serve a load, and check what holds for each load."""
        load = build(hosts)
        self.before = serve_by_timers(load, 1)
        after = serve_by_queue(load, 1)
        with self.subTest(hosts=hosts, best=load.best_share):
            self.assertGreater(after.share(), 0.97 * self.before.share())
            self.assertGreater(after.share(), 0.85 * load.best_share)
            for kind in after.kinds:
                self.assertGreater(after.share(kind), after.share() / 2, kind)
        return after

    def check_urgent(
        self, build: Callable[[int], Load], gain: float = 1.15
    ) -> None:
        """Check that urgent requests are served more often than others."""
        for hosts in _SIZES:
            after = self.play(build, hosts)
            urgent = after.share('rank 0')
            self.assertGreaterEqual(urgent, after.share('rank 1'))
            before = self.before.share('rank 0')
            self.assertGreater(urgent, min(gain * before, 0.95))

    def test_urgent_beside_bulk(self) -> None:
        """Guards against urgent streams that wait among bulk ones."""
        self.check_urgent(_constant(a_0=0.15, a_1=1.5))

    def test_more_urgent_requests_than_slots(self) -> None:
        """Guards against bulk that is not served at all."""
        self.check_urgent(_constant(a_0=1.2, b_1=0.6), gain=1.05)

    def test_burst_to_twice_the_rate(self) -> None:
        """Guards against a burst that costs urgent requests their target."""
        self.check_urgent(_burst)

    def test_half_of_the_servers_gone(self) -> None:
        """Guards against urgent requests lost with half of the slots."""
        self.check_urgent(_half_gone)

    def test_callers_move(self) -> None:
        """Guards against hosts with idle quota beside crowded ones."""
        for hosts in _SIZES:
            after = self.play(_moving, hosts)
            self.assertGreater(after.share('rank 0'), 0.95)

    def test_one_account_repeats_at_once(self) -> None:
        """Guards against an account that displaces others by repeats."""
        for hosts in _SIZES:
            after = self.play(_repeating, hosts)
            for account in ('account a', 'account b'):
                served = after.share(account)
                self.assertGreater(served, after.share('account hog'))
                self.assertGreater(served, 1.2 * self.before.share(account))


if __name__ == '__main__':
    unittest.main()
