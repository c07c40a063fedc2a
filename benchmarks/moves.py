"""
Compare move policies on simulated new versions.

The decision modules of the daemon run at virtual time on traffic drawn from
the model in ``moves_model``.  Three policies are given the same versions:
that of the daemon ("ours"), fixed steps with a threshold on failures
("steps"), and a single step ("at once").

``python -m benchmarks.moves --seed 2 --versions 2000 --plot moves.png``
"""

from __future__ import annotations

import argparse
import collections
import dataclasses
import multiprocessing
import sys
from collections.abc import Callable

import numpy as np

from bronzesill.moves import (
    Evidence,
    MoveAction,
    MoveProgress,
    MoveRecord,
    MoveState,
    decide,
)

from .moves_model import (
    SITES,
    STEPS,
    SUBTLE,
    Traffic,
    draw_version,
)
from .report import print_table


@dataclasses.dataclass(frozen=True)
class Result:
    """
    Outcome of one move.

    :param site: name of the site.
    :param policy: name of the policy.
    :param kind: kind of the new version, with its fault.
    :param is_bad: whether the new version is bad.
    :param is_done: whether the move was completed, not rolled back, by its
        deadline.
    :param share: fraction of the window's requests sent to the new version.
    :param share_after_onset: the same fraction, of the requests after the
        onset of the fault.
    :param end_fraction: fraction of the window after which the move ended.
    """

    site: str
    policy: str
    kind: str
    is_bad: bool
    is_done: bool
    share: float
    share_after_onset: float
    end_fraction: float


Policy = Callable[[Traffic], tuple[bool, int]]


def _run_daemon_policy(traffic: Traffic) -> tuple[bool, int]:
    window_s = traffic.site.window_s
    record = MoveRecord(
        'm', 'guide', 'v1', 'v2', 0, window_s, 'nino', 'experiment'
    )
    progress = MoveProgress.from_record(record)
    for number in range(STEPS):
        now_s = (number + 1) * window_s / STEPS
        evidence = traffic.step(number, record.share)
        decision = decide(record, progress, evidence, now_s)
        progress = decision.progress
        if decision.action is MoveAction.ROLL_BACK:
            return False, number
        if decision.action is MoveAction.COMMIT:
            return True, number
        if decision.action is MoveAction.INCREASE_SHARE:
            record = record.changed(
                now_s=now_s, by='driver', note='', share=decision.share
            )
    return record.state is MoveState.DONE, STEPS


class _FailureCounts:
    """Requests and failures of both versions since the last change of share."""

    def __init__(self) -> None:
        self.requests = collections.Counter[str]()
        self.failures = collections.Counter[str]()

    def add(self, evidence: Evidence) -> None:
        """Add the counts of all engines."""
        for each in evidence.by_server.values():
            self.requests[each.version] += each.requests
            self.failures[each.version] += each.failures

    def has_failure_ratio_above(self, factor: float) -> bool:
        """
        Return whether the new version's failure rate exceeds the old one's.

        :param factor: factor by which it has to be exceeded.
        :returns: false while the new version has had 50 requests or fewer.
        """
        if self.requests['v2'] <= 50:
            return False
        new_rate = self.failures['v2'] / self.requests['v2']
        old_rate = self.failures['v1'] / max(self.requests['v1'], 1)
        return new_rate > factor * old_rate


def _fixed_steps_policy(shares: tuple[float, ...]) -> Policy:
    """
    Return a policy of equally long steps.

    The move is rolled back at the end of a step in which the failure rate of
    the new version exceeded 1.5 times that of the old version.

    :param shares: share of the traffic in each step.
    """

    def run(traffic: Traffic) -> tuple[bool, int]:
        steps_per_share = int(STEPS * 0.9 / len(shares))
        number = 0
        for share in shares:
            failure_counts = _FailureCounts()
            for _ in range(steps_per_share):
                for evidence in traffic.step(number, share).values():
                    failure_counts.add(evidence)
                number += 1
            if failure_counts.has_failure_ratio_above(1.5):
                return False, number
        return True, number

    return run


_POLICIES: dict[str, Policy] = {
    'ours': _run_daemon_policy,
    'steps': _fixed_steps_policy((0.01, 0.05, 0.1, 0.25, 0.5, 0.9)),
    'at once': _fixed_steps_policy((0.99,)),
}


