"""Membership of a hosted daemon, and its connections with peers."""

from __future__ import annotations

import asyncio
import inspect
import time
from collections.abc import Callable
from random import Random
from typing import Any

from ..config import HostedSettings
from ..membership import (
    FetchView,
    GossipPolicy,
    Member,
    MembershipController,
    MembershipQueue,
)
from ..relay import (
    RelayConnector,
    RelayOpen,
    RelayPeer,
    RelayServer,
)
from ..routing import ServerTracker
from ..upstream import ConnectionPool
from ..utils import Metrics, ResultCode
from ..wire import DatagramSocket, PeerClient, PeerServer, WireCounters
from .early_sockets import EarlySockets
from .peer_messages import Refusal, make_registry
from .usage_exchange import DatagramRouter

__all__ = ['HostedPeers', 'HostedRelay']

_MS_PER_S = 1000


class HostedPeers:
    """
    Membership protocol with its socket, and the client and server for peers.

    :param settings: settings of this host.
    :param random: generator for the choice of gossip targets.
    :param listeners: sockets that listen already.
    """

    def __init__(
        self,
        settings: HostedSettings,
        random: Random,
        listeners: EarlySockets,
    ) -> None:
        registry = make_registry()
        self.registry = registry
        counters = WireCounters()
        membership_queue: MembershipQueue = asyncio.Queue()
        self._address = settings.peers
        self.client = PeerClient(registry, counters)
        self.datagram_router = DatagramRouter(membership_queue)
        self.socket = DatagramSocket(registry, counters, self.datagram_router)
        self.membership = MembershipController(
            _own_member(settings),
            self.socket,
            membership_queue,
            self.client,
            random,
            GossipPolicy(),
        )
        #: Handlers of peer requests by type of the request; a handler may
        #: return an awaitable.
        self.handlers_by_type: dict[type, Callable[[Any], Any]] = {
            FetchView: self.membership.handle_fetch_view
        }
        self.server = PeerServer(
            settings.peers,
            registry,
            self,
            counters,
            listeners.take(settings.peers.ip, settings.peers.port),
        )

    async def open(self) -> None:
        """Start to listen for requests and datagrams of peers."""
        await self.server.start()
        await self.socket.open(self._address)

    async def close(self) -> None:
        """Close all connections with peers."""
        await self.server.stop()
        await self.client.stop()
        self.socket.close()

    async def handle(self, request: Any) -> Any:
        """
        Return the reply to one request of a peer.

        The reply to an unsupported request is a `Refusal`.
        """
        handler = self.handlers_by_type.get(type(request))
        if handler is None:
            return Refusal(int(ResultCode.MESSAGE_INVALID))
        reply = handler(request)
        return await reply if inspect.isawaitable(reply) else reply


class HostedRelay:
    """
    Connections to servers through peers, and those opened for peers.

    :param settings: settings of this host.
    :param peers: connections with peers.
    :param list_peers: returns the other live daemons.
    :param random: generator for the choice of peers.
    """

    def __init__(
        self,
        settings: HostedSettings,
        peers: HostedPeers,
        list_peers: Callable[[], tuple[Member, ...]],
        random: Random,
    ) -> None:
        self._settings = settings
        self._peers = peers
        self._list_peers = list_peers
        self._random = random

    def attach(
        self, tracker: ServerTracker, pool: ConnectionPool, metrics: Metrics
    ) -> None:
        """
        Let a pool connect through peers, and serve connections of peers.

        :param tracker: state of the backend servers.
        :param pool: pool of connections to backend servers.
        :param metrics: receives counters of relayed connections.
        """
        connector = RelayConnector(
            self._settings.name,
            pool.direct,
            self._peers.registry,
            self._relay_peers,
            self._random,
        )
        connector.on_spare = pool.add_spare
        connector.on_reached = tracker.clear_suspicion
        connector.on_outcome = lambda outcome: metrics.incr(
            f'relay.asked.{outcome}'
        )
        tracker.is_path_cut = connector.paths.is_cut
        pool.connector = connector
        server = RelayServer(
            pool.direct.dialer,
            self._is_peer,
            lambda opening: _is_in_service(tracker, opening),
        )
        server.on_outcome = lambda outcome: metrics.incr(
            f'relay.served.{outcome}'
        )
        server.attempts = pool.direct.counts
        server.is_cut = connector.paths.is_cut
        server.find_relay = connector.find_relay
        self._peers.server.channels_by_type[RelayOpen] = server.serve

    def _relay_peers(self) -> tuple[RelayPeer, ...]:
        own_domain = self._settings.failure_domain
        view = self._peers.membership.view
        return tuple(
            RelayPeer(
                member.name,
                member.peers,
                member.failure_domain == own_domain,
                view.is_leaving(member),
                member.link_mbps,
            )
            for member in self._list_peers()
        )

    def _is_peer(self, ip: str) -> bool:
        return any(member.peers.ip == ip for member in self._list_peers())


def _is_in_service(tracker: ServerTracker, opening: RelayOpen) -> bool:
    server = tracker.servers_by_name.get(opening.server)
    return (
        server is not None
        and server.address == opening.address
        and opening.server not in tracker.leaving
    )


def _own_member(settings: HostedSettings) -> Member:
    return Member(
        name=settings.name,
        region=settings.region,
        failure_domain=settings.failure_domain,
        peers=settings.peers,
        callers=settings.callers,
        incarnation=int(time.time() * _MS_PER_S),
        link_mbps=settings.link_mbps,
    )
