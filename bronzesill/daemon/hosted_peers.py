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
from ..utils import ResultCode
from ..wire import DatagramSocket, PeerClient, PeerServer, WireCounters
from .early_sockets import EarlySockets
from .peer_messages import Refusal, make_registry
from .usage_exchange import DatagramRouter

__all__ = ['HostedPeers']

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
        self._server = PeerServer(
            settings.peers,
            registry,
            self,
            counters,
            listeners.take(settings.peers.ip, settings.peers.port),
        )

    async def open(self) -> None:
        """Start to listen for requests and datagrams of peers."""
        await self._server.start()
        await self.socket.open(self._address)

    async def close(self) -> None:
        """Close all connections with peers."""
        await self._server.stop()
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