def run_policies(task: tuple[int, int]) -> list[Result]:
    """
    Run all policies on one version and site.

    :param task: seed of the experiment and number of the version.
    """
    seed, number = task
    results = []
    site = SITES[number % len(SITES)]
    for name, policy in _POLICIES.items():
        random = np.random.default_rng((seed, number))
        version = draw_version(random)
        traffic = Traffic(site, version, random)
        is_done, end_step = policy(traffic)
        rate = site.rate * version.traffic_factor
        window_requests = max(rate * site.window_s, traffic.requests)
        requests_after_onset = max(window_requests * (1 - version.onset), 1)
        results.append(
            Result(
                site.name,
                name,
                version.kind,
                version.is_bad,
                is_done,
                traffic.new_version_requests / window_requests,
                traffic.new_version_requests_after_onset / requests_after_onset,
                end_step / STEPS,
            )
        )
    return results


def summarize(results: list[Result]) -> None:
    """Print outcomes and traffic shares by policy and site."""
    subtle = {version.kind for version in SUBTLE}
    rows = []
    for policy in _POLICIES:
        for site in SITES:
            selected = [
                each
                for each in results
                if each.policy == policy and each.site == site.name
            ]
            good = [each for each in selected if not each.is_bad]
            bad = [
                each
                for each in selected
                if each.is_bad and each.kind not in subtle
            ]
            shares = [each.share for each in bad]
            shares_after_onset = [each.share_after_onset for each in bad]
            rows.append(
                (
                    policy,
                    site.name,
                    len(good),
                    100 * float(np.mean([each.is_done for each in good])),
                    len(bad),
                    100 * float(np.mean([not each.is_done for each in bad])),
                    100 * float(np.median(shares)),
                    100 * float(np.percentile(shares, 99)),
                    100 * float(np.percentile(shares_after_onset, 99)),
                )
            )
    print_table(
        (
            'policy',
            'site',
            'good',
            'done %',
            'bad',
            'taken back %',
            'share p50 %',
            'share p99 %',
            'after onset p99 %',
        ),
        rows,
    )


def print_outcomes_by_kind(results: list[Result]) -> None:
    """Print the outcomes of the daemon's policy by kind of version."""
    by_kind: dict[str, list[Result]] = collections.defaultdict(list)
    for each in results:
        if each.policy == 'ours':
            by_kind[each.kind].append(each)
    rows = [
        (
            kind,
            len(matching),
            100 * float(np.mean([each.is_done for each in matching])),
            100 * float(np.median([each.share for each in matching])),
            100 * float(np.max([each.share for each in matching])),
            float(np.median([each.end_fraction for each in matching])),
        )
        for kind, matching in sorted(by_kind.items())
    ]
    print_table(
        ('kind', 'n', 'done %', 'share p50 %', 'max %', 'ended at'), rows
    )


def plot(results: list[Result], path: str) -> None:
    """
    Plot the distribution of the traffic shares of bad versions, by policy.

    :param path: image file to write; its suffix selects the format.
    """
    import matplotlib as mpl

    mpl.use('Agg')
    from matplotlib import pyplot as plt

    figure, axes = plt.subplots(figsize=(7, 4))
    for policy in _POLICIES:
        shares = sorted(
            100 * each.share
            for each in results
            if each.policy == policy and each.is_bad
        )
        fractions = np.linspace(0, 1, len(shares))
        axes.plot(shares, fractions, label=policy)
    axes.set_xscale('log')
    axes.set_xlabel('share of the traffic that a bad version got, %')
    axes.set_ylabel('part of the bad versions')
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)


def main() -> None:
    """Run the experiment and print its tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=2)
    parser.add_argument('--versions', type=int, default=2000)
    parser.add_argument('--processes', type=int, default=6)
    parser.add_argument('--kinds', action='store_true')
    parser.add_argument('--plot')
    options = parser.parse_args()
    tasks = [(options.seed, number) for number in range(options.versions)]
    with multiprocessing.Pool(options.processes) as pool:
        result_groups = pool.map(run_policies, tasks, chunksize=8)
    results = [each for group in result_groups for each in group]
    summarize(results)
    if options.kinds:
        print_outcomes_by_kind(results)
    if options.plot:
        plot(results, options.plot)
    sys.stdout.flush()


if __name__ == '__main__':
    main()
