"""
Ask for a long answer while an engine dies, and check it token by token.

The last line says whether the answer is whole; the exit status is 1 if not.
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
    """What the caller received."""

    tokens: list[str] = field(default_factory=list)
    arrivals_s: list[float] = field(default_factory=list)
    engines_lost: int = 0
    has_end: bool = False

    def add(self, token: str) -> None:
        """Take in and show a token."""
        self.tokens.append(token)
        self.arrivals_s.append(time.monotonic())
        sys.stdout.write(token)
        sys.stdout.flush()

    @property
    def gap_s(self) -> float:
        """Longest time between two tokens."""
        pairs = itertools.pairwise(self.arrivals_s)
        return max(later - earlier for earlier, later in pairs)


def _fetch(url: str, body: dict[str, object] | None = None) -> Any:
    raw = None if body is None else json.dumps(body).encode()
    asked = urlrequest.Request(url, raw)
    with urlrequest.urlopen(asked, timeout=_TIMEOUT_S) as response:
        return json.load(response)


def _running(engine: str) -> int:
    faults = _fetch(f'http://{engine}/standin/faults', {})
    running: int = faults['running']
    return running


def _let_busy_engine_die(engines: list[str]) -> None:
    victim = max(engines, key=_running)
    _fetch(f'http://{victim}/standin/faults', {'die': True})
    print(f'\n--- engine {victim} dies ---', flush=True)


def _ask(options: argparse.Namespace, prompt: str) -> Received:
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
            _let_busy_engine_die(options.engines)
    return received


def _report(received: Received, expected: tuple[str, ...]) -> bool:
    wanted = collections.Counter(expected)
    found = collections.Counter(received.tokens)
    is_whole = received.has_end and tuple(received.tokens) == expected
    label = 'whole answer' if is_whole else 'ANSWER NOT WHOLE'
    print(
        f'\n{label}: {len(received.tokens)} tokens, '
        f'engines lost: {received.engines_lost}, '
        f'gap: {received.gap_s:.3f} s, '
        f'missing: {(wanted - found).total()}, '
        f'repeated: {(found - wanted).total()}'
    )
    return is_whole


def main() -> int:
    """Run the demonstration."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--entry', required=True)
    parser.add_argument('--key', required=True)
    parser.add_argument('--engines', nargs='+', required=True)
    parser.add_argument('--tokens', type=int, default=500)
    options = parser.parse_args()
    prompt = write_catalogue(_SEED)
    print(f'prompt: {len(prompt.split())} words', flush=True)
    received = _ask(options, prompt)
    expected = expected_tokens('v1', _SEED, prompt, options.tokens)
    is_whole = _report(received, expected)
    return 0 if is_whole and received.engines_lost else 1


if __name__ == '__main__':
    sys.exit(main())
