"""A hosted daemon's place in the fleet, found through the store."""

from __future__ import annotations

import asyncio
from random import Random

import orjson

from ..membership import (
    Fact,
    FactKind,
    Member,
    MembershipController,
    choose_watchers,
)
from ..platform import HOST_PREFIX
from ..store import KeyValueStore, Mutation, StoredEntry
from ..utils import (
    Address,
    BronzesillError,
    DocumentInvalid,
    PartLogger,
    structure,
    unstructure,
)

__all__ = ['HostedFleet']

_LEASE_S = 10.0
_RENEW_S = 3.0
_RETRY_S = 0.5
_FIRST_LISTED_S = 1.0
_SEEDS = 4
_SEARCH_S = 0.4
_SEARCH_FULL_S = 8.0
_GREET_S = 0.7

_log = PartLogger('fleet')


class HostedFleet:
    """
    Lists this daemon in the store and joins the daemons listed there.

    :param store: the key-value service.
    :param membership: what is believed of the fleet.
    :param seeds: addresses of daemons that may live.
    :param random: generator for choices of peers and jitter.
    """

    def __init__(
        self,
        store: KeyValueStore,
        membership: MembershipController,
        seeds: tuple[Address, ...],
        random: Random,
    ) -> None:
        self._store = store
        self._membership = membership
        self._seeds = seeds
        self._random = random
        self._lease_id = 0

    async def keep_listed(self) -> None:
        """Keep this daemon's entry alive, for ever."""
        # Whoever is not one of the few need not be listed, once that is known.
        await asyncio.sleep(_FIRST_LISTED_S)
        while True:
            try:
                await self._list_if_watcher()
                pause_s = _RENEW_S
            except BronzesillError as error:
                _log.warning('not listed: %s', error)
                pause_s = _RETRY_S
            await asyncio.sleep(pause_s * (0.5 + self._random.random()))

    async def find_peers(self) -> None:
        """Join daemons that are listed, for ever; rarely once joined."""
        while True:
            try:
                if not self.watchers():
                    await self._join_listed()
            except BronzesillError as error:
                _log.warning('hosts not listed: %s', error)
            pause_s = _SEARCH_FULL_S if self.live_peers() else _SEARCH_S
            await asyncio.sleep(pause_s * (0.5 + self._random.random()))

    async def greet(self) -> None:
        """
        Join seeds while alone, and lost daemons in case they are back.

        A daemon that starts again knows nobody; while the store is away it
        is those who remember it that let it in.
        """
        while True:
            await self._join(self._strangers())
            await asyncio.sleep(_GREET_S * (0.5 + self._random.random()))

    async def withdraw(self) -> None:
        """Take this daemon's entry away."""
        if self._lease_id:
            try:
                await self._store.end_lease(self._lease_id)
            except BronzesillError as error:
                _log.info('entry left to lapse: %s', error)

    def state_stop(self) -> None:
        """State that this daemon begins its planned stop."""
        own = self._membership.own
        self._membership.state_fact(
            Fact(FactKind.HOST_LEAVING, own.name, own.incarnation)
        )

    def watchers(self) -> tuple[Member, ...]:
        """
        Return the daemons of this failure domain that watch the store.

        :returns: the daemons; none if this one is to watch.
        """
        own = self._membership.own
        watchers = choose_watchers(self._membership.view, own.failure_domain)
        if any(member.name == own.name for member in watchers):
            return ()
        return watchers

    def live_peers(self) -> tuple[Member, ...]:
        """Return the other daemons that live."""
        own = self._membership.own
        return tuple(
            member
            for member in self._membership.view.members_by_name.values()
            if member.is_alive and member.name != own.name
        )

    def addresses(self, failure_domain: str) -> tuple[Address, ...]:
        """Return the addresses of daemons that take new work."""
        view = self._membership.view
        welcome = [
            member.callers
            for member in view.members_by_name.values()
            if member.is_alive and not view.is_leaving(member)
        ]
        return tuple(welcome) or (self._membership.own.callers,)

    def _strangers(self) -> tuple[Address, ...]:
        lost = tuple(
            member.peers
            for member in self._membership.view.members_by_name.values()
            if not member.is_alive
        )
        if self.live_peers():
            return lost
        return (*self._seeds, *lost)

    async def _list_if_watcher(self) -> None:
        if not self.watchers():
            await self._renew()
        elif self._lease_id:
            await self._store.end_lease(self._lease_id)
            self._lease_id = 0

    async def _renew(self) -> None:
        if self._lease_id and await self._store.keep_lease(self._lease_id):
            return
        self._lease_id = await self._store.grant_lease(_LEASE_S)
        own = self._membership.own
        key = f'{HOST_PREFIX}{own.name}'
        payload = orjson.dumps(unstructure(own))
        known = await self._store.get(key)
        await self._store.compare_and_swap(
            key,
            known.mod_revision if known else 0,
            (Mutation(key, payload, self._lease_id),),
        )

    async def _join_listed(self) -> None:
        listed = await self._store.snapshot(HOST_PREFIX, is_stale_fine=True)
        members = (_member(entry) for entry in listed.entries)
        await self._join(
            tuple(member.peers for member in members if member is not None)
        )

    async def _join(self, seeds: tuple[Address, ...]) -> None:
        known = {member.peers for member in self.live_peers()}
        unknown = sorted(set(seeds) - known - {self._membership.own.peers})
        count = min(_SEEDS, len(unknown))
        if count:
            drawn = tuple(self._random.sample(unknown, count))
            joined = await self._membership.join(drawn)
            if joined:
                _log.info('joined by %s of %s seeds', joined, count)


def _member(entry: StoredEntry) -> Member | None:
    try:
        return structure(orjson.loads(entry.payload), Member)
    except (DocumentInvalid, ValueError):
        _log.warning('entry %s is not a host', entry.key)
        return None
