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
        #: Called with the purpose of each attempt and the name of the server.
        self.on_attempt: Callable[[Purpose, str], object] = _ignore

    @property
    def total(self) -> int:
        """Number of attempts for all purposes."""
        return self.by_purpose.total()

    def add(self, purpose: Purpose, server: str) -> None:
        """
        Count an attempt.

        :param purpose: what the connection is for.
        :param server: name of the server.
        """
        self.by_purpose[purpose] += 1
        self.on_attempt(purpose, server)


def _ignore(purpose: Purpose, server: str) -> None:
    """Do nothing; the default of ``on_attempt``."""
