"""
Streams that are slow but alive: how many are taken for lost.

The decisions of a generation run at virtual time over seeded streams whose
gaps between tokens vary widely:
``python -m benchmarks.false_alarms --streams 10000``.
"""

from __future__ import annotations

import argparse

import numpy as np

from bronzesill.generations import GenerationState, StallPolicy, decide
from bronzesill.generations.messages import (
    Begin,
    CancelAttempt,
    ServerChosen,
    TimerFired,
    TokensArrived,
)

_TOKENS = 150
_DEADLINE_S = 1e6


def is_alarmed(random: np.random.Generator, weight: float) -> bool:
    """Run one stream and say whether it was taken for lost."""
    pace_s = float(random.choice((0.02, 0.05, 0.15, 0.4, 0.8)))
    sigma = float(random.uniform(0.1, 0.5))
    spell = float(random.choice((1, 1, 2, 4)))
    gaps = random.lognormal(np.log(pace_s), sigma, _TOKENS)
    # A slow spell of the batch: a large prompt is read beside it.
    first = int(random.integers(5, _TOKENS - 20))
    gaps[first : first + 15] *= spell
    state = GenerationState(_DEADLINE_S, StallPolicy.from_weight(weight))
    state = decide(state, Begin(), 0).state
    state = decide(state, ServerChosen('a'), 0).state
    now_s = float(random.uniform(0.1, 1.4))
    for offset in range(_TOKENS):
        fired = decide(state, TimerFired(), now_s)
        if any(isinstance(each, CancelAttempt) for each in fired.actions):
            return True
        arrived = TokensArrived(1, offset, ('t',))
        state = decide(fired.state, arrived, now_s).state
        now_s += float(gaps[offset])
    return False


def main() -> None:
    """Count false alarms for three preferences."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--streams', type=int, default=10_000)
    parser.add_argument('--seed', type=int, default=1)
    options = parser.parse_args()
    for weight in (0, 0.5, 1):
        random = np.random.default_rng(options.seed)
        alarms = sum(is_alarmed(random, weight) for _ in range(options.streams))
        print(
            f'resume_latency_weight {weight}: {alarms} of '
            f'{options.streams} living streams taken for lost',
            flush=True,
        )


if __name__ == '__main__':
    main()
