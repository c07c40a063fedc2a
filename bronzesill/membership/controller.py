"""Event loop of the membership protocol."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random
from typing import TypeAlias

from ..utils import Address, BronzesillError, PartLogger
from ..wire import DatagramSocket, PeerClient, ReceivedMessage
from .events import (
    Event,
    FactPublished,
    MessageArrived,
    Send,
    Tick,
    ViewFetched,
    ViewUpdated,
)
from .facts import Fact
from .gossip import step
from .members import Member
from .messages import FetchView, GossipUpdates, View
from .state import GossipPolicy, GossipState
from .view import FleetView

__all__ = ['MembershipController', 'MembershipQueue', 'UpdateListener']

_TICK_INTERVAL_S = 0.2
_FETCH_TIMEOUT_S = 1.0

MembershipQueue: TypeAlias = 'asyncio.Queue[ReceivedMessage | Event]'
UpdateListener: TypeAlias = Callable[[ViewUpdated], None]

_log = PartLogger('membership')


class MembershipController:
    """
    Runs the membership protocol and holds its state.

    :param own: member record of this daemon.
    :param socket: datagram socket that delivers to ``mailbox``.
    :param mailbox: queue of received datagrams and local events.
    :param client: client for stream requests to peers.
    :param random: random generator for the choice of targets.
    :param policy: protocol parameters.
    """

    def __init__(
        self,
        own: Member,
        socket: DatagramSocket,
        mailbox: MembershipQueue,
        client: PeerClient,
        random: Random,
        policy: GossipPolicy,
    ) -> None:
        now_s = asyncio.get_running_loop().time()
        self.state = GossipState.from_member(own, policy, now_s)
        self.listeners: list[UpdateListener] = []
        self._socket = socket
        self._mailbox = mailbox
        self._client = client
        self._random = random

    @property
    def view(self) -> FleetView:
        """Current view of the fleet."""
        return self.state.view

    @property
    def own(self) -> Member:
        """Member record of this daemon, with its current incarnation."""
        return self.state.own

    async def run(self) -> None:
        """Process events and perform their actions until cancelled."""
        loop = asyncio.get_running_loop()
        next_tick_s = loop.time()
        while True:
            wait_s = next_tick_s - loop.time()
            event = await self._next_event(wait_s)
            if event is None:
                next_tick_s = loop.time() + _TICK_INTERVAL_S
                event = Tick()
            self._apply(event)

    def publish_fact(self, fact: Fact) -> None:
        """Publish a fact, which gossip disseminates to all daemons."""
        self._mailbox.put_nowait(FactPublished(fact))

    async def join(self, seeds: tuple[Address, ...]) -> int:
        """
        Join the fleet by fetching the views of seed daemons.

        :param seeds: peer addresses of daemons, some of which may be down.
        :returns: number of seeds that answered.
        """
        answered = await asyncio.gather(*(self._fetch(seed) for seed in seeds))
        return sum(answered)

    def handle_fetch_view(self, request: FetchView) -> View:
        """Merge the record of a joining daemon and return the full view."""
        self._mailbox.put_nowait(ViewFetched(GossipUpdates((request.sender,))))
        return View(self.state.view.all_entries())

    async def _fetch(self, seed: Address) -> bool:
        """
        Merge the view of a seed as soon as it arrives.

        :returns: whether the seed answered.
        """
        try:
            answer = await self._client.request(
                seed, FetchView(self.own), _FETCH_TIMEOUT_S
            )
        except BronzesillError:
            return False
        if not isinstance(answer, View):
            return False
        self._mailbox.put_nowait(ViewFetched(answer.updates))
        return True

    async def _next_event(self, wait_s: float) -> Event | None:
        if wait_s <= 0:
            return None
        try:
            async with asyncio.timeout(wait_s):
                arrived = await self._mailbox.get()
        except TimeoutError:
            return None
        if isinstance(arrived, ReceivedMessage):
            return MessageArrived(arrived.sender, arrived.message)
        return arrived

    def _apply(self, event: Event) -> None:
        now_s = asyncio.get_running_loop().time()
        result = step(self.state, event, now_s, self._random)
        self.state = result.state
        for action in result.actions:
            if isinstance(action, Send):
                self._socket.send(action.address, action.message)
            else:
                self._notify_listeners(action)

    def _notify_listeners(self, change: ViewUpdated) -> None:
        for member in change.updates.members:
            if not member.is_alive:
                _log.info('%s liveness %s', member.name, member.liveness)
        for listener in self.listeners:
            listener(change)
