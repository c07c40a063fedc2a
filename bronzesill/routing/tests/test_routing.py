"""Tests of the selection of servers, subsets and versions."""

import collections
import dataclasses
import unittest
from random import Random

from ..choose import Requirements, choose_server
from ..subsets import pick_subset
from ..versions import TrafficSplit, pick_version
from ..views import ServerView


def _view(number: int, **changes: object) -> ServerView:
    view = ServerView(f's{number}', 'abc'[number % 3], 'guide', 'v1', 10)
    return dataclasses.replace(view, **changes)  # type: ignore[arg-type]


_REQUIREMENTS = Requirements('guide', 'v1')


class ChoiceTest(unittest.TestCase):
    """Selection of the server for a stream."""

    def names(
        self,
        views: list[ServerView],
        requirements: Requirements = _REQUIREMENTS,
    ) -> collections.Counter[str]:
        rng = Random(1)
        chosen = (
            choose_server(tuple(views), requirements, rng) for _ in range(600)
        )
        return collections.Counter(view.name for view in chosen if view)

    def test_idle_server_does_not_attract_all_streams(self) -> None:
        views = [_view(n, reported_running=6) for n in range(9)]
        views.append(_view(9))
        counts = self.names(views)
        self.assertLess(counts['s9'], 600 * 0.35)
        self.assertGreaterEqual(len(counts), 8)

    def test_copy_holder_of_another_version_is_not_used(self) -> None:
        requirements = dataclasses.replace(_REQUIREMENTS, copy_holder='s0')
        for change in ({'version': 'v2'}, {'model': 'other'}):
            with self.subTest(change=change):
                views = [_view(0, **change), _view(1)]
                self.assertEqual(set(self.names(views, requirements)), {'s1'})

    def test_leaving_suspected_and_other_versions_are_excluded(self) -> None:
        views = [
            _view(0, is_leaving=True),
            _view(1, is_suspected=True),
            _view(2, version='v2'),
            _view(3),
        ]
        self.assertEqual(set(self.names(views)), {'s3'})
        excluding = dataclasses.replace(
            _REQUIREMENTS, excluded=frozenset(('s3',))
        )
        self.assertEqual(set(self.names(views, excluding)), {'s1'})

    def test_full_servers_accept_only_resumed_streams(self) -> None:
        views = [_view(0, own_running=25)]
        self.assertEqual(self.names(views), {})
        resume = dataclasses.replace(_REQUIREMENTS, is_resume=True)
        self.assertEqual(set(self.names(views, resume)), {'s0'})

    def test_prefix_affinity_is_dropped_on_uneven_load(self) -> None:
        requirements = dataclasses.replace(
            _REQUIREMENTS, prefix_key='catalogue'
        )
        views = [_view(number) for number in range(6)]
        preferred = next(iter(self.names(views, requirements)))
        loaded = [
            dataclasses.replace(view, own_running=9)
            if view.name == preferred
            else view
            for view in views
        ]
        self.assertNotIn(preferred, self.names(loaded, requirements))

    def test_older_reports_have_less_weight(self) -> None:
        fresh = _view(0, reported_running=8)
        old = _view(1, reported_running=8, report_age_s=12)
        self.assertGreater(fresh.fill, 3 * old.fill)


class SubsetTest(unittest.TestCase):
    """Subsets are balanced and stable under membership changes."""

    daemons = tuple(f'entry-{number}' for number in range(360))
    servers = tuple(f's{number}' for number in range(150))

    def subsets(
        self, daemons: tuple[str, ...], servers: tuple[str, ...]
    ) -> dict[str, frozenset[str]]:
        return {
            name: pick_subset(name, daemons, servers, 8) for name in daemons
        }

    def test_servers_are_in_similar_numbers_of_subsets(self) -> None:
        counts = collections.Counter(
            server
            for subset in self.subsets(self.daemons, self.servers).values()
            for server in subset
        )
        mean = 360 * 8 / 150
        self.assertEqual(len(counts), 150)
        self.assertLess(max(counts.values()), 1.25 * mean)
        self.assertGreater(min(counts.values()), 0.75 * mean)

    def test_membership_change_moves_few_servers(self) -> None:
        before = self.subsets(self.daemons, self.servers)
        fewer = self.subsets(self.daemons[1:], self.servers)
        other = self.subsets(self.daemons, self.servers[1:])
        for after in (fewer, other):
            moved = sum(
                len(before[name] - subset) for name, subset in after.items()
            )
            self.assertLess(moved / (8 * len(after)), 0.15)


class VersionTest(unittest.TestCase):
    """Traffic splits are sticky and match the configured share."""

    def test_split_matches_share_and_growth_is_sticky(self) -> None:
        names = [f'r{number}' for number in range(20_000)]
        small = TrafficSplit('v1', 'v2', 0.02)
        large = TrafficSplit('v1', 'v2', 0.2)
        new = {name for name in names if pick_version(small, name) == 'v2'}
        newer = {name for name in names if pick_version(large, name) == 'v2'}
        self.assertAlmostEqual(len(new) / 20_000, 0.02, delta=0.005)
        self.assertLessEqual(new, newer)

    def test_there_are_at_least_two_trial_servers(self) -> None:
        servers = tuple(f's{number}' for number in range(20))
        few = TrafficSplit('v1', 'v2', 0.02).trial_servers(servers)
        many = TrafficSplit('v1', 'v2', 0.5).trial_servers(servers)
        self.assertEqual((len(few), len(many)), (2, 10))
        self.assertLessEqual(set(few), set(many))
