"""Discovery of peers and publication of facts about hosts and servers."""

from __future__ import annotations

import asyncio
import time
from random import Random

from ..config.repository import CONFIG_KEY
from ..config.settings import DaemonSettings
from ..membership import (
    Fact,
    FactKind,
    MembershipController,
)
from ..store import HostList, ListedHost
from ..utils import Address, BronzesillError, PartLogger
from .config_controller import ConfigController, RevisionAnnouncement
from .roles import RoleFinder

__all__ = ['FleetController']

_LIST_INTERVAL_S = 2.0
_SLOW_LIST_INTERVAL_S = 60.0
_ISOLATED_INTERVAL_S = 0.3
_CATCH_UP_INTERVAL_S = 0.5
_MAX_SEEDS = 4
_MS_PER_S = 1000

_log = PartLogger('fleet')


class FleetController:
    """
    Joins the fleet and publishes leaving servers, orders and stops as facts.

    :param settings: settings of this host.
    :param hosts: host list of the platform.
    :param membership: this daemon's view of the fleet.
    :param config_controller: controller of the configuration in force.
    :param roles: assignment of roles to daemons.
    :param random: generator for the choice of peers and for jitter.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        hosts: HostList,
        membership: MembershipController,
        config_controller: ConfigController,
        roles: RoleFinder,
        random: Random,
    ) -> None:
        self._settings = settings
        self._hosts = hosts
        self._membership = membership
        self._config_controller = config_controller
        self._roles = roles
        self._random = random

    async def follow_host_list(self) -> None:
        """
        Read the host list periodically until cancelled.

        An isolated daemon reads it most often, unless the list holds exactly
        one host.  Watchers read it more often than other daemons.
        """
        while True:
            listed: tuple[ListedHost, ...] = ()
            try:
                listed = await self._hosts.read()
            except BronzesillError as error:
                _log.warning('host list could not be read: %s', error)
            if self.is_isolated and listed:
                await self._join(listed)
            self._publish_leaving_servers(listed)
            interval_s = self._list_interval_s(len(listed))
            await asyncio.sleep(interval_s * (0.5 + self._random.random()))

    async def fetch_missed_revisions(self) -> None:
        """Fetch announced revisions that were not received, until cancelled."""
        while True:
            await asyncio.sleep(
                _CATCH_UP_INTERVAL_S * (0.5 + self._random.random())
            )
            number = self._announced_revision()
            handled_number = max(
                self._config_controller.revision.number,
                self._config_controller.rejected.number,
            )
            peers = self._live_peers()
            if number > handled_number and peers:
                source = self._random.choice(peers)
                announcement = RevisionAnnouncement(number, source)
                self._config_controller.updates.put_nowait(announcement)

    @property
    def is_isolated(self) -> bool:
        """Whether no other daemon is known to be alive."""
        return not self._live_peers()

    def publish_order(self, server: str, fencing: int) -> None:
        """Publish that a backend server has a new order."""
        fact = Fact(FactKind.SERVER_ORDER, server, fencing)
        self._membership.publish_fact(fact)

    def publish_server_state(self, name: str, *, is_leaving: bool) -> None:
        """Publish whether a backend server is leaving, if that has changed."""
        published = self._membership.view.facts_by_name.get(
            Fact(FactKind.SERVER_LEAVING, name, 0).name
        )
        text = 'leaving' if is_leaving else 'back'
        published_text = published.text if published else 'back'
        if published_text != text:
            rank = int(time.time() * _MS_PER_S)
            fact = Fact(FactKind.SERVER_LEAVING, name, rank, text)
            self._membership.publish_fact(fact)

    def publish_server_leaving(self, name: str) -> None:
        """Publish that a backend server reports itself as leaving."""
        self.publish_server_state(name, is_leaving=True)

    def publish_stop(self) -> None:
        """Publish that this daemon begins its planned stop."""
        own = self._membership.own
        self._membership.publish_fact(
            Fact(FactKind.HOST_LEAVING, own.name, own.incarnation)
        )

    def _list_interval_s(self, listed_count: int) -> float:
        if self.is_isolated and listed_count != 1:
            return _ISOLATED_INTERVAL_S
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
        count = min(_MAX_SEEDS, len(seeds))
        sampled = self._random.sample(sorted(seeds), count)
        joined = await self._membership.join(tuple(sampled))
        _log.info('%s of %s seeds accepted the join', joined, count)

    def _publish_leaving_servers(self, listed: tuple[ListedHost, ...]) -> None:
        for host in listed:
            if host.peers is None:
                self.publish_server_state(host.name, is_leaving=host.is_leaving)

    def _announced_revision(self) -> int:
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
