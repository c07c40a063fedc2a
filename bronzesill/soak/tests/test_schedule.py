"""Schedules of soaks."""

import unittest

from ..schedule import EventKind, Plan, make_schedule

_SEEDS = range(200)
_RETURN_S = 13.0


def _stops(plan: Plan) -> list[tuple[float, int]]:
    return [
        (event.at_s, host)
        for event in make_schedule(plan)
        if event.kind is EventKind.TERMINATE
        for host in event.hosts
    ]


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


if __name__ == '__main__':
    unittest.main()
