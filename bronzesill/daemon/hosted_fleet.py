"""Registration of a hosted daemon in the store and discovery of its peers."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Callable
from random import Random

import orjson

from ..membership import (
    Fact,
    FactKind,
    FleetRoles,
    Member,
    MembershipController,
    ViewUpdated,
)
from ..platform.http_apps import ListedAddresses
from ..platform.servers import HOST_PREFIX
from ..store import KeyValueStore, Lease, Mutation, StoredEntry
from ..utils import (
    Address,
    BronzesillError,
    DocumentInvalid,
    PartLogger,
    structure,
    unstructure,
)
from .leaving_notices import LeavingNotice, fact_of, notice_from_fact

__all__ = ['HostedFleet']

_LEASE_S = 10.0
_RENEW_INTERVAL_S = 3.0
_RETRY_S = 0.5
_REGISTRATION_DELAY_S = 1.0
#: Time over which hosts register anew after a return of the store.
_RETURN_SPREAD_S = 1.5
_MAX_SEEDS = 4
_DISCOVERY_INTERVAL_S = 0.4
_JOINED_DISCOVERY_INTERVAL_S = 8.0
_REJOIN_INTERVAL_S = 0.7
_ADDRESS_TTL_S = 2.0
#: Time from the start on in which look-ups wait for the first other host.
_FIRST_PEER_LIMIT_S = 0.3
#: Time from the start on in which other hosts are likely to be found, and for
#: which callers keep an answer that names this host only.
_LONELY_START_S = 5.0
_LONELY_TTL_S = 1.0
_CONFIGURATION_FACT = 'hosted'
_MS_PER_S = 1000

_log = PartLogger('fleet')


class HostedFleet:
    """
    Registers this daemon in the store and joins the registered daemons.

    :param store: key-value store of the platform.
    :param membership: this daemon's view of the fleet.
    :param seeds: addresses of daemons that may be alive.
    :param random: generator for the choice of seeds and for jitter.
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
        self._known_roles = FleetRoles(membership.view, membership.own)
        self._key = f'{HOST_PREFIX}{membership.own.name}'
        self._lease: Lease | None = None
        self._is_stopping = False
        self._has_returned = asyncio.Event()
        self._started_s = asyncio.get_running_loop().time()
        #: Set once look-ups need not wait any longer for another host.
        self._may_list = asyncio.Event()
        #: Called with the name of a step of the start that is reached.
        self.log_start_step: Callable[[str], None] = _ignore
        #: Called with each notice that a server leaves.
        self.on_leaving_server: Callable[[LeavingNotice], None] = _ignore
        membership.listeners.append(self._apply_view_change)

    async def maintain_registration(self) -> None:
        """Keep this daemon registered while it has to watch the store."""
        # Only watchers are registered. The delay lets a daemon learn first
        # whether it is one of them.
        await asyncio.sleep(_REGISTRATION_DELAY_S)
        while True:
            try:
                await self._update_registration()
                pause_s = _RENEW_INTERVAL_S
            except BronzesillError as error:
                _log.warning('registration in the store failed: %s', error)
                pause_s = _RETRY_S
            await self._pause(pause_s * (0.5 + self._random.random()))

    def note_store_returned(self) -> None:
        """Note that the store came back from a copy, without our leases."""
        self._has_returned.set()

    async def discover_peers(self) -> None:
        """
        Join registered daemons while this daemon watches the store.

        The interval is longer once a peer is known.
        """
        while True:
            try:
                if not self.watchers():
                    await self._join_registered()
            except BronzesillError as error:
                _log.warning('registered hosts could not be read: %s', error)
            pause_s = (
                _JOINED_DISCOVERY_INTERVAL_S
                if self.live_peers()
                else _DISCOVERY_INTERVAL_S
            )
            await asyncio.sleep(pause_s * (0.5 + self._random.random()))

    async def rejoin_lost_peers(self) -> None:
        """
        Retry to join unreachable daemons, and the seeds while isolated.

        A restarted daemon knows no peers.  While the store is unreachable,
        it can only rejoin through daemons that still have it in their view.
        """
        while True:
            await self._join(self._join_candidates())
            await asyncio.sleep(
                _REJOIN_INTERVAL_S * (0.5 + self._random.random())
            )

    async def deregister(self) -> None:
        """Remove this daemon's entry from the store."""
        if self._lease is not None:
            try:
                # The answer tells whether the lease is of this era.
                await self._store.get(self._key)
                await self._store.revoke_lease(self._lease)
            except BronzesillError as error:
                _log.info(
                    'entry not removed, it expires with its lease: %s', error
                )

    def publish_stop(self) -> None:
        """Publish that this daemon begins its planned stop."""
        self._is_stopping = True
        self._may_list.set()
        own = self._membership.own
        self._membership.publish_fact(
            Fact(FactKind.HOST_LEAVING, own.name, own.incarnation)
        )

    def publish_configuration(self, version: int) -> None:
        """Publish the version in force here, which the store has lost."""
        self._membership.publish_fact(
            Fact(FactKind.CONFIG_REVISION, _CONFIGURATION_FACT, version)
        )

    def publish_leaving_server(self, notice: LeavingNotice) -> None:
        """Publish that a server leaves, unless a peer has published it."""
        rank = int(time.time() * _MS_PER_S)
        fact = fact_of(notice, rank)
        known = self._membership.view.facts_by_name.get(fact.name)
        if known is not None:
            known_notice = notice_from_fact(known)
            if known_notice is not None and known_notice.covers(notice):
                return
            # The clock of the host that published it may be ahead.
            fact = fact_of(notice, max(rank, known.rank + 1))
        self._membership.publish_fact(fact)

    def newest_configuration(self) -> int:
        """Return the highest version that a daemon published, 0 for none."""
        name = Fact(FactKind.CONFIG_REVISION, _CONFIGURATION_FACT, 0).name
        fact = self._membership.view.facts_by_name.get(name)
        return fact.rank if fact else 0

    def watchers(self) -> tuple[Member, ...]:
        """
        Return the daemons of this failure domain that watch the store.

        :returns: the daemons; empty if this daemon is to watch the store.
        """
        return self._roles().other_watchers

    def collectors(self) -> tuple[Member, ...]:
        """
        Return the daemons that collect reports of use, nearest first.

        The result is empty if all daemons receive all reports.
        """
        return self._roles().collectors

    def live_peers(self) -> tuple[Member, ...]:
        """Return the other daemons that are alive."""
        return self._roles().peers

    async def look_up(self, failure_domain: str) -> ListedAddresses:
        """
        Return the caller addresses of daemons that accept new requests.

        If there is none, the address of this daemon is returned.  A daemon
        that has just started waits for a short time until it knows another.

        :param failure_domain: failure domain of the caller, not used.
        """
        await self._wait_for_first_peer()
        self.log_start_step('looked_up')
        return ListedAddresses(self._available_addresses(), self._ttl_s())

    async def _wait_for_first_peer(self) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(
                self._started_s + _FIRST_PEER_LIMIT_S
            ):
                await self._may_list.wait()

    def _available_addresses(self) -> tuple[Address, ...]:
        view = self._membership.view
        available = [
            member.callers
            for member in view.members_by_name.values()
            if member.is_alive and not view.is_leaving(member)
        ]
        return tuple(available) or (self._membership.own.callers,)

    def _ttl_s(self) -> float:
        """Return for how long callers may keep an answer given now."""
        age_s = asyncio.get_running_loop().time() - self._started_s
        if age_s < _LONELY_START_S and not self.live_peers():
            return _LONELY_TTL_S
        return _ADDRESS_TTL_S

    def _apply_view_change(self, change: ViewUpdated) -> None:
        if self.live_peers():
            self._may_list.set()
        for fact in change.updates.facts:
            notice = notice_from_fact(fact)
            if notice is not None:
                self.on_leaving_server(notice)

    def _join_candidates(self) -> tuple[Address, ...]:
        unreachable = tuple(
            member.peers
            for member in self._membership.view.members_by_name.values()
            if not member.is_alive
        )
        if self.live_peers():
            return unreachable
        return (*self._seeds, *unreachable)

    def _roles(self) -> FleetRoles:
        view = self._membership.view
        if not self._known_roles.are_of(view):
            self._known_roles = FleetRoles(view, self._membership.own)
        return self._known_roles

    async def _pause(self, pause_s: float) -> None:
        """Pause, but not long after a return of the store."""
        try:
            async with asyncio.timeout(pause_s):
                await self._has_returned.wait()
        except TimeoutError:
            return
        self._has_returned.clear()
        await asyncio.sleep(_RETURN_SPREAD_S * self._random.random())

    async def _update_registration(self) -> None:
        if self._is_stopping:
            return
        if not self.watchers():
            await self._renew_registration()
        elif self._lease is not None:
            await self._store.revoke_lease(self._lease)
            self._lease = None

    async def _renew_registration(self) -> None:
        if self._lease and await self._store.renew_lease(self._lease):
            return
        stored = await self._store.get(self._key)
        lease = await self._store.grant_lease(_LEASE_S)
        payload = orjson.dumps(unstructure(self._membership.own))
        written = await self._store.compare_and_swap(
            self._key,
            stored.revision if stored else None,
            (Mutation(self._key, payload, lease),),
        )
        self._lease = lease if written else None
        if written:
            self.log_start_step('registered')
        if self._is_stopping:
            # The stop began meanwhile.
            await self.deregister()

    async def _join_registered(self) -> None:
        listed = await self._store.snapshot(HOST_PREFIX, may_be_stale=True)
        members = (_decode_member(entry) for entry in listed.entries)
        await self._join(
            tuple(member.peers for member in members if member is not None)
        )

    async def _join(self, seeds: tuple[Address, ...]) -> None:
        known = {member.peers for member in self.live_peers()}
        unknown = sorted(set(seeds) - known - {self._membership.own.peers})
        count = min(_MAX_SEEDS, len(unknown))
        if count:
            sampled = tuple(self._random.sample(unknown, count))
            joined = await self._membership.join(sampled)
            if joined:
                _log.info('%s of %s seeds accepted the join', joined, count)


def _ignore(_: object) -> None:
    """Ignore a step or a notice; the default callback."""


def _decode_member(entry: StoredEntry) -> Member | None:
    try:
        return structure(orjson.loads(entry.payload), Member)
    except (DocumentInvalid, ValueError):
        _log.warning('entry %s does not describe a host', entry.key)
        return None
