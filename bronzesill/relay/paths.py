"""
Decisions about the paths from this host to the backend servers.

A server that another host reaches is in service, whatever this host sees.
"""

from __future__ import annotations

import dataclasses
import heapq
from collections.abc import Collection, Mapping
from random import Random
from typing import TypeVar

from ..utils import Address

__all__ = ['PathTable', 'RelayPeer', 'choose_peers']

KeyT = TypeVar('KeyT')

#: Time for which a peer that refused or failed is not asked for a server.
_PEER_PAUSE_S = 1.0
#: Time for which no peer is asked for a server that none of them reached.
_NO_PEER_PAUSE_S = 0.3
#: Peers that are asked for one connection.
_MAX_ASKED = 3


@dataclasses.dataclass(frozen=True)
class RelayPeer:
    """
    Another host that may open connections for this one.

    :param name: name of the host.
    :param address: address for other hosts.
    :param is_near: whether it is in the failure domain of this host.
    :param is_leaving: whether it stops soon, which ends its connections.
    """

    name: str
    address: Address
    is_near: bool
    is_leaving: bool = False


class PathTable:
    """
    What this host knows of its direct paths to the servers.

    Does no I/O and reads no clock.
    """

    def __init__(self) -> None:
        self._cut_since_s_by_server: dict[str, float] = {}
        self._last_cut_at_s: float = 0
        self._paused_until_s_by_server: dict[str, float] = {}
        self._paused_until_s_by_peer: dict[tuple[str, str], float] = {}
        self._slow_until_s_by_peer: dict[str, float] = {}

    @property
    def cut_servers(self) -> Collection[str]:
        """Servers that peers reach and this host does not."""
        return self._cut_since_s_by_server.keys()

    def is_cut(self, server: str) -> bool:
        """Return whether peers reach a server that this host does not."""
        return server in self._cut_since_s_by_server

    def mark_cut(self, server: str, now_s: float) -> bool:
        """
        Record that a peer reached a server that this host did not.

        :returns: whether this was not known.
        """
        self._last_cut_at_s = now_s
        if self.is_cut(server):
            return False
        self._cut_since_s_by_server[server] = now_s
        return True

    def mark_open(self, server: str, now_s: float) -> float | None:
        """
        Record that this host reached a server.

        :returns: seconds for which the path was cut, ``None`` if it was not.
        """
        since_s = self._cut_since_s_by_server.pop(server, None)
        return None if since_s is None else now_s - since_s

    def may_reuse(
        self, server: str, *, is_relayed: bool, received_at_s: float
    ) -> bool:
        """
        Return whether an idle connection may carry another request.

        While the paths to some servers are cut, a direct connection that has
        delivered nothing since then may be cut too, in silence.

        :param server: server to which it leads.
        :param is_relayed: whether it leads through a peer.
        :param received_at_s: time of the last bytes on it.
        """
        if is_relayed or self.is_cut(server):
            return is_relayed and self.is_cut(server)
        if not self._cut_since_s_by_server:
            return True
        return received_at_s > self._last_cut_at_s

    def may_ask(self, server: str, now_s: float) -> bool:
        """Return whether peers may be asked for a connection to a server."""
        return self._paused_until_s_by_server.get(server, 0) <= now_s

    def mark_unreachable(self, server: str, now_s: float) -> None:
        """Record that neither this host nor the asked peers reach a server."""
        self._cut_since_s_by_server.pop(server, None)
        self._paused_until_s_by_server[server] = now_s + _NO_PEER_PAUSE_S

    def mark_refused(self, peer: str, server: str, now_s: float) -> None:
        """Record that a peer refused to connect to a server."""
        self._paused_until_s_by_peer[peer, server] = now_s + _PEER_PAUSE_S

    def mark_slow(self, peer: str, now_s: float) -> None:
        """Record that a peer did not answer; others are asked first."""
        self._slow_until_s_by_peer[peer] = now_s + _PEER_PAUSE_S

    def choose(
        self,
        server: str,
        peers: tuple[RelayPeer, ...],
        random: Random,
        now_s: float,
    ) -> tuple[RelayPeer, ...]:
        """
        Return the peers to ask for a connection to a server, in order.

        :param server: server to connect to.
        :param peers: the other live hosts.
        :param random: generator for the choice among equals.
        :param now_s: current time in seconds.
        """
        self._paused_until_s_by_peer = _unexpired(
            self._paused_until_s_by_peer, now_s
        )
        self._slow_until_s_by_peer = _unexpired(
            self._slow_until_s_by_peer, now_s
        )
        paused = self._paused_until_s_by_peer
        return choose_peers(
            tuple(peer for peer in peers if (peer.name, server) not in paused),
            self._slow_until_s_by_peer.keys(),
            random,
        )

    def keep_only(self, servers: Collection[str]) -> None:
        """Forget all other servers."""
        for by_server in (
            self._cut_since_s_by_server,
            self._paused_until_s_by_server,
        ):
            for server in by_server.keys() - servers:
                by_server.pop(server)


def choose_peers(
    peers: tuple[RelayPeer, ...], slow: Collection[str], random: Random
) -> tuple[RelayPeer, ...]:
    """
    Return the peers to ask in order, those of the own failure domain first.

    Leaving peers come last: a connection through one ends with it.

    :param peers: peers that may be asked.
    :param slow: names of peers that are asked last.
    :param random: generator for the choice among equals.
    """
    return tuple(
        heapq.nsmallest(
            _MAX_ASKED,
            peers,
            key=lambda peer: (
                peer.is_leaving,
                peer.name in slow,
                not peer.is_near,
                random.random(),
            ),
        )
    )


def _unexpired(
    until_s_by_key: Mapping[KeyT, float], now_s: float
) -> dict[KeyT, float]:
    return {
        key: until_s
        for key, until_s in until_s_by_key.items()
        if until_s > now_s
    }
