"""Schedules of soaks."""

import unittest

from ..schedule import EventKind, Plan, make_schedule

_SEEDS = range(200)
_RETURN_S = 13.0
_BURST_S = 5.0
_LOAD = frozenset(
    (
        EventKind.SPEEDS,
        EventKind.BULK_BURST,
        EventKind.REPEAT,
        EventKind.EARLY_ANSWERS,
        EventKind.ODD_STATUS,
    )
)


def _stops(plan: Plan) -> list[tuple[float, int]]:
    return [
        (event.at_s, host)
        for event in make_schedule(plan)
        if event.kind is EventKind.TERMINATE
        for host in event.hosts
    ]


def _load_kinds(plan: Plan) -> frozenset[EventKind]:
    return _LOAD & {event.kind for event in make_schedule(plan)}


class ScheduleTest(unittest.TestCase):
    """Decisions of the scheduler, without a fleet."""

    def test_seed_gives_the_same_schedule(self) -> None:
        for seed in _SEEDS:
            plan = Plan(seed, stops=4, hosts=4, is_disrupted=True)
            self.assertEqual(make_schedule(plan), make_schedule(plan))

    def test_seeds_differ(self) -> None:
        schedules = {
            make_schedule(Plan(seed, stops=4, hosts=4, is_disrupted=True))
            for seed in _SEEDS
        }
        self.assertEqual(len(schedules), len(_SEEDS))

    def test_all_kinds_of_events_happen(self) -> None:
        kinds = {
            event.kind
            for seed in _SEEDS
            for event in make_schedule(Plan(seed, 4, 4, is_disrupted=True))
        }
        self.assertEqual(kinds, set(EventKind))

    def test_calm_schedule_has_planned_work_only(self) -> None:
        kinds = {
            event.kind
            for seed in _SEEDS
            for event in make_schedule(Plan(seed, 4, 4, is_disrupted=False))
        }
        planned = {
            EventKind.TERMINATE,
            EventKind.RELOAD,
            EventKind.CONFIGURE,
            EventKind.FULL_ENGINES,
        }
        self.assertEqual(kinds, planned)

    def test_host_that_stops_is_not_stopped_again(self) -> None:
        for seed in _SEEDS:
            plan = Plan(seed, stops=6, hosts=4, is_disrupted=True)
            free_at_s: dict[int, float] = {}
            for at_s, host in _stops(plan):
                self.assertLessEqual(free_at_s.get(host, 0), at_s)
                free_at_s[host] = at_s + _RETURN_S

    # Guards against a soak that always or never has a kind of load, so that
    # deployments without it are not soaked any more.
    def test_load_is_there_at_times(self) -> None:
        for kind in _LOAD:
            with_kind = [
                seed
                for seed in _SEEDS
                if kind in _load_kinds(Plan(seed, 3, 4, is_disrupted=True))
            ]
            self.assertGreater(len(with_kind), len(_SEEDS) / 4, kind)
            self.assertLess(len(with_kind), len(_SEEDS) * 3 / 4, kind)

    def test_soaks_without_load(self) -> None:
        without = [
            seed
            for seed in _SEEDS
            if not _load_kinds(Plan(seed, 3, 4, is_disrupted=True))
        ]
        self.assertGreater(len(without), 1)

    # Guards against a caller that repeats while nothing is refused.
    def test_caller_repeats_in_a_burst(self) -> None:
        for seed in _SEEDS:
            events = make_schedule(Plan(seed, 3, 4, is_disrupted=True))
            at_s_by_kind = {event.kind: event.at_s for event in events}
            if EventKind.REPEAT in at_s_by_kind:
                lag_s = (
                    at_s_by_kind[EventKind.REPEAT]
                    - at_s_by_kind[EventKind.BULK_BURST]
                )
                self.assertTrue(0 < lag_s < _BURST_S)


if __name__ == '__main__':
    unittest.main()
