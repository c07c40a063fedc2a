"""Hash functions for rendezvous ranking, token digests and secrets."""

import hashlib

import xxhash

__all__ = [
    'chain_digest',
    'hash_secret',
    'rank_by_rendezvous',
    'stable_hash',
]


def stable_hash(*parts: str) -> int:
    """Return a 64-bit hash that is equal across processes and hosts."""
    return int(xxhash.xxh3_64_intdigest('\x1f'.join(parts).encode()))


def chain_digest(digest: int, tokens: tuple[str, ...]) -> int:
    """
    Extend a running digest by tokens, hashing one token at a time.

    The result does not depend on how the tokens are split between calls.

    :param digest: digest of all preceding tokens, 0 if there are none.
    :param tokens: texts of the tokens to append.
    """
    for token in tokens:
        digest = xxhash.xxh3_64_intdigest(token.encode(), seed=digest)
    return digest


def rank_by_rendezvous(key: str, names: tuple[str, ...]) -> tuple[str, ...]:
    """
    Sort names by descending rendezvous hashing weight for a key.

    Removing a name does not change the relative order of the others.

    :param key: key to rank the names for.
    :param names: distinct names to rank.
    """
    return tuple(
        sorted(names, key=lambda name: stable_hash(key, name), reverse=True)
    )


def hash_secret(secret: str) -> str:
    """Return the hexadecimal SHA-256 of a caller's or operator's API key."""
    return hashlib.sha256(secret.encode()).hexdigest()
