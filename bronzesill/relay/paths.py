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
#: Peers that are asked before the next choice.
_MAX_ASKED = 3
#: Time for which a peer that opened a connection, or was named by another one,
#: is asked first.
_RELAY_VALID_S = 5.0
_USUAL_LINK_MBPS = 100.0
#: Further choices for calls whose first peers refused: at once, and a second.
_MAX_SEARCHES = 12
_SEARCHES_PER_S = 5.0


@dataclasses.dataclass(frozen=True)
class RelayPeer:
    """
    Another host that may open connections for this one.

    :param name: name of the host.
    :param address: address for other hosts.
    :param is_near: whether it is in the failure domain of this host.
    :param is_leaving: whether it stops soon, which ends its connections.
    :param link_mbps: bandwidth of its link in Mbit/s, 0 if unknown.
    """

    name: str
    address: Address
    is_near: bool
    is_leaving: bool = False
    link_mbps: float = 0


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
        #: Peers that reached a server of late, and those named by others.
        self._relay_until_s_by_peer: dict[str, float] = {}
        self._told_until_s_by_peer: dict[str, float] = {}
        #: Peers that did not reach some server.
        self._failed_until_s_by_peer: dict[str, float] = {}
        self._searches_left: float = _MAX_SEARCHES
        self._counted_at_s: float = 0

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

    def mark_opened(self, peer: str, now_s: float) -> None:
        """Record that a peer reached a server."""
        self._relay_until_s_by_peer[peer] = now_s + _RELAY_VALID_S
        self._told_until_s_by_peer.pop(peer, None)

    def mark_refused(self, peer: str, server: str, now_s: float) -> None:
        """Record that a peer refused to connect to a server."""
        self._paused_until_s_by_peer[peer, server] = now_s + _PEER_PAUSE_S

    def mark_failed(self, peer: str, now_s: float, told: str) -> None:
        """
        Record that a peer does not reach some server itself.

        :param peer: name of the peer.
        :param now_s: current time in seconds.
        :param told: name of a host that the peer uses itself, if any.
        """
        self._failed_until_s_by_peer[peer] = now_s + _PEER_PAUSE_S
        self._relay_until_s_by_peer.pop(peer, None)
        self._told_until_s_by_peer.pop(peer, None)
        if told and told not in self._failed_until_s_by_peer:
            self._told_until_s_by_peer[told] = now_s + _RELAY_VALID_S

    def find_relay(self, random: Random, now_s: float) -> str:
        """Return a peer that reached a server of late, or nothing."""
        relays = _unexpired(self._relay_until_s_by_peer, now_s)
        return random.choice(tuple(relays)) if relays else ''

    def may_search_on(
        self, asked: tuple[RelayPeer, ...], *, is_cut: bool, now_s: float
    ) -> bool:
        """
        Return whether more peers may be asked after a choice has refused.

        They may while something says that paths are cut, and to leave the own
        failure domain; a server that ended is not sought in the whole fleet.
        The number of such searches is bounded, also if nobody can help.

        :param asked: the peers that were asked last.
        :param is_cut: whether one of them is cut from the server and uses a
            peer itself.
        :param now_s: current time in seconds.
        """
        is_domain_only = all(peer.is_near for peer in asked)
        if not (is_cut or is_domain_only or self._cut_since_s_by_server):
            return False
        elapsed_s = now_s - self._counted_at_s
        self._counted_at_s = now_s
        self._searches_left = min(
            self._searches_left + elapsed_s * _SEARCHES_PER_S, _MAX_SEARCHES
        )
        if self._searches_left < 1:
            return False
        self._searches_left -= 1
        return True

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
        self._relay_until_s_by_peer = _unexpired(
            self._relay_until_s_by_peer, now_s
        )
        self._told_until_s_by_peer = _unexpired(
            self._told_until_s_by_peer, now_s
        )
        self._failed_until_s_by_peer = _unexpired(
            self._failed_until_s_by_peer, now_s
        )
        paused = self._paused_until_s_by_peer
        return choose_peers(
            tuple(peer for peer in peers if (peer.name, server) not in paused),
            PeerRecords(
                self._slow_until_s_by_peer.keys(),
                self._relay_until_s_by_peer.keys(),
                self._told_until_s_by_peer.keys(),
                self._failed_until_s_by_peer.keys(),
                is_domain_cut=any(
                    peer.is_near and peer.name in self._failed_until_s_by_peer
                    for peer in peers
                ),
            ),
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


@dataclasses.dataclass(frozen=True)
class PeerRecords:
    """
    Names of peers by what they answered of late.

    :param slow: those that did not answer.
    :param relays: those that reached a server.
    :param told: those that other hosts named.
    :param failed: those that did not reach some server.
    :param is_domain_cut: whether one of the own failure domain did not.
    """

    slow: Collection[str] = ()
    relays: Collection[str] = ()
    told: Collection[str] = ()
    failed: Collection[str] = ()
    is_domain_cut: bool = False


def choose_peers(
    peers: tuple[RelayPeer, ...], records: PeerRecords, random: Random
) -> tuple[RelayPeer, ...]:
    """
    Return the peers to ask in order.

    While some do not reach servers, those come first that are known to.  Those
    of the own failure domain follow, unless one of it did not reach a server:
    a domain may be cut as a whole.  Leaving peers come last: a connection
    through one ends with it.

    :param peers: peers that may be asked.
    :param records: what peers answered of late.
    :param random: generator for the choice among equals, by their links.
    """
    return tuple(
        heapq.nsmallest(
            _MAX_ASKED,
            peers,
            key=lambda peer: (
                peer.is_leaving,
                peer.name in records.slow,
                bool(records.failed) and peer.name not in records.relays,
                peer.name not in records.told,
                peer.name in records.failed,
                not (peer.is_near or records.is_domain_cut),
                _draw(peer, random),
            ),
        )
    )


def _draw(peer: RelayPeer, random: Random) -> float:
    """Draw a number that is the lowest of some in proportion to the links."""
    return random.expovariate(peer.link_mbps or _USUAL_LINK_MBPS)


def _unexpired(
    until_s_by_key: Mapping[KeyT, float], now_s: float
) -> dict[KeyT, float]:
    return {
        key: until_s
        for key, until_s in until_s_by_key.items()
        if until_s > now_s
    }
