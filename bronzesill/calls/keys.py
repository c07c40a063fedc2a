"""Parsing of the issue time from idempotency keys."""

from __future__ import annotations

import re
import uuid

__all__ = ['MAX_CLOCK_SKEW_S', 'issued_at_s']

#: Time by which the clock of a caller may be ahead.
MAX_CLOCK_SKEW_S = 120.0

_MS_PER_S = 1000
_UUID7_TIME_SHIFT = 80
_UUID7_VERSION = 7
_TIMESTAMP_KEY = re.compile(r'(\d{10})-[\w.:\-]{1,100}')


def issued_at_s(key: str) -> float | None:
    """
    Return when a key was issued, in seconds since the epoch.

    A key is a UUID of version 7, or a ten-digit time in seconds, a hyphen
    and up to 100 further characters.  The issue time distinguishes a new key
    from one whose record has already been removed from the ledger.

    :param key: the caller's idempotency key.
    :returns: the issue time, none if the key does not contain one.
    """
    match = _TIMESTAMP_KEY.fullmatch(key)
    if match is not None:
        return float(match.group(1))
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != _UUID7_VERSION:
        return None
    return (parsed.int >> _UUID7_TIME_SHIFT) / _MS_PER_S
