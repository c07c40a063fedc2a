"""
Deterministic tokens of the engine stand-in.

Each token depends on the version, the seed, the prompt and all preceding
tokens, so that a text assembled from different generations can be detected.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterator

from ..utils import chain_digest, stable_hash

__all__ = ['expected_tokens', 'initial_digest', 'next_token']

_STEMS = (
    'bead',
    'roll',
    'kraft',
    'strip',
    'band',
    'stone',
    'grind',
    'glaze',
    'thread',
    'sheet',
    'edge',
    'curl',
)
_SUFFIX_SPACE = 4096


def initial_digest(version: str, seed: int, prompt: str) -> int:
    """Return the digest from which the first token is derived."""
    return stable_hash(version, str(seed), prompt)


def next_token(digest: int) -> str:
    """Return the token that follows the tokens with the given digest."""
    stem = _STEMS[digest % len(_STEMS)]
    suffix = (digest >> 8) % _SUFFIX_SPACE
    return f' {stem}{suffix:03x}'


def _generate_tokens(digest: int) -> Iterator[str]:
    while True:
        token = next_token(digest)
        yield token
        digest = chain_digest(digest, (token,))


def expected_tokens(
    version: str, seed: int, prompt: str, count: int
) -> tuple[str, ...]:
    """Return the first tokens of the answer of a correct engine."""
    digest = initial_digest(version, seed, prompt)
    return tuple(itertools.islice(_generate_tokens(digest), count))
