"""Controller of this daemon's place in the fleet."""

from __future__ import annotations

import asyncio
import time
from random import Random

from ..config import CONFIG_KEY, DaemonSettings
from ..membership import (
    Fact,
    FactKind,
    MembershipController,
)
from ..store import HostList, ListedHost
from ..utils import Address, BronzesillError, PartLogger
from .config_keeper import ConfigKeeper, RevisionHeard
from .roles import RoleFinder

__all__ = ['FleetController']

_LIST_INTERVAL_S = 2.0
_SLOW_LIST_INTERVAL_S = 60.0
_ALONE_INTERVAL_S = 0.3
_CATCH_UP_INTERVAL_S = 0.5
_SEEDS = 4
_MS_PER_S = 1000

_log = PartLogger('fleet')


class FleetController:
    """
    Joins the fleet and turns what is listed into facts.

    :param settings: settings of this host.
    :param hosts: the platform's list of hosts.
    :param membership: what is believed of the fleet.
    :param keeper: the configuration in force.
    :param roles: which daemons take which part.
    :param random: generator for choices of peers and jitter.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        hosts: HostList,
        membership: MembershipController,
        keeper: ConfigKeeper,
        roles: RoleFinder,
        random: Random,
    ) -> None:
        self._settings = settings
        self._hosts = hosts
        self._membership = membership
        self._keeper = keeper
        self._roles = roles
        self._random = random

    async def follow_hosts(self) -> None:
        """Read the list of hosts, for ever: often if a watcher."""
        while True:
            listed: tuple[ListedHost, ...] = ()
            try:
                listed = await self._hosts.read()
            except BronzesillError as error:
                _log.warning('host list: %s', error)
            if self.is_alone and listed:
                await self._join(listed)
            self._state_leaving(listed)
            interval_s = self._list_interval_s(len(listed))
            await asyncio.sleep(interval_s * (0.5 + self._random.random()))

    async def catch_up(self) -> None:
        """Fetch a revision that was heard of but not received, for ever."""
        while True:
            await asyncio.sleep(
                _CATCH_UP_INTERVAL_S * (0.5 + self._random.random())
            )
            number = self._revision_heard()
            seen = max(
                self._keeper.revision.number, self._keeper.rejected.number
            )
            peers = self._live_peers()
            if number > seen and peers:
                source = self._random.choice(peers)
                heard = RevisionHeard(number, source)
                self._keeper.mailbox.put_nowait(heard)

    @property
    def is_alone(self) -> bool:
        """Whether no other daemon is known to live."""
        return not self._live_peers()

    def state_order(self, server: str, fencing: int) -> None:
        """State that a backend server has a new order."""
        fact = Fact(FactKind.SERVER_ORDER, server, fencing)
        self._membership.state_fact(fact)

    def state_server(self, name: str, *, is_leaving: bool) -> None:
        """State that a backend server leaves or is back, if that is news."""
        known = self._membership.view.facts_by_name.get(
            Fact(FactKind.SERVER_LEAVING, name, 0).name
        )
        text = 'leaving' if is_leaving else 'back'
        known_text = known.text if known else 'back'
        if known_text != text:
            rank = int(time.time() * _MS_PER_S)
            fact = Fact(FactKind.SERVER_LEAVING, name, rank, text)
            self._membership.state_fact(fact)

    def state_server_leaving(self, name: str) -> None:
        """State that a backend server itself says it leaves."""
        self.state_server(name, is_leaving=True)

    def state_stop(self) -> None:
        """State that this daemon begins its planned stop."""
        own = self._membership.own
        self._membership.state_fact(
            Fact(FactKind.HOST_LEAVING, own.name, own.incarnation)
        )

    def _list_interval_s(self, listed_count: int) -> float:
        if self.is_alone and listed_count != 1:
            return _ALONE_INTERVAL_S
        return (
            _LIST_INTERVAL_S
            if self._roles.should_watch()
            else _SLOW_LIST_INTERVAL_S
        )

    async def _join(self, listed: tuple[ListedHost, ...]) -> None:
        seeds = {
            host.peers
            for host in listed
            if host.peers is not None and host.name != self._settings.name
        }
        seeds.update(self._settings.seeds)
        seeds.discard(self._membership.own.peers)
        count = min(_SEEDS, len(seeds))
        drawn = self._random.sample(sorted(seeds), count)
        joined = await self._membership.join(tuple(drawn))
        _log.info('joined by %s of %s seeds', joined, count)

    def _state_leaving(self, listed: tuple[ListedHost, ...]) -> None:
        for host in listed:
            if host.peers is None:
                self.state_server(host.name, is_leaving=host.is_leaving)

    def _revision_heard(self) -> int:
        fact = self._membership.view.facts_by_name.get(
            Fact(FactKind.CONFIG_REVISION, CONFIG_KEY, 0).name
        )
        return fact.rank if fact else 0

    def _live_peers(self) -> list[Address]:
        own = self._membership.own
        return [
            member.peers
            for member in self._membership.view.members_by_name.values()
            if member.is_alive and member.name != own.name
        ]
