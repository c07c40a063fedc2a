"""Purposes for which this host opens connections to servers."""

from __future__ import annotations

import enum
from collections import Counter
from collections.abc import Callable

__all__ = ['ConnectionCounts', 'Purpose']


class Purpose(enum.Enum):
    """What a new connection to a server is opened for."""

    CALL = 'call'
    STREAM = 'stream'
    PROBE = 'probe'
    HEALTH = 'health'
    RELAY = 'relay'


class ConnectionCounts:
    """Attempts to connect to servers by purpose, including failed ones."""

    def __init__(self) -> None:
        self.by_purpose: Counter[Purpose] = Counter()
        #: Called with the purpose of each attempt.
        self.on_attempt: Callable[[Purpose], object] = _ignore

    @property
    def total(self) -> int:
        """Number of attempts for all purposes."""
        return self.by_purpose.total()

    def add(self, purpose: Purpose) -> None:
        """Count an attempt."""
        self.by_purpose[purpose] += 1
        self.on_attempt(purpose)


def _ignore(purpose: Purpose) -> None:
    """Do nothing; the default of ``on_attempt``."""
