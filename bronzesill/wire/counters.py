"""Traffic counters for the exchange with peers."""

from __future__ import annotations

import dataclasses

__all__ = ['WireCounters']


@dataclasses.dataclass
class WireCounters:
    """
    Cumulative counters since startup.

    :param bytes_in: bytes received from peers.
    :param bytes_out: bytes sent to peers.
    :param datagrams_in: datagrams received.
    :param datagrams_out: datagrams sent.
    :param dropped: invalid frames and datagrams that were dropped.
    :param broken: connections that failed and datagrams that were refused.
    """

    bytes_in: int = 0
    bytes_out: int = 0
    datagrams_in: int = 0
    datagrams_out: int = 0
    dropped: int = 0
    broken: int = 0

    @property
    def total_bytes(self) -> int:
        """Total bytes received and sent."""
        return self.bytes_in + self.bytes_out

    @property
    def total_datagrams(self) -> int:
        """Total datagrams received and sent."""
        return self.datagrams_in + self.datagrams_out
