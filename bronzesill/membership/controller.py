"""Controller of membership: owns the datagram socket and the state."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random
from typing import TypeAlias

from ..utils import Address, BronzesillError, PartLogger
from ..wire import Arrival, DatagramSocket, PeerClient
from .events import (
    Event,
    FactStated,
    MessageArrived,
    News,
    Send,
    Tick,
    ViewFetched,
)
from .facts import Fact
from .gossip import step
from .members import Member
from .messages import FetchView, Rumours, View
from .state import GossipPolicy, GossipState
from .view import FleetView

__all__ = ['MembershipController', 'MembershipMailbox', 'NewsListener']

_TICK_S = 0.2
_FETCH_TIMEOUT_S = 1.0

MembershipMailbox: TypeAlias = 'asyncio.Queue[Arrival | Event]'
NewsListener: TypeAlias = Callable[[News], None]

_log = PartLogger('membership')


class MembershipController:
    """
    Owner of what this daemon believes of the fleet.

    :param own: this daemon as it describes itself.
    :param socket: socket for datagrams, whose arrivals go to ``mailbox``.
    :param mailbox: where arrivals and statements are put.
    :param client: streams to peers.
    :param random: generator for choices of targets.
    :param policy: times and counts.
    """

    def __init__(
        self,
        own: Member,
        socket: DatagramSocket,
        mailbox: MembershipMailbox,
        client: PeerClient,
        random: Random,
        policy: GossipPolicy,
    ) -> None:
        now_s = asyncio.get_running_loop().time()
        self.state = GossipState.from_member(own, policy, now_s)
        self.listeners: list[NewsListener] = []
        self._socket = socket
        self._mailbox = mailbox
        self._client = client
        self._random = random

    @property
    def view(self) -> FleetView:
        """What is believed of the fleet."""
        return self.state.view

    @property
    def own(self) -> Member:
        """Return this daemon as it describes itself now."""
        return self.state.own

    async def run(self) -> None:
        """Take in what arrives and send what is decided, for ever."""
        loop = asyncio.get_running_loop()
        next_tick_s = loop.time()
        while True:
            wait_s = next_tick_s - loop.time()
            event = await self._next_event(wait_s)
            if event is None:
                next_tick_s = loop.time() + _TICK_S
                event = Tick()
            self._apply(event)

    def state_fact(self, fact: Fact) -> None:
        """State a fact; it spreads from here."""
        self._mailbox.put_nowait(FactStated(fact))

    async def join(self, seeds: tuple[Address, ...]) -> int:
        """
        Fetch the view of some daemons, so as to be one of the fleet.

        :param seeds: addresses of daemons that may live.
        :returns: how many answered.
        """
        answers = await asyncio.gather(*(self._fetch(seed) for seed in seeds))
        for view in answers:
            if view is not None:
                self._mailbox.put_nowait(ViewFetched(view.rumours))
        return len(answers) - answers.count(None)

    def answer_view(self, question: FetchView) -> View:
        """Tell a joining daemon all that is believed here."""
        self._mailbox.put_nowait(ViewFetched(Rumours((question.sender,))))
        return View(self.state.view.all_entries())

    async def _fetch(self, seed: Address) -> View | None:
        try:
            answer = await self._client.ask(
                seed, FetchView(self.own), _FETCH_TIMEOUT_S
            )
        except BronzesillError:
            return None
        return answer if isinstance(answer, View) else None

    async def _next_event(self, wait_s: float) -> Event | None:
        if wait_s <= 0:
            return None
        try:
            async with asyncio.timeout(wait_s):
                arrived = await self._mailbox.get()
        except TimeoutError:
            return None
        if isinstance(arrived, Arrival):
            return MessageArrived(arrived.sender, arrived.message)
        return arrived

    def _apply(self, event: Event) -> None:
        now_s = asyncio.get_running_loop().time()
        decided = step(self.state, event, now_s, self._random)
        self.state = decided.state
        for action in decided.actions:
            if isinstance(action, Send):
                self._socket.send(action.address, action.message)
            else:
                self._tell(action)

    def _tell(self, news: News) -> None:
        for member in news.rumours.members:
            if not member.is_alive:
                _log.info('%s liveness %s', member.name, member.liveness)
        for listener in self.listeners:
            listener(news)
