"""
Request a long answer, kill its engine midway, and check every token.

The last line states whether the answer is complete.  The exit status is 1 if
the answer is incomplete or no engine was killed.
"""

from __future__ import annotations

import argparse
import collections
import dataclasses
import itertools
import json
import sys
import time
from dataclasses import field
from typing import Any
from urllib import request as urlrequest

import openai

from bronzesill.standins import expected_tokens

from .catalogue import write_catalogue

__all__ = ['main']

_SEED = 20261204
_TIMEOUT_S = 5


@dataclasses.dataclass
class Received:
    """
    Tokens that the caller received.

    :param tokens: received tokens.
    :param arrivals_s: monotonic time in seconds at which each token arrived.
    :param engines_lost: number of engines killed during the answer.
    :param has_end: whether the stream contained a finish reason.
    """

    tokens: list[str] = field(default_factory=list)
    arrivals_s: list[float] = field(default_factory=list)
    engines_lost: int = 0
    has_end: bool = False

    def add(self, token: str) -> None:
        """Record a token with its arrival time and print it."""
        self.tokens.append(token)
        self.arrivals_s.append(time.monotonic())
        sys.stdout.write(token)
        sys.stdout.flush()

    @property
    def gap_s(self) -> float:
        """Longest time between two tokens in seconds; needs two tokens."""
        pairs = itertools.pairwise(self.arrivals_s)
        return max(later - earlier for earlier, later in pairs)


def _fetch(url: str, body: dict[str, object] | None = None) -> Any:
    raw = None if body is None else json.dumps(body).encode()
    http_request = urlrequest.Request(url, raw)
    with urlrequest.urlopen(http_request, timeout=_TIMEOUT_S) as response:
        return json.load(response)


def _count_running(engine: str) -> int:
    faults = _fetch(f'http://{engine}/standin/faults', {})
    running: int = faults['running']
    return running


def _kill_busy_engine(engines: list[str]) -> None:
    victim = max(engines, key=_count_running)
    _fetch(f'http://{victim}/standin/faults', {'die': True})
    print(f'\n--- engine {victim} is killed ---', flush=True)


def _request_answer(options: argparse.Namespace, prompt: str) -> Received:
    addresses = _fetch(f'http://{options.entry}/v1/addresses')['addresses']
    client = openai.OpenAI(
        base_url=f'http://{addresses[0]["address"]}/v1',
        api_key=options.key,
        max_retries=0,
    )
    stream = client.completions.create(
        model='guide',
        prompt=prompt,
        max_tokens=options.tokens,
        seed=_SEED,
        stream=True,
        extra_headers={'X-Request-Id': f'demo-{time.time_ns()}'},
    )
    received = Received()
    for chunk in stream:
        choice = chunk.choices[0]
        if choice.text:
            received.add(choice.text)
        received.has_end = received.has_end or bool(choice.finish_reason)
        is_middle = len(received.tokens) >= options.tokens // 3
        if is_middle and not received.engines_lost:
            received.engines_lost += 1
            _kill_busy_engine(options.engines)
    return received


def _report(received: Received, expected: tuple[str, ...]) -> bool:
    expected_counts = collections.Counter(expected)
    received_counts = collections.Counter(received.tokens)
    is_complete = received.has_end and tuple(received.tokens) == expected
    label = 'whole answer' if is_complete else 'ANSWER NOT WHOLE'
    print(
        f'\n{label}: {len(received.tokens)} tokens, '
        f'engines lost: {received.engines_lost}, '
        f'gap: {received.gap_s:.3f} s, '
        f'missing: {(expected_counts - received_counts).total()}, '
        f'repeated: {(received_counts - expected_counts).total()}'
    )
    return is_complete


def main() -> int:
    """Run the demonstration and return its exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--entry', required=True)
    parser.add_argument('--key', required=True)
    parser.add_argument('--engines', nargs='+', required=True)
    parser.add_argument('--tokens', type=int, default=500)
    options = parser.parse_args()
    prompt = write_catalogue(_SEED)
    print(f'prompt: {len(prompt.split())} words', flush=True)
    received = _request_answer(options, prompt)
    expected = expected_tokens('v1', _SEED, prompt, options.tokens)
    is_complete = _report(received, expected)
    return 0 if is_complete and received.engines_lost else 1


if __name__ == '__main__':
    sys.exit(main())
