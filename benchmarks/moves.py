"""
Policy experiment: the decisions of a move over many seeded versions.

The same decision modules as in the daemon run at virtual time.  Requests of
a site are drawn from a model in ``moves_model``.  Three policies
see the same versions: ours, fixed steps with a threshold, all at once.

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
    MoveProgress,
    MoveRecord,
    MoveState,
    Verdict,
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
    How one move ended.

    :param site: name of the site.
    :param policy: name of the policy.
    :param kind: kind of the version.
    :param is_bad: whether the version is bad.
    :param is_done: whether the move was done in time.
    :param share: share of the window's traffic that the version got.
    :param share_after_onset: the same, counted from the fault's onset on.
    :param ended_at: part of the window after which it ended.
    """

    site: str
    policy: str
    kind: str
    is_bad: bool
    is_done: bool
    share: float
    share_after_onset: float
    ended_at: float


Policy = Callable[[Traffic], tuple[bool, int]]


def _run_ours(traffic: Traffic) -> tuple[bool, int]:
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
        if decision.verdict is Verdict.TAKE_BACK:
            return False, number
        if decision.verdict is Verdict.COMMIT:
            return True, number
        if decision.verdict is Verdict.GROW:
            record = record.changed(
                now_s=now_s, by='driver', note='', share=decision.share
            )
    return record.state is MoveState.DONE, STEPS


class _Rates:
    """Requests and failures of both versions since a share began."""

    def __init__(self) -> None:
        self.requests = collections.Counter[str]()
        self.failures = collections.Counter[str]()

    def add(self, evidence: Evidence) -> None:
        """Take in what was seen."""
        for seen in evidence.by_engine.values():
            self.requests[seen.version] += seen.requests
            self.failures[seen.version] += seen.failures

    def exceeds(self, factor: float) -> bool:
        """Say whether the new version fails more often by a factor."""
        if self.requests['v2'] <= 50:
            return False
        new = self.failures['v2'] / self.requests['v2']
        old = self.failures['v1'] / max(self.requests['v1'], 1)
        return new > factor * old


def _run_steps(shares: tuple[float, ...]) -> Policy:
    """Return fixed steps: taken back if failures exceed the old's by half."""

    def run(traffic: Traffic) -> tuple[bool, int]:
        per_share = int(STEPS * 0.9 / len(shares))
        number = 0
        for share in shares:
            rates = _Rates()
            for _ in range(per_share):
                for evidence in traffic.step(number, share).values():
                    rates.add(evidence)
                number += 1
            if rates.exceeds(1.5):
                return False, number
        return True, number

    return run


_POLICIES: dict[str, Policy] = {
    'ours': _run_ours,
    'steps': _run_steps((0.01, 0.05, 0.1, 0.25, 0.5, 0.9)),
    'at once': _run_steps((0.99,)),
}


def run_one(task: tuple[int, int]) -> list[Result]:
    """Run all policies on one seeded version."""
    seed, number = task
    results = []
    site = SITES[number % len(SITES)]
    for name, policy in _POLICIES.items():
        random = np.random.default_rng((seed, number))
        version = draw_version(random)
        traffic = Traffic(site, version, random)
        is_done, ended = policy(traffic)
        rate = site.rate * version.traffic
        whole = max(rate * site.window_s, traffic.requests)
        after = max(whole * (1 - version.onset), 1)
        results.append(
            Result(
                site.name,
                name,
                version.kind,
                version.is_bad,
                is_done,
                traffic.to_new / whole,
                traffic.to_new_after_onset / after,
                ended / STEPS,
            )
        )
    return results


def summarize(results: list[Result]) -> None:
    """Print the figures to be reached, by policy and site."""
    subtle = {version.kind for version in SUBTLE}
    rows = []
    for policy in _POLICIES:
        for site in SITES:
            chosen = [
                each
                for each in results
                if each.policy == policy and each.site == site.name
            ]
            good = [each for each in chosen if not each.is_bad]
            bad = [
                each
                for each in chosen
                if each.is_bad and each.kind not in subtle
            ]
            shares = [each.share for each in bad]
            after = [each.share_after_onset for each in bad]
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
                    100 * float(np.percentile(after, 99)),
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


def print_kinds(results: list[Result]) -> None:
    """Print how our policy ended, by kind of version."""
    by_kind: dict[str, list[Result]] = collections.defaultdict(list)
    for each in results:
        if each.policy == 'ours':
            by_kind[each.kind].append(each)
    rows = [
        (
            kind,
            len(found),
            100 * float(np.mean([each.is_done for each in found])),
            100 * float(np.median([each.share for each in found])),
            100 * float(np.max([each.share for each in found])),
            float(np.median([each.ended_at for each in found])),
        )
        for kind, found in sorted(by_kind.items())
    ]
    print_table(
        ('kind', 'n', 'done %', 'share p50 %', 'max %', 'ended at'), rows
    )


def plot(results: list[Result], path: str) -> None:
    """Draw the shares that bad versions got, by policy."""
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
        parts = np.linspace(0, 1, len(shares))
        axes.plot(shares, parts, label=policy)
    axes.set_xscale('log')
    axes.set_xlabel('share of the traffic that a bad version got, %')
    axes.set_ylabel('part of the bad versions')
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)


def main() -> None:
    """Run the experiment."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=2)
    parser.add_argument('--versions', type=int, default=2000)
    parser.add_argument('--processes', type=int, default=6)
    parser.add_argument('--kinds', action='store_true')
    parser.add_argument('--plot')
    options = parser.parse_args()
    tasks = [(options.seed, number) for number in range(options.versions)]
    with multiprocessing.Pool(options.processes) as pool:
        found = pool.map(run_one, tasks, chunksize=8)
    results = [each for group in found for each in group]
    summarize(results)
    if options.kinds:
        print_kinds(results)
    if options.plot:
        plot(results, options.plot)
    sys.stdout.flush()


if __name__ == '__main__':
    main()
