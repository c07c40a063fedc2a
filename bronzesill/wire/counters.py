"""Counts of what one daemon exchanges with its peers."""

from __future__ import annotations

import dataclasses

__all__ = ['WireCounters']


@dataclasses.dataclass
class WireCounters:
    """
    Running counts.

    :param bytes_in: bytes received from peers.
    :param bytes_out: bytes sent to peers.
    :param datagrams_in: datagrams received.
    :param datagrams_out: datagrams sent.
    :param dropped: frames that could not be understood.
    :param broken: connections that broke.
    """

    bytes_in: int = 0
    bytes_out: int = 0
    datagrams_in: int = 0
    datagrams_out: int = 0
    dropped: int = 0
    broken: int = 0

    @property
    def bytes_moved(self) -> int:
        """Bytes received and sent."""
        return self.bytes_in + self.bytes_out

    @property
    def datagrams_moved(self) -> int:
        """Datagrams received and sent."""
        return self.datagrams_in + self.datagrams_out
