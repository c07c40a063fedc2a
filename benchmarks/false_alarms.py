"""
Measure the false-alarm rate of stall detection.

The decision module of generations runs at virtual time over random streams
that are slow but complete, with widely varying gaps between tokens:
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


def is_declared_lost(random: np.random.Generator, weight: float) -> bool:
    """
    Simulate one stream and return whether its attempt was cancelled as lost.

    :param random: random number generator.
    :param weight: the preference ``resume_latency_weight``, 0 to 1.
    """
    pace_s = float(random.choice((0.02, 0.05, 0.15, 0.4, 0.8)))
    sigma = float(random.uniform(0.1, 0.5))
    slowdown = float(random.choice((1, 1, 2, 4)))
    gaps_s = random.lognormal(np.log(pace_s), sigma, _TOKENS)
    # Slow phase: the engine's batch also processes a large prompt.
    slow_start = int(random.integers(5, _TOKENS - 20))
    gaps_s[slow_start : slow_start + 15] *= slowdown
    state = GenerationState(_DEADLINE_S, StallPolicy.from_weight(weight))
    state = decide(state, Begin(), 0).state
    state = decide(state, ServerChosen('a'), 0).state
    now_s = float(random.uniform(0.1, 1.4))
    for offset in range(_TOKENS):
        timer_decision = decide(state, TimerFired(), now_s)
        if any(
            isinstance(each, CancelAttempt) for each in timer_decision.actions
        ):
            return True
        tokens = TokensArrived(1, offset, ('t',))
        state = decide(timer_decision.state, tokens, now_s).state
        now_s += float(gaps_s[offset])
    return False


def main() -> None:
    """Print the number of false alarms for three preference weights."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--streams', type=int, default=10_000)
    parser.add_argument('--seed', type=int, default=1)
    options = parser.parse_args()
    for weight in (0, 0.5, 1):
        random = np.random.default_rng(options.seed)
        false_alarms = sum(
            is_declared_lost(random, weight) for _ in range(options.streams)
        )
        print(
            f'resume_latency_weight {weight}: {false_alarms} of '
            f'{options.streams} healthy streams declared lost',
            flush=True,
        )


if __name__ == '__main__':
    main()
