"""Membership of a hosted daemon, and its streams to and from peers."""

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
    MembershipMailbox,
)
from ..utils import ResultCode
from ..wire import DatagramSocket, PeerClient, PeerServer, WireCounters
from .protocol import Refusal, make_registry
from .use_sharing import ArrivalSorter

__all__ = ['HostedPeers']

_MS_PER_S = 1000


class HostedPeers:
    """
    Membership with its socket, and streams to and from peers.

    :param settings: the host's own settings.
    :param random: generator for choices of targets.
    """

    def __init__(self, settings: HostedSettings, random: Random) -> None:
        registry = make_registry()
        counters = WireCounters()
        mailbox: MembershipMailbox = asyncio.Queue()
        self._address = settings.peers
        self.client = PeerClient(registry, counters)
        self.sorter = ArrivalSorter(mailbox)
        self.socket = DatagramSocket(registry, counters, self.sorter)
        self.membership = MembershipController(
            _describe(settings),
            self.socket,
            mailbox,
            self.client,
            random,
            GossipPolicy(),
        )
        #: What answers questions of peers, by type of the question.
        self.answers_by_type: dict[type, Callable[[Any], Any]] = {
            FetchView: self.membership.answer_view
        }
        self._server = PeerServer(settings.peers, registry, self, counters)

    async def open(self) -> None:
        """Listen to peers."""
        await self._server.start()
        await self.socket.open(self._address)

    async def close(self) -> None:
        """End all connections with peers."""
        await self._server.stop()
        await self.client.stop()
        self.socket.close()

    async def answer(self, question: Any) -> Any:
        """Answer one question of a peer."""
        answer = self.answers_by_type.get(type(question))
        if answer is None:
            return Refusal(int(ResultCode.MESSAGE_INVALID))
        found = answer(question)
        return await found if inspect.isawaitable(found) else found


def _describe(settings: HostedSettings) -> Member:
    return Member(
        name=settings.name,
        region=settings.region,
        failure_domain=settings.failure_domain,
        peers=settings.peers,
        callers=settings.callers,
        incarnation=int(time.time() * _MS_PER_S),
        link_mbps=settings.link_mbps,
    )
